//! Gateways as real processes before stand-ins of the users' platform.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use standin::{KeyedLogService, ScriptedEndpoint};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::process::PROGRAM;

/// Longest wait for something that has to come true.
const WAIT: Duration = Duration::from_secs(20);

/// A gateway process; killed when dropped.
pub struct GatewayProcess {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks.
    pub ready: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Where other gateways reach it.
    pub words: SocketAddr,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl GatewayProcess {
    /// Starts a gateway with `extra` settings.
    pub fn start(dir: &TempDir, store: SocketAddr, extra: &str) -> GatewayProcess {
        let file = tempfile::Builder::new().suffix(".ini").tempfile_in(dir);
        let (_, file) = file.expect("a file can be made").keep().expect("and kept");
        let settings = format!(
            "[process]\nroom = a\ninstance = g1\n[store]\naddress = {store}\ntimeout_ms = 300\npoll_wait_ms = 300\n[gateway]\nlisten = 127.0.0.1:0\nready_listen = 127.0.0.1:0\nmetrics_listen = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\n{extra}"
        );
        std::fs::write(&file, settings).expect("settings can be written");
        let mut child = Command::new(PROGRAM)
            .arg("gateway")
            .env("CURRANTBANK_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program can be started");
        let mut output = BufReader::new(child.stdout.take().expect("it is piped"));
        let mut line = String::new();
        output.read_line(&mut line).expect("it announces itself");
        let address = |name: &str| {
            let mut pairs = line.split_whitespace().filter_map(|w| w.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.expect("announced").1.parse().expect("an address")
        };
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let gateway = GatewayProcess {
            callers: address("callers"),
            ready: address("ready"),
            metrics: address("metrics"),
            words: address("words"),
            lines: lines.clone(),
            child,
        };
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                lines.lock().expect("no panic").push(line);
            }
        });
        gateway
    }

    /// Log lines that hold `text`.
    pub fn logged(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lock().expect("no panic");
        lines.iter().filter(|l| l.contains(text)).cloned().collect()
    }

    /// Waits for a log line that holds `text`.
    pub async fn wait_logged(&self, text: &str) -> String {
        let until = Instant::now() + WAIT;
        loop {
            if let Some(line) = self.logged(text).into_iter().next() {
                return line;
            }
            assert!(Instant::now() < until, "no line with {text:?}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until it says that callers are welcome.
    pub async fn wait_ready(&self) {
        let until = Instant::now() + WAIT;
        while ask(self.ready, "GET /v1/ready HTTP/1.1\r\nhost: x\r\n\r\n")
            .await
            .status
            != 200
        {
            assert!(Instant::now() < until, "not ready");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal)
            .expect("it can be signalled");
    }

    /// Waits until it ended; whether it ended well.
    pub async fn wait_end(&mut self) -> bool {
        let until = Instant::now() + WAIT;
        loop {
            if let Some(status) = self.child.try_wait().expect("it can be asked") {
                return status.success();
            }
            assert!(Instant::now() < until, "it does not end");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// An answer as it came.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// Status; zero if the connection closed before one.
    pub status: u16,
    /// Everything that came.
    pub text: String,
}

impl Reply {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let head = self.text.split("\r\n\r\n").next()?;
        let mut pairs = head.lines().filter_map(|line| line.split_once(": "));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// What came after the head.
    pub fn body(&self) -> &str {
        self.text
            .split_once("\r\n\r\n")
            .map_or("", |(_, body)| body)
    }

    /// Whether a chunked answer is whole.
    pub fn is_whole(&self) -> bool {
        self.text.ends_with("0\r\n\r\n")
    }
}

/// Sends raw bytes and reads until the peer closes or pauses.
pub async fn ask(address: SocketAddr, request: &str) -> Reply {
    ask_bytes(address, request.as_bytes()).await
}

/// Like [`ask`], for bytes that are no text.
pub async fn ask_bytes(address: SocketAddr, request: &[u8]) -> Reply {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return Reply::default();
    };
    let _ = stream.write_all(request).await;
    read_reply(&mut stream).await
}

/// Reads one answer.
pub async fn read_reply(stream: &mut TcpStream) -> Reply {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while !is_complete(&bytes) {
        let reading = tokio::time::timeout(WAIT, stream.read(&mut buffer));
        match reading.await {
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

/// A configuration with one route of each kind; two teams.
pub fn configuration(version: u64) -> String {
    configuration_with(version, "")
}

/// Like [`configuration`], with more routes.
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

/// A platform with its log, and the endpoints that a test starts.
pub struct Site {
    /// The log.
    pub log: KeyedLogService,
    /// Where gateways keep their settings.
    pub dir: TempDir,
}

impl Site {
    /// A log with a first configuration.
    pub async fn start() -> Site {
        let log = KeyedLogService::start().await;
        log.put("keyed.op", "config", &configuration(1));
        Site {
            log,
            dir: tempfile::tempdir().expect("a folder can be made"),
        }
    }

    /// Announces an endpoint.
    pub fn announce(&self, id: &str, service: &str, endpoint: &ScriptedEndpoint) {
        self.announce_as(id, service, endpoint.address, "v1", "ready");
    }

    /// Announces an endpoint with a version and a state.
    pub fn announce_as(
        &self,
        id: &str,
        service: &str,
        address: SocketAddr,
        version: &str,
        state: &str,
    ) {
        let record = format!(
            r#"{{"service":"{service}","addr":"{address}","zone":"a","version":"{version}","slots":8,"state":"{state}","cold_left_ms":0,"seq":1,"born":5}}"#
        );
        self.log.put("keyed.servers", id, &record);
    }

    /// A gateway that is ready.
    pub async fn gateway(&self, extra: &str) -> GatewayProcess {
        let gateway = GatewayProcess::start(&self.dir, self.log.address, extra);
        gateway.wait_ready().await;
        gateway
    }
}

/// A request of team A.
pub fn request(method: &str, path: &str, id: &str, extra: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: h.example\r\nx-request-id: {id}\r\nauthorization: Bearer key-a\r\n{extra}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}
