//! ClientGroups that overlap with signals, restarts and changes, in a random order by seed.
//!
//! `CURRANTBANK_SEED` replays one seed; `CURRANTBANK_SOAK_SEEDS` sets how many are played,
//! and `CURRANTBANK_SOAK_GATEWAYS` how many processes there are.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use rustix::process::Signal;

use crate::{
    ALONE, DESCRIPTORS_MAX,
    gateway::{
        BODY_MAX_BYTES, Deployment, assert_descriptors_left, assert_within_memory,
        chunked_head, send_ordinary, sized_head,
    },
    util::{
        client_group::{ClientGroup, chunks},
        gateway_harness::GatewayProcess,
    },
};

/// Default number of seeds, as run in CI.
const SEEDS: u64 = 3;

/// Default number of gateways.
const GATEWAYS: u64 = 2;

/// Number of steps with one seed.
const STEPS: u32 = 8;

/// How often an ordinary caller comes back before it counts as unanswered.
const RETURNS_MAX: u32 = 40;

/// Time after which an ordinary caller comes back if it was not told one.
const RETURN_AFTER: Duration = Duration::from_millis(250);

/// Length of a freeze.
const FREEZE: Duration = Duration::from_millis(700);

/// What the clients of a group send.
#[derive(Clone, Copy, Debug)]
enum Behavior {
    Whole,
    StopShort,
    LargeChunks,
    TinyChunks,
    OverLimit,
    WithoutKey,
    PartOfHead,
    Nothing,
}

const BEHAVIORS: [Behavior; 8] = [
    Behavior::Whole,
    Behavior::StopShort,
    Behavior::LargeChunks,
    Behavior::TinyChunks,
    Behavior::OverLimit,
    Behavior::WithoutKey,
    Behavior::PartOfHead,
    Behavior::Nothing,
];

impl Behavior {
    fn head(self, id: &str) -> String {
        match self {
            Behavior::Whole => sized_head("/held/", id, BODY_MAX_BYTES),
            Behavior::StopShort => sized_head("/slow/", id, BODY_MAX_BYTES),
            Behavior::LargeChunks | Behavior::TinyChunks => chunked_head("/slow/", id),
            Behavior::OverLimit => chunked_head("/held/", id),
            Behavior::WithoutKey => {
                sized_head("/held/", id, BODY_MAX_BYTES).replace("key-a", "unknown")
            }
            Behavior::PartOfHead => {
                let head = sized_head("/held/", id, 1_000);
                head.trim_end().to_owned()
            }
            Behavior::Nothing => String::new(),
        }
    }

    fn body(self) -> Vec<u8> {
        match self {
            Behavior::Whole => vec![b'd'; BODY_MAX_BYTES],
            Behavior::StopShort | Behavior::WithoutKey => {
                vec![b'd'; BODY_MAX_BYTES - 1]
            }
            Behavior::LargeChunks => chunks(BODY_MAX_BYTES - 1, 64 * 1024),
            Behavior::TinyChunks => chunks(100_000, 1),
            Behavior::OverLimit => chunks(2 * BODY_MAX_BYTES, 64 * 1024),
            Behavior::PartOfHead | Behavior::Nothing => Vec::new(),
        }
    }

    /// Range of the number of clients.
    fn client_count(self) -> std::ops::Range<usize> {
        match self {
            Behavior::PartOfHead | Behavior::Nothing => 100..300,
            _ => 5..30,
        }
    }
}

/// What happens beside the clients of a step.
#[derive(Clone, Copy, Debug)]
enum Event {
    None,
    Reload,
    Freeze,
    Stop,
    Kill,
    ChangeLimit,
}

const EVENTS: [Event; 6] = [
    Event::None,
    Event::Reload,
    Event::Freeze,
    Event::Stop,
    Event::Kill,
    Event::ChangeLimit,
];

struct Soak {
    seed: u64,
    rng: StdRng,
    deployment: Deployment,
    gateways: Vec<GatewayProcess>,
    /// Kept open until the end, whatever becomes of their processes.
    groups: Vec<ClientGroup>,
    version: u64,
}

