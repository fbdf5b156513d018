//! Requests with a part in their prompts that crashes each endpoint that answers one.

use std::time::{Duration, Instant};

use standin::{Action, KeyedLogFaults, Trigger};
use tokio::task::JoinHandle;

use crate::util::{
    crash_fleet::{CrashFleet, DOWN, INTERVAL, SETTLED},
    gateway_harness::{Reply, request},
};

/// Crashes after which the part counts as known.
const CRASHES: usize = 5;

/// Most requests with the part that may reach endpoints later.
const ARRIVALS_MAX: usize = 3;

/// The part that crashes endpoints.
const BAD_PART: &str = "badbad0";

/// Engines that crash on requests with [`BAD_PART`].
struct Fleet(CrashFleet);

impl Fleet {
    async fn start() -> Fleet {
        Fleet(CrashFleet::start("engine", Action::Stream(3), BAD_PART).await)
    }

    /// Sends a request with `parts` before its own one.
    fn send(&mut self, parts: &str) -> JoinHandle<Reply> {
        self.0.send(|n| {
            let headers = format!(
                "x-model: *\r\nx-token-usage: 130,40\r\nx-prompt-prefix: {parts},{:x}:40\r\n",
                0x5000 + n
            );
            request("POST", "/draft/", &format!("r{n}"), &headers, "x")
        })
    }

    fn send_bad(&mut self) -> JoinHandle<Reply> {
        self.send(&format!("a1:60,{BAD_PART}:30"))
    }

    /// Sends a sound request, of one of five subjects.
    fn send_sound(&mut self) -> JoinHandle<Reply> {
        let subject = 0xc0 + self.0.sent() % 5;
        self.send(&format!("a1:60,{subject:x}:30"))
    }

    /// Number of requests with the part that reached endpoints.
    fn bad_arrivals(&self) -> usize {
        self.0.arrivals(|request| {
            let parts = request.header("x-prompt-prefix");
            parts.is_some_and(|parts| parts.contains(BAD_PART))
        })
    }

    /// Sends one request with the part and three sound ones, with pauses; returns the
    /// replies to the sound ones.
    async fn play_round(&mut self) -> Vec<JoinHandle<Reply>> {
        let mut sound = Vec::new();
        self.send_bad();
        tokio::time::sleep(INTERVAL).await;
        for _ in 0..3 {
            sound.push(self.send_sound());
            tokio::time::sleep(INTERVAL).await;
        }
        sound
    }

    /// Plays rounds until the part counts as known, and for [`SETTLED`] after that.
    async fn play_until_settled(&mut self) {
        let deadline = Instant::now() + Duration::from_secs(20);
        while self.0.crashes() < CRASHES {
            assert!(Instant::now() < deadline, "no endpoint crashes");
            self.play_round().await;
        }
        let settled = Instant::now() + SETTLED;
        while Instant::now() < settled {
            self.play_round().await;
        }
    }

    /// Plays rounds after the part is known; returns how many requests with it reached
    /// endpoints, and how many of the sound ones were answered, of how many.
    async fn play_known(&mut self) -> (usize, usize, usize) {
        let before = self.bad_arrivals();
        let mut sound = Vec::new();
        for _ in 0..20 {
            sound.extend(self.play_round().await);
        }
        let count = sound.len();
        let mut served = 0;
        for reply in sound {
            let reply = reply.await.expect("the task ends");
            served += usize::from(reply.status == 200 && reply.is_whole());
        }
        (self.bad_arrivals() - before, served, count)
    }
}

/// Regression test: 36 requests with one part were sent on after five endpoints had
/// crashed under it, at any gateway and to any endpoint (BUDGET); the sound ones that
/// share their other parts must be served (LOST).
#[tokio::test]
async fn prompt_part_that_crashes_endpoints_is_held_back_at_all_gateways() {
    let mut fleet = Fleet::start().await;
    fleet.play_until_settled().await;
    let (arrived, served, of) = fleet.play_known().await;
    assert!(arrived <= ARRIVALS_MAX, "{arrived} requests with the part");
    assert!(2 * served >= of, "{served} of {of} sound requests served");
}

#[tokio::test]
async fn held_back_part_stays_so_when_all_gateways_start_anew() {
    let mut fleet = Fleet::start().await;
    fleet.play_until_settled().await;
    fleet.0.restart_gateways().await;
    let (arrived, served, of) = fleet.play_known().await;
    assert!(arrived <= ARRIVALS_MAX, "{arrived} requests with the part");
    assert!(2 * served >= of, "{served} of {of} sound requests served");
}

/// Without the log, gateways that start anew find the part again.
#[tokio::test]
async fn part_is_found_again_when_all_gateways_start_anew_without_the_log() {
    let mut fleet = Fleet::start().await;
    fleet.play_until_settled().await;
    fleet.0.replace_log().await;
    fleet.0.platform.log.set_faults(KeyedLogFaults {
        read_only: true,
        ..KeyedLogFaults::default()
    });
    fleet.0.restart_gateways().await;
    let settled = Instant::now() + SETTLED;
    while Instant::now() < settled {
        fleet.play_round().await;
    }
    let (arrived, served, of) = fleet.play_known().await;
    assert!(arrived <= ARRIVALS_MAX, "{arrived} requests with the part");
    assert!(2 * served >= of, "{served} of {of} sound requests served");
}

/// The gateways that count crashes may end before they have decided.
#[tokio::test]
async fn part_is_found_by_the_gateway_that_is_left() {
    let mut fleet = Fleet::start().await;
    while fleet.0.crashes() < 2 {
        fleet.play_round().await;
    }
    fleet.0.end_other_gateways();
    fleet.play_until_settled().await;
    let (arrived, served, of) = fleet.play_known().await;
    assert!(arrived <= ARRIVALS_MAX, "{arrived} requests with the part");
    assert!(2 * served >= of, "{served} of {of} sound requests served");
}

/// A gateway that starts while the others hold a part back learns of it, also if the log
/// has lost all records.
#[tokio::test]
async fn gateway_that_starts_learns_from_its_peers() {
    let mut fleet = Fleet::start().await;
    fleet.play_until_settled().await;
    let late = fleet.0.add_gateway_on_new_log().await;
    let line = late.wait_logged("event=quarantined").await;
    assert!(line.contains("source=peer"), "{line}");
}

/// Endpoints that crash for another reason hold back no prompt.
#[tokio::test]
async fn prompts_of_every_kind_are_served_after_endpoints_crashed_at_random() {
    let mut fleet = Fleet::start().await;
    for endpoint in &fleet.0.endpoints {
        endpoint.crash_on(Trigger::EveryNth(4), DOWN);
    }
    for _ in 0..200 {
        fleet.send_sound();
        tokio::time::sleep(INTERVAL).await;
    }
    for endpoint in &fleet.0.endpoints {
        endpoint.stop_crashing();
    }
    tokio::time::sleep(2 * DOWN).await;
    for n in 0..100 {
        let reply = fleet.send_sound().await.expect("the task ends");
        assert!(
            reply.status == 200 && reply.is_whole(),
            "request {n}: {reply:?}"
        );
    }
}
