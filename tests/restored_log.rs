//! The platform's log is restored from a copy that is some seconds old: records that
//! it had acknowledged are gone, and their offsets are assigned again.

use std::time::Duration;

use catalog::{RolloutOrder, RolloutState, RolloutStatus};
use clock::Millis;
use route::{AnnouncedAt, Costs, Pool, RolloutStatuses};
use standin::{Action, KeyedLogFaults, ScriptedEndpoint};

use crate::util::{
    endpoints::endpoint,
    gateway_harness::{
        GatewayProcess, TestPlatform, configuration, configuration_with, request, send,
    },
};

const ORDER: &str = r#"{"service":"plain","target":"v2","over_s":600}"#;

const NEW_ROUTE: &str = r#",{"name":"new","host":"h.example","path_prefix":"/new/","kind":"safe","timeout_ms":2000,"slo_ms":300,"priority":2,"service":"plain","max_attempts":2,"public":true}"#;

/// Time for which a gateway is watched for something that must not happen.
const WATCHED: Duration = Duration::from_millis(900);

fn get(path: &str, id: &str) -> String {
    request("GET", path, id, "", "")
}

/// A platform with one endpoint of the plain service and a gateway that follows it.
async fn plain_platform() -> (TestPlatform, ScriptedEndpoint, GatewayProcess) {
    let platform = TestPlatform::start().await;
    let endpoint = ScriptedEndpoint::start(Action::Answer).await;
    platform.announce("p1", "plain", &endpoint);
    let gateway = platform.gateway("").await;
    (platform, endpoint, gateway)
}

#[tokio::test]
async fn record_written_again_at_a_lower_offset_takes_effect() {
    let (platform, _endpoint, gateway) = plain_platform().await;
    let copy = platform.log.copy();
    for version in 2..12 {
        let record = configuration(version);
        platform.log.put("keyed.op", "config", &record);
    }
    gateway
        .wait_logged("event=config_in_force version=11")
        .await;
    platform.log.restore(&copy);
    gateway
        .wait_logged("event=log_restored topic=keyed.op")
        .await;
    let newer = configuration_with(12, NEW_ROUTE);
    platform.log.put("keyed.op", "config", &newer);
    gateway
        .wait_logged("event=config_in_force version=12")
        .await;
    assert_eq!(send(gateway.callers, &get("/new/", "r1")).await.status, 200);
}

/// The offset that a follower asks for next is rejected until it has listed the
/// topic again; it must not ask for it in a loop.
#[tokio::test]
async fn restored_log_is_not_read_in_a_loop() {
    let (platform, endpoint, gateway) = plain_platform().await;
    let copy = platform.log.copy();
    platform.log.put("keyed.op", "config", &configuration(2));
    platform.announce("p1", "plain", &endpoint);
    gateway.wait_logged("event=config_in_force version=2").await;
    platform.log.restore(&copy);
    gateway
        .wait_logged("event=log_restored topic=keyed.op")
        .await;
    gateway
        .wait_logged("event=log_restored topic=keyed.servers")
        .await;
    let calls_before = platform.log.calls();
    tokio::time::sleep(WATCHED).await;
    let calls = platform.log.calls() - calls_before;
    // Two topics are read every 300 ms and one every 1.5 s.
    assert!(calls <= 15, "{calls} calls in {WATCHED:?}");
}

#[tokio::test]
async fn configuration_and_revoked_key_do_not_come_back() {
    let (platform, _endpoint, gateway) = plain_platform().await;
    for round in 0..2 {
        let version = 2 + round * 2;
        let copy = platform.log.copy();
        let revoked = configuration(version).replace("key-a", "key-new");
        platform.log.put("keyed.op", "config", &revoked);
        gateway
            .wait_logged(&format!("event=config_in_force version={version}"))
            .await;
        platform.log.restore(&copy);
        let restored = format!("end={}/", round + 1);
        gateway.wait_logged(&restored).await;
        let reply = send(gateway.callers, &get("/safe/", "r1")).await;
        assert_eq!(reply.status, 401, "round {round}");
        platform.log.put("keyed.op", "config", &revoked);
    }
}

#[tokio::test]
async fn gateway_that_starts_after_a_restoration_gets_the_configuration_of_a_peer() {
    let (platform, _endpoint, gateway) = plain_platform().await;
    let copy = platform.log.copy();
    platform.log.put("keyed.op", "config", &configuration(7));
    gateway.wait_logged("event=config_in_force version=7").await;
    platform.log.restore(&copy);
    let peers = format!("[peers]\naddresses = {}\n", gateway.peer_address);
    let late = GatewayProcess::start(&platform.dir, platform.log.address, &peers);
    let line = late.wait_logged("event=config_in_force version=7").await;
    assert!(line.contains("source=peer"), "{line}");
}

