//! Gateway processes in front of stand-ins for the users' platform.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use standin::{Action, KeyedLogService, ScriptedEndpoint};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::process::{PROGRAM, command_with_descriptors};
use super::process_stats::{descriptors, memory_peak_kib, unread_kib};

/// Maximum time for an expected condition to hold.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// How a gateway is started.
#[derive(Clone, Copy, Debug, Default)]
pub struct GatewayOptions<'a> {
    /// Additional lines of its `[process]` section.
    pub process: &'a str,
    /// Additional lines of its `[gateway]` section.
    pub gateway: &'a str,
    /// Maximum number of open descriptors.
    pub descriptors_max: Option<u32>,
}

/// A gateway process; killed on drop.
pub struct GatewayProcess {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// Listener for metrics.
    pub metrics: SocketAddr,
    /// Address of the gateway's peer listener, printed as `words`.
    pub peer_address: SocketAddr,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl GatewayProcess {
    /// Starts a gateway with `extra` lines in its `[gateway]` section.
    pub fn start(dir: &TempDir, store: SocketAddr, extra: &str) -> GatewayProcess {
        GatewayProcess::start_with(
            dir,
            store,
            &GatewayOptions {
                gateway: extra,
                ..GatewayOptions::default()
            },
        )
    }

    /// Starts a gateway with `options`.
    pub fn start_with(
        dir: &TempDir,
        store: SocketAddr,
        options: &GatewayOptions<'_>,
    ) -> GatewayProcess {
        let GatewayOptions {
            process, gateway, ..
        } = options;
        let mut command = match options.descriptors_max {
            Some(max) => command_with_descriptors(max),
            None => Command::new(PROGRAM),
        };
        let file = tempfile::Builder::new().suffix(".ini").tempfile_in(dir);
        let (_, file) = file
            .expect("creates the settings file")
            .keep()
            .expect("keeps the settings file");
        let settings = format!(
            "[process]\nroom = a\ninstance = g1\n{process}\n[store]\naddress = {store}\ntimeout_ms = 300\npoll_wait_ms = 300\n[gateway]\nlisten = 127.0.0.1:0\nready_listen = 127.0.0.1:0\nmetrics_listen = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\n{gateway}"
        );
        std::fs::write(&file, settings).expect("writes the settings");
        let mut child = command
            .arg("gateway")
            .env("CURRANTBANK_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("starts the binary");
        let mut output = BufReader::new(child.stdout.take().expect("stdout is piped"));
        let mut line = String::new();
        output
            .read_line(&mut line)
            .expect("reads the line of addresses");
        let address = |name: &str| {
            let mut pairs = line.split_whitespace().filter_map(|w| w.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found
                .expect("the address is printed")
                .1
                .parse()
                .expect("a socket address")
        };
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let gateway = GatewayProcess {
            callers: address("callers"),
            ready: address("ready"),
            metrics: address("metrics"),
            peer_address: address("words"),
            lines: lines.clone(),
            child,
        };
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                lines.lock().expect("the lock is not poisoned").push(line);
            }
        });
        gateway
    }

    /// Log lines that contain `text`.
    pub fn logged(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lock().expect("the lock is not poisoned");
        lines.iter().filter(|l| l.contains(text)).cloned().collect()
    }