impl Soak {
    async fn start(seed: u64, count: u64) -> Soak {
        let deployment = Deployment::start().await;
        let mut gateways = Vec::new();
        for _ in 0..count {
            gateways.push(deployment.gateway(Some(DESCRIPTORS_MAX)).await);
        }
        Soak {
            seed,
            rng: StdRng::seed_from_u64(seed),
            deployment,
            gateways,
            groups: Vec::new(),
            version: 2,
        }
    }

    async fn run(&mut self) {
        for step in 0..STEPS {
            let behavior = BEHAVIORS[self.rng.random_range(0..BEHAVIORS.len())];
            let event = EVENTS[self.rng.random_range(0..EVENTS.len())];
            let index = self.rng.random_range(0..self.gateways.len());
            println!(
                "seed={} step={step} gateway={index} clients={behavior:?} event={event:?}",
                self.seed
            );
            let count = self.rng.random_range(behavior.client_count());
            let address = self.gateways[index].callers;
            let sending = tokio::spawn(async move {
                ClientGroup::send(
                    address,
                    count,
                    |id| behavior.head(id),
                    behavior.body(),
                )
                .await
            });
            let pause = Duration::from_millis(self.rng.random_range(0..400));
            tokio::time::sleep(pause).await;
            self.play(event, index).await;
            self.groups.push(sending.await.expect("the clients end"));
            self.check().await;
        }
    }

    async fn play(&mut self, event: Event, index: usize) {
        match event {
            Event::None => {}
            Event::Reload => self.gateways[index].signal(Signal::HUP),
            Event::Freeze => {
                self.gateways[index].signal(Signal::STOP);
                tokio::time::sleep(FREEZE).await;
                self.gateways[index].signal(Signal::CONT);
            }
            Event::Stop => {
                self.gateways[index].signal(Signal::TERM);
                assert_within_memory(&self.gateways[index]);
                let ended = self.gateways[index].wait_exit().await;
                assert!(ended, "seed {}: the process failed", self.seed);
                self.replace(index).await;
            }
            Event::Kill => self.replace(index).await,
            Event::ChangeLimit => {
                self.version += 1;
                let part = self.rng.random_range(1..=8);
                self.deployment
                    .put_body_max(self.version, BODY_MAX_BYTES / 4 * part);
            }
        }
    }

    async fn replace(&mut self, index: usize) {
        let gateway = self.deployment.gateway(Some(DESCRIPTORS_MAX)).await;
        self.gateways[index] = gateway;
    }

    /// Checks that every process lives within its bounds and serves ordinary callers.
    async fn check(&self) {
        for (index, gateway) in self.gateways.iter().enumerate() {
            assert_within_memory(gateway);
            assert_descriptors_left(gateway);
            let mut reply = send_ordinary(gateway, "o0").await;
            for returns in 1..RETURNS_MAX {
                if reply.status == 200 {
                    break;
                }
                let after_s = reply.header("retry-after");
                let after = after_s.and_then(|after_s| after_s.parse().ok());
                let after = after.map_or(RETURN_AFTER, Duration::from_secs_f64);
                tokio::time::sleep(after).await;
                reply = send_ordinary(gateway, &format!("o{returns}")).await;
            }
            assert_eq!(
                reply.status, 200,
                "seed {}, gateway {index}: {reply:?}",
                self.seed
            );
        }
    }
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn soak_of_clients_signals_and_changes() {
    let _alone = ALONE.lock().await;
    let gateways = env_number("CURRANTBANK_SOAK_GATEWAYS").unwrap_or(GATEWAYS);
    let seeds = match env_number("CURRANTBANK_SEED") {
        Some(seed) => seed..seed + 1,
        None => 1..env_number("CURRANTBANK_SOAK_SEEDS").unwrap_or(SEEDS) + 1,
    };
    for seed in seeds {
        Soak::start(seed, gateways).await.run().await;
    }
}