/// An endpoint that the copy does not list is kept until it announces itself again,
/// and removed if it does not.
#[tokio::test]
async fn endpoint_that_came_after_the_copy_is_kept_while_it_announces_itself() {
    let (platform, first, gateway) = plain_platform().await;
    let copy = platform.log.copy();
    let [staying, gone] = [
        ScriptedEndpoint::start(Action::Answer).await,
        ScriptedEndpoint::start(Action::Answer).await,
    ];
    platform.announce("p2", "plain", &staying);
    platform.announce("p3", "plain", &gone);
    gateway.wait_logged("event=endpoint endpoint=p3").await;
    platform.announce_as("p1", "plain", first.address, "v1", "draining");
    gateway.wait_logged("state=Draining").await;
    platform.log.restore(&copy);
    gateway
        .wait_logged("event=log_restored topic=keyed.servers")
        .await;
    let reply = send(gateway.callers, &get("/safe/", "r1")).await;
    assert_eq!(reply.status, 200);
    assert!(first.received().is_empty(), "a draining endpoint was used");
    platform.announce("p2", "plain", &staying);
    gateway
        .wait_logged("event=endpoint_gone endpoint=p3 reason=lapsed")
        .await;
    assert!(gateway.logged("event=endpoint_gone endpoint=p2").is_empty());
    for n in 0..5 {
        let reply = send(gateway.callers, &get("/safe/", &format!("s{n}"))).await;
        assert_eq!(reply.status, 200);
    }
    assert!(first.received().is_empty(), "a draining endpoint was used");
}

#[tokio::test]
async fn recorded_end_of_a_rollout_is_recorded_again() {
    for (act, state) in [(Action::Fail, "rolled_back"), (Action::Answer, "completed")] {
        let (platform, old, gateway) = plain_platform().await;
        let new = ScriptedEndpoint::start(act).await;
        platform.announce_as("n1", "plain", new.address, "v2", "ready");
        gateway.wait_logged("endpoint=n1").await;
        let order = ORDER.replace("600", "6");
        platform.log.put("keyed.op", "rollout/plain", &order);
        gateway.wait_logged("event=rollout_ordered").await;
        gateway
            .wait_logged("event=rollout_recorded service=plain state=running")
            .await;
        let copy = platform.log.copy();
        drive_rollout(&platform, &gateway, state).await;
        platform.log.restore(&copy);
        let status = platform.log.newest("keyed.status", "rollout/plain");
        assert!(status.is_some_and(|status| status.contains("running")));
        gateway
            .wait_logged("event=log_restored topic=keyed.status")
            .await;
        let (old_before, new_before) = (old.received().len(), new.received().len());
        drive_rollout(&platform, &gateway, state).await;
        let (old_count, new_count) = (old.received().len(), new.received().len());
        match state {
            "completed" => assert_eq!(old_count, old_before, "went back to v1"),
            _ => assert_eq!(new_count, new_before, "went to v2 again"),
        }
    }
}

/// Sends requests until the log holds the status `state`.
async fn drive_rollout(platform: &TestPlatform, gateway: &GatewayProcess, state: &str) {
    for n in 0..5_000 {
        send(gateway.callers, &get("/safe/", &format!("d{n}"))).await;
        let status = platform.log.newest("keyed.status", "rollout/plain");
        if status.is_some_and(|status| status.contains(state)) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(4)).await;
    }
    panic!("the rollout was not {state}");
}

/// The order of a rollout in progress is lost and written again elsewhere; the
/// rollout goes on, with the time that has passed.
#[tokio::test]
async fn rollout_in_progress_continues_after_a_restoration() {
    let (platform, _old, gateway) = plain_platform().await;
    let copy = platform.log.copy();
    platform.log.put("keyed.op", "config", &configuration(2));
    platform.log.put("keyed.op", "rollout/plain", ORDER);
    gateway
        .wait_logged("event=rollout_recorded service=plain state=running")
        .await;
    platform.log.restore(&copy);
    gateway
        .wait_logged("event=log_restored topic=keyed.op")
        .await;
    platform.log.put("keyed.op", "rollout/plain", ORDER);
    platform.log.put("keyed.op", "config", &configuration(3));
    gateway.wait_logged("event=config_in_force version=3").await;
    assert_eq!(gateway.logged("event=rollout_ordered").len(), 1);
}