    /// Waits for a log line that contains `text`.
    pub async fn wait_logged(&self, text: &str) -> String {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        loop {
            if let Some(line) = self.logged(text).into_iter().next() {
                return line;
            }
            assert!(
                Instant::now() < deadline,
                "timed out waiting for a log line with {text:?}"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until the readiness check returns 200.
    pub async fn wait_ready(&self) {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while send(self.ready, "GET /v1/ready HTTP/1.1\r\nhost: x\r\n\r\n")
            .await
            .status
            != 200
        {
            assert!(Instant::now() < deadline, "timed out waiting for readiness");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the value of a metric, given with its label; zero if it is not there.
    pub async fn metric(&self, name: &str) -> u64 {
        let get = "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n";
        let text = send(self.metrics, get).await.text;
        let value = text.lines().find_map(|line| {
            let (key, value) = line.trim_end().rsplit_once(' ')?;
            (key == name).then_some(value)
        });
        value.map_or(0, |value| value.parse().expect("a whole number"))
    }

    /// Returns the largest amount of memory that the process has used so far, KiB.
    pub fn memory_peak_kib(&self) -> u64 {
        memory_peak_kib(self.child.id())
    }

    /// Returns how much callers have sent that the process has not read, KiB.
    pub fn unread_kib(&self) -> u64 {
        unread_kib(self.callers)
    }

    /// Returns the number of open descriptors.
    pub fn descriptors(&self) -> usize {
        descriptors(self.child.id())
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("sends the signal");
    }

    /// Waits for the process to exit; returns whether it succeeded.
    pub async fn wait_exit(&mut self) -> bool {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("reads the exit status")
            {
                return status.success();
            }
            assert!(
                Instant::now() < deadline,
                "timed out waiting for the process to exit"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// A raw HTTP response.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// Status code; 0 if the connection closed before the status line.
    pub status: u16,
    /// Everything received, head included.
    pub text: String,
}

impl Reply {
    /// Value of a header; `name` is case-sensitive.
    pub fn header(&self, name: &str) -> Option<&str> {
        let head = self.text.split("\r\n\r\n").next()?;
        let mut pairs = head.lines().filter_map(|line| line.split_once(": "));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Everything after the head, chunk framing included.
    pub fn body(&self) -> &str {
        self.text
            .split_once("\r\n\r\n")
            .map_or("", |(_, body)| body)
    }

    /// Whether the final chunk of a chunked response arrived.
    pub fn is_whole(&self) -> bool {
        self.text.ends_with("0\r\n\r\n")
    }
}

/// Sends a raw request on a new connection and reads the response.
pub async fn send(address: SocketAddr, request: &str) -> Reply {
    send_bytes(address, request.as_bytes()).await
}

/// Like [`send`], for requests that are not UTF-8.
pub async fn send_bytes(address: SocketAddr, request: &[u8]) -> Reply {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return Reply::default();
    };
    let _ = stream.write_all(request).await;
    read_reply(&mut stream).await
}

/// Reads one response, until it is complete, the connection ends or
/// [`CONDITION_TIMEOUT`] passes without data.
pub async fn read_reply(stream: &mut TcpStream) -> Reply {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while !is_complete(&bytes) {
        let read_result =
            tokio::time::timeout(CONDITION_TIMEOUT, stream.read(&mut buffer));
        match read_result.await {
            Ok(Ok(read)) if read > 0 => bytes.extend_from_slice(&buffer[..read]),
            _ => break,
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Reply {
        status: status.unwrap_or(0),
        text,
    }
}

fn is_complete(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let mut lengths = head
        .lines()
        .filter_map(|l| l.strip_prefix("content-length: "));
    match lengths
        .next()
        .and_then(|length| length.parse::<usize>().ok())
    {
        Some(length) => body.len() >= length,
        None if head.contains("transfer-encoding: chunked") => {
            body.ends_with("0\r\n\r\n")
        }
        None => false,
    }
}

/// A configuration with one route of each kind and two teams.
pub fn configuration(version: u64) -> String {
    configuration_with(version, "")
}

/// Like [`configuration`], with additional `routes` (JSON, each preceded by a
/// comma).
pub fn configuration_with(version: u64, routes: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"safe","host":"h.example","path_prefix":"/safe/","kind":"safe","timeout_ms":2000,"slo_ms":300,"priority":2,"service":"plain","max_attempts":2,"public":false}},
{{"name":"once","host":"h.example","path_prefix":"/once/","kind":"unsafe","timeout_ms":1000,"slo_ms":100,"priority":2,"service":"plain","max_attempts":2,"public":false}},
{{"name":"draft","host":"h.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":6000,"slo_ms":2000,"priority":0,"sizes":["m0","m1","m2"],"service":"engine","max_attempts":3,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":300}}{routes}],
"services":[{{"name":"plain","health_path":"/h","max_conns":100}},{{"name":"engine","health_path":"/h","max_conns":100,"engine":{{"slots":64,"kv_capacity":500000,"models":[{{"name":"m0","cost":0.1}}]}}}}],
"limits":{{"max_header_bytes":4096,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"team-a","api_keys":["key-a"]}},{{"name":"team-b","api_keys":["key-b"],"priority":1}}]}}"#
    )
}

/// The announcement of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointRecord<'a> {
    /// Service of the endpoint.
    pub service: &'a str,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: &'a str,
    /// Version of its software.
    pub version: &'a str,
    /// `ready` or `draining`.
    pub state: &'a str,
    /// Time for which it is still cold, ms.
    pub cold_left_ms: u64,
    /// Start time of the incarnation, ms since the Unix epoch.
    pub born_ms: u64,
}

impl<'a> EndpointRecord<'a> {
    /// A ready, warm endpoint of version `v1` in the failure domain `a`.
    pub fn new(service: &'a str, address: SocketAddr) -> Self {
        EndpointRecord {
            service,
            address,
            failure_domain: "a",
            version: "v1",
            state: "ready",
            cold_left_ms: 0,
            born_ms: 5,
        }
    }

    fn encode(&self) -> String {
        let EndpointRecord {
            service,
            address,
            failure_domain,
            version,
            state,
            cold_left_ms,
            born_ms,
        } = self;
        format!(
            r#"{{"service":"{service}","addr":"{address}","zone":"{failure_domain}","version":"{version}","slots":8,"state":"{state}","cold_left_ms":{cold_left_ms},"seq":1,"born":{born_ms}}}"#
        )
    }
}

/// Stand-in for the users' platform: its log, and endpoints published there.
pub struct TestPlatform {
    /// Log from which gateways read configuration and endpoints.
    pub log: KeyedLogService,
    /// Directory of the gateways' settings files.
    pub dir: TempDir,
}

impl TestPlatform {
    /// Starts a log that contains configuration version 1.
    pub async fn start() -> TestPlatform {
        let log = KeyedLogService::start().await;
        log.put("keyed.op", "config", &configuration(1));
        TestPlatform {
            log,
            dir: tempfile::tempdir().expect("creates a temporary directory"),
        }
    }

    /// Publishes the record of a ready endpoint of version `v1`.
    pub fn announce(&self, id: &str, service: &str, endpoint: &ScriptedEndpoint) {
        self.announce_as(id, service, endpoint.address, "v1", "ready");
    }

    /// Publishes the record of an endpoint.
    pub fn announce_record(&self, id: &str, record: &EndpointRecord<'_>) {
        self.log.put("keyed.servers", id, &record.encode());
    }

    /// Publishes a ready endpoint of a version in a failure domain.
    pub fn announce_in(
        &self,
        failure_domain: &str,
        id: &str,
        service: &str,
        address: SocketAddr,
        version: &str,
    ) {
        let record = EndpointRecord {
            failure_domain,
            version,
            ..EndpointRecord::new(service, address)
        };
        self.announce_record(id, &record);
    }

    /// Publishes an endpoint record with a version and a state.
    pub fn announce_as(
        &self,
        id: &str,
        service: &str,
        address: SocketAddr,
        version: &str,
        state: &str,
    ) {
        let record = EndpointRecord {
            version,
            state,
            ..EndpointRecord::new(service, address)
        };
        self.announce_record(id, &record);
    }

    /// Publishes a ready endpoint of version `v1` that started at `born_ms`; the other
    /// methods publish the start time 5.
    pub fn announce_incarnation(
        &self,
        id: &str,
        service: &str,
        address: SocketAddr,
        born_ms: u64,
    ) {
        let record = EndpointRecord {
            born_ms,
            ..EndpointRecord::new(service, address)
        };
        self.announce_record(id, &record);
    }

    /// Starts a gateway and waits until it is ready.
    pub async fn gateway(&self, extra: &str) -> GatewayProcess {
        let gateway = GatewayProcess::start(&self.dir, self.log.address, extra);
        gateway.wait_ready().await;
        gateway
    }
}

/// Starts a platform with one endpoint, `p1`, of `service`, and a gateway that knows it.
pub async fn one_endpoint(
    service: &str,
    act: Action,
) -> (TestPlatform, ScriptedEndpoint, GatewayProcess) {
    let platform = TestPlatform::start().await;
    let endpoint = ScriptedEndpoint::start(act).await;
    platform.announce("p1", service, &endpoint);
    let gateway = platform.gateway("").await;
    gateway.wait_logged("endpoint=p1").await;
    (platform, endpoint, gateway)
}

/// Formats a request of team A; `extra` is a list of header lines.
pub fn request(method: &str, path: &str, id: &str, extra: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: h.example\r\nx-request-id: {id}\r\nauthorization: Bearer key-a\r\n{extra}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}
