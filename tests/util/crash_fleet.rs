//! Gateways in front of endpoints that crash on a text in a request.

use std::time::Duration;

use standin::{Action, ReceivedRequest, ScriptedEndpoint, Trigger};
use tokio::task::JoinHandle;

use super::gateway_harness::{GatewayProcess, Reply, TestPlatform, send};

/// Time for which an endpoint is away after a crash.
pub const DOWN: Duration = Duration::from_millis(700);

/// Time between two requests.
pub const INTERVAL: Duration = Duration::from_millis(40);

/// Time after the crash from which on a cause counts as known, in which requests with it
/// may still reach endpoints.
pub const SETTLED: Duration = Duration::from_secs(3);

const GATEWAYS: usize = 4;
const ENDPOINTS: usize = 16;

/// Gateways that hear each other, and the endpoints of one service.
pub struct CrashFleet {
    /// The log, and the settings of the gateways.
    pub platform: TestPlatform,
    /// The endpoints, `e00` to `e15`.
    pub endpoints: Vec<ScriptedEndpoint>,
    service: &'static str,
    gateways: Vec<GatewayProcess>,
    sent: usize,
}

impl CrashFleet {
    /// Starts endpoints that crash on requests with `text`, and gateways, and waits until
    /// these are ready and hear each other.
    pub async fn start(service: &'static str, action: Action, text: &str) -> Self {
        let mut endpoints = Vec::new();
        for _ in 0..ENDPOINTS {
            let endpoint = ScriptedEndpoint::start(action).await;
            endpoint.crash_on(Trigger::Text(text.into()), DOWN);
            endpoints.push(endpoint);
        }
        let mut fleet = CrashFleet {
            platform: TestPlatform::start().await,
            endpoints,
            service,
            gateways: Vec::new(),
            sent: 0,
        };
        fleet.announce_endpoints();
        fleet.restart_gateways().await;
        fleet
    }

    /// Replaces the log by a new one that holds only the configuration and the
    /// endpoints.
    pub async fn replace_log(&mut self) {
        self.platform = TestPlatform::start().await;
        self.announce_endpoints();
    }

    fn announce_endpoints(&self) {
        for (n, endpoint) in self.endpoints.iter().enumerate() {
            self.platform
                .announce(&format!("e{n:02}"), self.service, endpoint);
        }
    }

    /// Ends all gateways and starts as many new ones.
    pub async fn restart_gateways(&mut self) {
        self.gateways.clear();
        for _ in 0..GATEWAYS {
            let addresses: Vec<String> = self
                .gateways
                .iter()
                .map(|gateway| gateway.peer_address.to_string())
                .collect();
            let peers = match addresses.is_empty() {
                true => String::new(),
                false => format!("[peers]\naddresses = {}\n", addresses.join(",")),
            };
            let log = self.platform.log.address;
            let gateway = GatewayProcess::start(&self.platform.dir, log, &peers);
            self.gateways.push(gateway);
        }
        for gateway in &self.gateways {
            gateway.wait_ready().await;
            gateway.wait_logged("endpoint=e15").await;
            gateway.wait_logged("event=peer_heard").await;
        }
    }

    /// Starts a further gateway, which hears the others and reads a new log that holds
    /// only the configuration and the endpoints.
    pub async fn add_gateway_on_new_log(&mut self) -> GatewayProcess {
        self.replace_log().await;
        let known = self.gateways[0].peer_address;
        let peers = format!("[peers]\naddresses = {known}\n");
        let log = self.platform.log.address;
        let gateway = GatewayProcess::start(&self.platform.dir, log, &peers);
        gateway.wait_ready().await;
        gateway
    }

    /// Ends all but one of the gateways.
    pub fn end_other_gateways(&mut self) {
        self.gateways.truncate(1);
    }

    /// Sends the request that `text` gives for its number, each at another gateway than
    /// the one before.
    pub fn send<F>(&mut self, text: F) -> JoinHandle<Reply>
    where
        F: FnOnce(usize) -> String,
    {
        self.sent += 1;
        let text = text(self.sent);
        let callers = self.gateways[self.sent % self.gateways.len()].callers;
        tokio::spawn(async move { send(callers, &text).await })
    }

    /// Number of requests sent so far.
    pub fn sent(&self) -> usize {
        self.sent
    }

    /// Number of requests that reached endpoints and for which `is_counted` holds.
    pub fn arrivals<F>(&self, is_counted: F) -> usize
    where
        F: Fn(&ReceivedRequest) -> bool,
    {
        let received = self.endpoints.iter().flat_map(|e| e.received());
        received.filter(|request| is_counted(request)).count()
    }

    /// Number of crashes.
    pub fn crashes(&self) -> usize {
        self.endpoints.iter().map(|e| e.crash_count()).sum()
    }
}