/// A gateway that was cut off during the restoration finds another epoch when it
/// reaches the log again, although the offset that it asks for exists there.
#[tokio::test]
async fn gateway_cut_off_during_a_restoration_lists_the_log_again() {
    let (platform, _endpoint, gateway) = plain_platform().await;
    let copy = platform.log.copy();
    platform.log.put("keyed.op", "rollout/plain", ORDER);
    gateway.wait_logged("event=rollout_ordered").await;
    platform.log.set_faults(KeyedLogFaults {
        down: true,
        ..KeyedLogFaults::default()
    });
    gateway.wait_logged("event=log_lost topic=keyed.op").await;
    platform.log.restore(&copy);
    for version in 2..30 {
        platform
            .log
            .put("keyed.op", "config", &configuration(version));
    }
    platform.log.set_faults(KeyedLogFaults::default());
    gateway
        .wait_logged("event=config_in_force version=29")
        .await;
    gateway
        .wait_logged("event=log_restored topic=keyed.op")
        .await;
}

/// A gateway that starts in the gap learns from a peer that the rollout is over, and
/// does not open it again.
#[tokio::test]
async fn gateway_that_starts_after_a_restoration_learns_the_end_of_a_rollout() {
    let (platform, old, gateway) = plain_platform().await;
    let new = ScriptedEndpoint::start(Action::Answer).await;
    platform.announce_as("n1", "plain", new.address, "v2", "ready");
    gateway.wait_logged("endpoint=n1").await;
    platform
        .log
        .put("keyed.op", "rollout/plain", &ORDER.replace("600", "6"));
    gateway
        .wait_logged("event=rollout_recorded service=plain state=running")
        .await;
    let copy = platform.log.copy();
    drive_rollout(&platform, &gateway, "completed").await;
    // Nobody can record the end again while appends are refused.
    platform.log.set_faults(KeyedLogFaults {
        read_only: true,
        ..KeyedLogFaults::default()
    });
    platform.log.restore(&copy);
    gateway
        .wait_logged("event=log_restored topic=keyed.status")
        .await;
    let peers = format!("[peers]\naddresses = {}\n", gateway.peer_address);
    let late = GatewayProcess::start(&platform.dir, platform.log.address, &peers);
    late.wait_logged(
        "event=rollout_end_learned service=plain target=v2 state=completed",
    )
    .await;
    let before = old.received().len();
    for n in 0..20 {
        send(late.callers, &get("/safe/", &format!("l{n}"))).await;
    }
    assert_eq!(old.received().len(), before, "a request went back to v1");
}

fn order(target: &str) -> RolloutOrder {
    RolloutOrder {
        service: "s".to_owned(),
        target: target.to_owned(),
        within_ms: 1_000,
    }
}

fn status(state: RolloutState, target: &str) -> Option<RolloutStatus> {
    let target = target.to_owned();
    Some(RolloutStatus { state, target })
}

#[test]
fn end_of_a_rollout_outlives_an_older_status() {
    for end in [RolloutState::Completed, RolloutState::RolledBack] {
        for older in [
            None,
            status(RolloutState::Running, "v2"),
            status(RolloutState::Completed, "v1"),
        ] {
            let current = order("v2");
            let mut statuses = RolloutStatuses::default();
            statuses.record_logged("s", status(end, "v2"), Some(&current));
            assert_eq!(statuses.unlogged_end(&current), None);
            statuses.record_logged("s", older, Some(&current));
            assert_eq!(statuses.state(&current), Some(end));
            assert_eq!(statuses.unlogged_end(&current), Some(end));
            statuses.record_logged("s", status(end, "v2"), Some(&current));
            assert_eq!(statuses.unlogged_end(&current), None);
        }
    }
}

#[test]
fn status_of_the_next_rollout_replaces_an_end() {
    let mut statuses = RolloutStatuses::default();
    let completed = status(RolloutState::Completed, "v2");
    statuses.record_logged("s", completed, Some(&order("v2")));
    let running = status(RolloutState::Running, "v3");
    statuses.record_logged("s", running, Some(&order("v3")));
    assert_eq!(statuses.state(&order("v3")), Some(RolloutState::Running));
    assert_eq!(statuses.unlogged_end(&order("v3")), None);
}

fn announced(epoch: u64, sequence: u64) -> AnnouncedAt {
    AnnouncedAt { epoch, sequence }
}

#[test]
fn departed_endpoint_returns_only_with_a_later_announcement() {
    let ready = || endpoint("e");
    let mut pool = Pool::new(Costs::default());
    pool.announce(ready(), announced(0, 7));
    pool.unlist("e", Millis(1_000));
    assert!(pool.is_empty());
    pool.announce(ready(), announced(1, 7));
    assert!(pool.is_empty(), "the copy of the log is older");
    pool.announce(ready(), announced(1, 8));
    assert_eq!(pool.len(), 1, "it lives and announced itself again");
}

#[test]
fn endpoint_that_lapsed_in_the_same_epoch_returns() {
    let ready = || endpoint("e");
    let mut pool = Pool::new(Costs::default());
    pool.announce(ready(), announced(0, 7));
    pool.unlist("e", Millis(1_000));
    pool.announce(ready(), announced(0, 7));
    assert_eq!(pool.len(), 1);
}
