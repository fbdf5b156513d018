//! Claims on their way to the log.

use std::{sync::Arc, time::Duration};

use claim::{Claim, ClaimEvent};
use node::{ClaimError, Node, NodeKind};
use settings::{Role, Settings};
use standin::LogService;

/// Calls that come while the log is down.
const CALLS: u32 = 50;

fn claim(at: u32) -> ClaimEvent {
    ClaimEvent::Claim(Claim {
        team: "desk".into(),
        key: format!("k{at}"),
        request_id: format!("r{at}"),
        holder: "a1".into(),
        attempt: 1,
    })
}

async fn node(log: &LogService) -> Arc<Node> {
    let text = format!(
        "[process]\nroom = a\n[store]\naddress = {}\nclaim_partitions = 1\n\
         timeout_ms = 200\npoll_wait_ms = 50\n[agent]\nendpoint = e\nservice = filing\n",
        log.address
    );
    let settings = Settings::parse(Role::Agent, "test", &text).expect("valid settings");
    let address = settings.agent.listen;
    let node = Node::new(NodeKind::Agent, address, settings);
    node.run(|_heard| {});
    while !node.claims.is_caught_up("desk", "k0") {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    node
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_claims_do_not_pile_up_in_an_outage() {
    let log = LogService::start().await;
    let node = node(&log).await;
    log.update_faults(|faults| faults.down = true);
    let mut never_sent = 0;
    for at in 0..CALLS {
        let submitted = node
            .claims
            .submit("desk", &format!("k{at}"), claim(at), 20)
            .await;
        match submitted {
            Err(ClaimError::NotSent) => never_sent += 1,
            Err(ClaimError::Unconfirmed) => {}
            other => panic!("the log is down: {other:?}"),
        }
    }
    assert_eq!(node.claims.pending(), 0);
    assert!(never_sent >= CALLS - 2, "{never_sent} of {CALLS}");
    // What was not sent never comes to stand.
    log.update_faults(|faults| faults.down = false);
    let last = node
        .claims
        .submit("desk", "last", claim(CALLS), 5_000)
        .await;
    assert_eq!(last, Ok(()));
    assert!(log.records("claims-0").len() <= 3);
}
