//! The gateway under test, with two endpoints, and what must hold of it.

use standin::{Action, ScriptedEndpoint};

use crate::{
    DESCRIPTORS_MAX, DESCRIPTORS_RESERVED, MEMORY_MAX_KIB, MEMORY_MB,
    util::{
        client_group::ClientGroup,
        gateway_harness::{
            GatewayOptions, GatewayProcess, Reply, TestPlatform, configuration_with,
            request, send,
        },
    },
};

/// Largest body that the configuration allows, bytes.
pub const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Size of an ordinary request's body, bytes.
const ORDINARY_BODY_BYTES: usize = 17_000;

/// Statuses that promise that the request has not run and will not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Further routes: to an endpoint that runs every request and never answers, and two on
/// which bodies may take longer than any test.
const ROUTES: &str = r#",
{"name":"patient","host":"h.example","path_prefix":"/patient/","kind":"unsafe","timeout_ms":600000,"slo_ms":100,"priority":2,"service":"plain","max_attempts":1,"public":false},
{"name":"slow","host":"h.example","path_prefix":"/slow/","kind":"unsafe","timeout_ms":600000,"slo_ms":100,"priority":2,"service":"held","max_attempts":1,"public":false},
{"name":"held","host":"h.example","path_prefix":"/held/","kind":"unsafe","timeout_ms":2000,"slo_ms":100,"priority":2,"service":"held","max_attempts":1,"public":false}"#;

/// A platform with an endpoint that answers and one that holds its requests.
pub struct Deployment {
    /// Runs the requests under `/held/` and `/slow/`, and never answers.
    pub held: ScriptedEndpoint,
    /// Answers the requests under `/patient/`, which have no near deadline.
    pub plain: ScriptedEndpoint,
    platform: TestPlatform,
}

impl Deployment {
    pub async fn start() -> Deployment {
        let platform = TestPlatform::start().await;
        let held = ScriptedEndpoint::start(Action::Hang).await;
        let plain = ScriptedEndpoint::start(Action::Answer).await;
        platform.announce("p1", "plain", &plain);
        platform.announce("h1", "held", &held);
        let deployment = Deployment {
            held,
            plain,
            platform,
        };
        deployment.put_body_max(2, BODY_MAX_BYTES);
        deployment
    }

    /// Starts a gateway of the smallest machine, and waits until it knows the endpoints.
    pub async fn gateway(&self, descriptors_max: Option<u32>) -> GatewayProcess {
        let options = GatewayOptions {
            process: &format!("memory_mb = {MEMORY_MB}"),
            descriptors_max,
            ..GatewayOptions::default()
        };
        let log = self.platform.log.address;
        let gateway = GatewayProcess::start_with(&self.platform.dir, log, &options);
        gateway.wait_ready().await;
        gateway.wait_logged("endpoint=p1").await;
        gateway.wait_logged("endpoint=h1").await;
        gateway
    }

    /// Records a configuration with this limit of bodies.
    pub fn put_body_max(&self, version: u64, body_max_bytes: usize) {
        let limit = format!("\"max_body_bytes\":{body_max_bytes}");
        let configuration = configuration_with(version, ROUTES)
            .replace("\"max_body_bytes\":1000", &limit)
            .replace("\"idle_timeout_ms\":15000", "\"idle_timeout_ms\":60000")
            .replace("\"header_timeout_ms\":3000", "\"header_timeout_ms\":60000")
            .replace(
                r#"{"name":"plain","#,
                r#"{"name":"held","health_path":"/h","max_conns":100},{"name":"plain","#,
            );
        self.platform.log.put("keyed.op", "config", &configuration);
    }

    /// Checks that no request ran whose answer says that it did not; reads the answers.
    pub async fn assert_refused_have_not_run(&self, group: &mut ClientGroup) {
        let mut refused = Vec::new();
        for client in &mut group.clients {
            let reply = client.reply().await;
            if NOT_RUN.contains(&reply.status) {
                refused.push(client.request_id());
            }
        }
        let run = self.held.received();
        let run = run.iter().filter_map(|run| run.header("x-request-id"));
        for id in run {
            assert!(!refused.iter().any(|refused| refused == id), "{id} has run");
        }
    }
}

/// Checks that a process lives within the memory of its machine.
pub fn assert_within_memory(gateway: &GatewayProcess) {
    let peak_kib = gateway.memory_peak_kib();
    let unread_kib = gateway.unread_kib();
    assert!(
        peak_kib + unread_kib < MEMORY_MAX_KIB,
        "{peak_kib} KiB of memory, {unread_kib} KiB unread"
    );
}

/// Checks the number of open descriptors of a process that may open [`DESCRIPTORS_MAX`],
/// of which some are reserved for files.
pub fn assert_descriptors_left(gateway: &GatewayProcess) {
    let open = gateway.descriptors();
    let max = DESCRIPTORS_MAX as usize - DESCRIPTORS_RESERVED;
    assert!(open < max, "{open} descriptors are open");
}

/// Sends an ordinary request.
pub async fn send_ordinary(gateway: &GatewayProcess, id: &str) -> Reply {
    let body = "o".repeat(ORDINARY_BODY_BYTES);
    let text = request("POST", "/patient/", id, "", &body);
    send(gateway.callers, &text).await
}

/// A deployment with one gateway.
pub struct Fixture {
    pub gateway: GatewayProcess,
    pub deployment: Deployment,
}

impl Fixture {
    pub async fn start() -> Fixture {
        Fixture::start_with(None).await
    }

    /// Like [`Fixture::start`], with at most [`DESCRIPTORS_MAX`] descriptors.
    pub async fn start_with_few_descriptors() -> Fixture {
        Fixture::start_with(Some(DESCRIPTORS_MAX)).await
    }

    async fn start_with(descriptors_max: Option<u32>) -> Fixture {
        let deployment = Deployment::start().await;
        Fixture {
            gateway: deployment.gateway(descriptors_max).await,
            deployment,
        }
    }

    /// Puts another limit of bodies in force.
    pub async fn change_body_max(&self, version: u64, body_max_bytes: usize) {
        self.deployment.put_body_max(version, body_max_bytes);
        let in_force = format!("event=config_in_force version={version} ");
        self.gateway.wait_logged(&in_force).await;
    }

    /// Checks that the process lives within its machine and serves an ordinary request.
    ///
    /// The connections of a group must still be open.
    pub async fn assert_serves_within_bounds(&self) {
        assert_within_memory(&self.gateway);
        let reply = send_ordinary(&self.gateway, "ordinary").await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
}

/// Head of a request of team A whose body has a length.
pub fn sized_head(path: &str, id: &str, len: usize) -> String {
    head(path, id, &format!("content-length: {len}\r\n"))
}

/// Head of a request of team A whose body is sent in chunks.
pub fn chunked_head(path: &str, id: &str) -> String {
    head(path, id, "transfer-encoding: chunked\r\n")
}

fn head(path: &str, id: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\nx-request-id: {id}\r\nauthorization: Bearer key-a\r\n{framing}\r\n"
    )
}
