//! Submission of claims while the log is down.

use std::{sync::Arc, time::Duration};

use claim::{Claim, ClaimEvent};
use node::{ClaimError, Node, NodeKind};
use settings::{Role, Settings};
use standin::LogService;

/// Number of claims submitted while the log is down.
const CLAIMS: u32 = 50;

fn claim(i: u32) -> ClaimEvent {
    ClaimEvent::Claim(Claim {
        team: "desk".into(),
        key: format!("k{i}"),
        request_id: format!("r{i}"),
        holder: "a1".into(),
        attempt: 1,
    })
}

async fn start_node(log: &LogService) -> Arc<Node> {
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
async fn claim_queue_does_not_grow_during_a_log_outage() {
    let log = LogService::start().await;
    let node = start_node(&log).await;
    log.update_faults(|faults| faults.down = true);
    let mut never_sent = 0;
    for i in 0..CLAIMS {
        let submitted = node
            .claims
            .submit("desk", &format!("k{i}"), claim(i), 20)
            .await;
        match submitted {
            Err(ClaimError::NotSent) => never_sent += 1,
            Err(ClaimError::Unconfirmed) => {}
            other => panic!("expected an error while the log is down, got {other:?}"),
        }
    }
    assert_eq!(node.claims.pending(), 0);
    assert!(
        never_sent >= CLAIMS - 2,
        "{never_sent} of {CLAIMS} were never sent"
    );
    // Claims that were not sent never reach the log.
    log.update_faults(|faults| faults.down = false);
    let last = node
        .claims
        .submit("desk", "last", claim(CLAIMS), 5_000)
        .await;
    assert_eq!(last, Ok(()));
    assert!(log.records("claims-0").len() <= 3);
}
