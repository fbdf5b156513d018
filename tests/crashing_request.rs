//! Requests that end their endpoint as a whole, and come again.

use std::time::{Duration, Instant};

use standin::{Action, ScriptedEndpoint, Trigger};
use tokio::task::JoinHandle;

use crate::util::{
    crash_fleet::{CrashFleet, DOWN, INTERVAL, SETTLED},
    gateway_harness::{Reply, TestPlatform, request, send},
};

/// Crashes after which the request counts as known.
const CRASHES: usize = 3;

/// Most times that it may reach endpoints later.
const ARRIVALS_MAX: usize = 3;

/// Body of the request that crashes endpoints.
const BAD_BODY: &str = "{\"badbad\":1}";

/// Header of a caller that waits for 60 ms.
const IMPATIENT: &str = "x-deadline-ms: 60\r\n";

/// Time from a request to the crash of its endpoint, longer than a gateway waits for an
/// impatient caller.
const CRASH_DELAY: Duration = Duration::from_millis(250);

async fn start_fleet() -> CrashFleet {
    CrashFleet::start("plain", Action::Answer, BAD_BODY).await
}

fn send_to(fleet: &mut CrashFleet, body: &str) -> JoinHandle<Reply> {
    fleet.send(|n| request("POST", "/safe/", &format!("r{n}"), "", body))
}

fn send_sound(fleet: &mut CrashFleet) -> JoinHandle<Reply> {
    let body = format!("{{\"lookup\":{}}}", fleet.sent());
    send_to(fleet, &body)
}

fn arrivals(fleet: &CrashFleet) -> usize {
    fleet.arrivals(|request| request.body == BAD_BODY.as_bytes())
}

/// Sends the bad request once and three sound ones, with pauses; returns the replies to
/// the sound ones.
async fn play_round(fleet: &mut CrashFleet) -> Vec<JoinHandle<Reply>> {
    let mut sound = Vec::new();
    send_to(fleet, BAD_BODY);
    tokio::time::sleep(INTERVAL).await;
    for _ in 0..3 {
        sound.push(send_sound(fleet));
        tokio::time::sleep(INTERVAL).await;
    }
    sound
}

async fn play_until_settled(fleet: &mut CrashFleet) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while fleet.crashes() < CRASHES {
        assert!(Instant::now() < deadline, "no endpoint crashes");
        play_round(fleet).await;
    }
    let settled = Instant::now() + SETTLED;
    while Instant::now() < settled {
        play_round(fleet).await;
    }
}

/// Plays rounds after the request is known; returns how often it reached endpoints, and
/// how many of the sound ones were answered, of how many.
async fn play_known(fleet: &mut CrashFleet) -> (usize, usize, usize) {
    let before = arrivals(fleet);
    let mut sound = Vec::new();
    for _ in 0..20 {
        sound.extend(play_round(fleet).await);
    }
    let count = sound.len();
    let mut served = 0;
    for reply in sound {
        served += usize::from(reply.await.expect("the task ends").status == 200);
    }
    (arrivals(fleet) - before, served, count)
}

/// Regression test: a request was sent on 9 times after three endpoints had ended under
/// it (BUDGET).
#[tokio::test]
async fn request_that_crashes_endpoints_is_held_back_when_it_comes_again() {
    let mut fleet = start_fleet().await;
    play_until_settled(&mut fleet).await;
    let (arrived, served, of) = play_known(&mut fleet).await;
    assert!(arrived <= ARRIVALS_MAX, "{arrived} arrivals");
    assert!(2 * served >= of, "{served} of {of} sound requests served");
}

#[tokio::test]
async fn held_back_request_stays_so_when_all_gateways_start_anew() {
    let mut fleet = start_fleet().await;
    play_until_settled(&mut fleet).await;
    fleet.restart_gateways().await;
    let (arrived, served, of) = play_known(&mut fleet).await;
    assert!(arrived <= ARRIVALS_MAX, "{arrived} arrivals");
    assert!(2 * served >= of, "{served} of {of} sound requests served");
}

/// Regression test: requests that were given up after 52 ms crashed their endpoints some
/// milliseconds later, which nobody counted.
#[tokio::test]
async fn request_that_is_given_up_before_its_endpoint_crashes_is_held_back() {
    let mut fleet = start_fleet().await;
    for endpoint in &fleet.endpoints {
        let trigger = Trigger::Text(BAD_BODY.into());
        endpoint.crash_later_on(trigger, CRASH_DELAY, DOWN);
    }
    let send_bad = |fleet: &mut CrashFleet| {
        fleet.send(|n| request("POST", "/safe/", &format!("r{n}"), IMPATIENT, BAD_BODY))
    };
    let deadline = Instant::now() + Duration::from_secs(20);
    let mut settled = None;
    while settled.is_none_or(|at| Instant::now() < at) {
        assert!(Instant::now() < deadline, "no endpoint crashes");
        if fleet.crashes() >= CRASHES && settled.is_none() {
            settled = Some(Instant::now() + SETTLED);
        }
        send_bad(&mut fleet);
        for _ in 0..3 {
            tokio::time::sleep(INTERVAL).await;
            send_sound(&mut fleet);
        }
        tokio::time::sleep(INTERVAL).await;
    }
    let (before, sent) = (arrivals(&fleet), 20);
    for _ in 0..sent {
        send_bad(&mut fleet);
        tokio::time::sleep(INTERVAL).await;
    }
    let arrived = arrivals(&fleet) - before;
    assert!(arrived <= ARRIVALS_MAX, "{arrived} arrivals of {sent}");
}

/// Regression test: three endpoints that come back under new ids after each crash, and a
/// gateway that gives the request up before.
#[tokio::test]
async fn request_that_ends_a_service_of_three_is_held_back() {
    let mut fleet = CrashFleet::start("other", Action::Answer, BAD_BODY).await;
    let mut slots: Vec<Slot> = Vec::new();
    for n in 0..3 {
        slots.push(Slot::start(&fleet, n, 0).await);
    }
    for _ in 0..20 {
        send_sound(&mut fleet);
        tokio::time::sleep(INTERVAL).await;
    }
    let deadline = Instant::now() + Duration::from_secs(20);
    let mut settled = None;
    let mut late = 0;
    let mut rounds_left = 100;
    while rounds_left > 0 {
        assert!(Instant::now() < deadline, "no endpoint crashes");
        let crashes: usize = slots.iter().map(Slot::crashes).sum();
        if crashes >= CRASHES && settled.is_none() {
            settled = Some(Instant::now() + SETTLED);
        }
        let before: usize = slots.iter().map(Slot::arrivals).sum();
        send_to(&mut fleet, BAD_BODY);
        tokio::time::sleep(INTERVAL).await;
        send_sound(&mut fleet);
        tokio::time::sleep(INTERVAL).await;
        for slot in &mut slots {
            slot.replace_after(Duration::from_secs(1), &fleet).await;
        }
        if settled.is_some_and(|at| Instant::now() >= at) {
            let after: usize = slots.iter().map(Slot::arrivals).sum();
            late += after - before;
            rounds_left -= 1;
        }
    }
    assert!(late <= ARRIVALS_MAX, "{late} arrivals");
}

/// A place in which endpoints follow each other.
struct Slot {
    number: usize,
    started: usize,
    endpoint: ScriptedEndpoint,
    ended: Vec<ScriptedEndpoint>,
    gone_since: Option<Instant>,
}

impl Slot {
    async fn start(fleet: &CrashFleet, number: usize, started: usize) -> Slot {
        let endpoint = ScriptedEndpoint::start(Action::Answer).await;
        let trigger = Trigger::Text(BAD_BODY.into());
        endpoint.end_later_on(trigger, CRASH_DELAY);
        let id = format!("p{number}-{started}");
        fleet.platform.announce(&id, "plain", &endpoint);
        Slot {
            number,
            started,
            endpoint,
            ended: Vec::new(),
            gone_since: None,
        }
    }

    fn crashes(&self) -> usize {
        self.ended.len() + self.endpoint.crash_count()
    }

    fn arrivals(&self) -> usize {
        let endpoints = self.ended.iter().chain([&self.endpoint]);
        let received = endpoints.flat_map(|endpoint| endpoint.received());
        let bad = received.filter(|request| request.body == BAD_BODY.as_bytes());
        bad.count()
    }

    /// Starts another endpoint when the present one has been gone for `away`.
    async fn replace_after(&mut self, away: Duration, fleet: &CrashFleet) {
        if self.endpoint.crash_count() == 0 {
            return;
        }
        let Some(since) = self.gone_since else {
            let id = format!("p{}-{}", self.number, self.started);
            fleet.platform.log.put("keyed.servers", &id, "");
            self.gone_since = Some(Instant::now());
            return;
        };
        if since.elapsed() < away {
            return;
        }
        let next = Slot::start(fleet, self.number, self.started + 1).await;
        let ended = std::mem::replace(self, next);
        self.ended = ended.ended;
        self.ended.push(ended.endpoint);
    }
}

/// The same body at another path, or of another team, is another request.
#[tokio::test]
async fn other_requests_with_the_same_body_are_served() {
    let mut fleet = start_fleet().await;
    play_until_settled(&mut fleet).await;
    for endpoint in &fleet.endpoints {
        endpoint.stop_crashing();
    }
    tokio::time::sleep(2 * DOWN).await;
    let held = send_to(&mut fleet, BAD_BODY).await.expect("the task ends");
    assert_eq!(held.status, 503, "{held:?}");
    assert!(held.header("retry-after").is_some(), "{held:?}");
    let other_path = fleet
        .send(|n| request("POST", "/safe/2", &format!("r{n}"), "", BAD_BODY))
        .await
        .expect("the task ends");
    assert_eq!(other_path.status, 200, "{other_path:?}");
    let other_team = fleet
        .send(|n| {
            let text = request("POST", "/safe/", &format!("r{n}"), "", BAD_BODY);
            text.replace("key-a", "key-b")
        })
        .await
        .expect("the task ends");
    assert_eq!(other_team.status, 200, "{other_team:?}");
}

/// Requests without a body are all alike, and most of them are sound.
#[tokio::test]
async fn equal_requests_are_served_after_endpoints_crashed_at_random() {
    let mut fleet = start_fleet().await;
    for endpoint in &fleet.endpoints {
        endpoint.crash_on(Trigger::EveryNth(4), DOWN);
    }
    for _ in 0..200 {
        fleet.send(|n| request("GET", "/safe/", &format!("r{n}"), "", ""));
        tokio::time::sleep(INTERVAL).await;
    }
    for endpoint in &fleet.endpoints {
        endpoint.stop_crashing();
    }
    tokio::time::sleep(2 * DOWN).await;
    for n in 0..100 {
        let sent = fleet.send(|n| request("GET", "/safe/", &format!("r{n}"), "", ""));
        let reply = sent.await.expect("the task ends");
        assert_eq!(reply.status, 200, "request {n}: {reply:?}");
    }
}

/// Regression test: a request whose endpoint crashed on a kept connection was recorded as
/// one that had never been sent.
#[tokio::test]
async fn request_that_ends_its_endpoint_on_a_kept_connection_is_reported() {
    let platform = TestPlatform::start().await;
    let endpoint = ScriptedEndpoint::start(Action::Answer).await;
    platform.announce("p1", "plain", &endpoint);
    let gateway = platform.gateway("").await;
    gateway.wait_logged("endpoint=p1").await;
    let sound = request("GET", "/safe/", "r1", "", "");
    assert_eq!(send(gateway.callers, &sound).await.status, 200);
    endpoint.queue(&[Action::Hang]);
    let callers = gateway.callers;
    let bad = request("GET", "/safe/", "r2", "", "");
    let sent = tokio::spawn(async move { send(callers, &bad).await });
    while endpoint.received().len() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    endpoint.crash_for_good();
    assert_eq!(sent.await.expect("the task ends").status, 502);
    let line = gateway.wait_logged("event=request_cut request=r2").await;
    assert!(line.contains("reason=endpoint_gone"), "{line}");
}
