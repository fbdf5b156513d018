//! Processes of the program under review, started as the deploy file says.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::read_head;
use crate::sys;

/// Number of ports that are tried before a case counts as one that could not run.
const PORT_TRIALS: usize = 200;

/// Ids of all processes that were started and not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that are left; for the watchdog.
pub fn kill_all() {
    for pid in STARTED.lock().unwrap().iter() {
        sys::signal(*pid, sys::SIGKILL);
    }
}

/// Ports that are the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    metrics: u16,
}

impl Ports {
    /// Finds ports that are free on all of these addresses.
    pub fn find(ips: &[&str]) -> io::Result<Ports> {
        let mut found: Vec<u16> = Vec::new();
        let mut free = || -> io::Result<u16> {
            for _ in 0..PORT_TRIALS {
                let port = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
                let tcp: Vec<_> = ips
                    .iter()
                    .map(|ip| TcpListener::bind((*ip, port)))
                    .collect();
                let udp: Vec<_> =
                    ips.iter().map(|ip| UdpSocket::bind((*ip, port))).collect();
                let is_free =
                    tcp.iter().all(Result::is_ok) && udp.iter().all(Result::is_ok);
                if is_free && !found.contains(&port) {
                    found.push(port);
                    return Ok(port);
                }
            }
            Err(io::ErrorKind::AddrInUse.into())
        };
        Ok(Ports {
            front: free()?,
            ready: free()?,
            control: free()?,
            metrics: free()?,
        })
    }
}

/// What the template of the settings is filled with.
#[derive(Clone, Debug)]
pub struct Machine {
    pub node: &'static str,
    pub zone: &'static str,
    pub ip: &'static str,
    pub ports: Ports,
    /// Addresses of the first machines.
    pub seeds: Vec<&'static str>,
    pub store: SocketAddr,
    pub bounds: Vec<(&'static str, &'static str)>,
}

impl Machine {
    fn address(&self, port: u16) -> String {
        format!("{}:{port}", self.ip)
    }

    /// Fills in the template: its sections are of values that are all there.
    fn settings(&self, template: &str) -> String {
        let seeds = self
            .seeds
            .iter()
            .map(|ip| format!("{ip}:{}", self.ports.control));
        let mut values: BTreeMap<String, String> = BTreeMap::new();
        let mut set = |name: &str, value: String| values.insert(name.to_owned(), value);
        set("node", self.node.to_owned());
        set("zone", self.zone.to_owned());
        set("region", "region-1".to_owned());
        set("ip", self.ip.to_owned());
        set("platform.addr", self.store.to_string());
        set("seeds", seeds.collect::<Vec<_>>().join(","));
        set("listen.front", self.address(self.ports.front));
        set("listen.ready", self.address(self.ports.ready));
        set("listen.control", self.address(self.ports.control));
        set("port_range.1", self.ports.metrics.to_string());
        for (name, value) in &self.bounds {
            set(name, (*value).to_owned());
        }
        let lines = template
            .lines()
            .filter(|line| !line.starts_with("{{#") && !line.starts_with("{{/"));
        let mut text = lines.collect::<Vec<_>>().join("\n") + "\n";
        for (name, value) in &values {
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        text
    }
}

/// A gateway process; killed when dropped.
pub struct Gateway {
    child: Child,
    pub front: SocketAddr,
    ready: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED
            .lock()
            .unwrap()
            .retain(|pid| *pid != self.child.id());
    }
}

impl Gateway {
    /// Starts the role `gateway` of the deploy file. The files are in `dir`.
    pub fn start(machine: &Machine, dir: &Path) -> io::Result<Gateway> {
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""));
        let run = run
            .and_then(|rest| rest.strip_suffix('"'))
            .ok_or(io::ErrorKind::InvalidData)?;
        let mut words = run.split(' ');
        let template = fs::read_to_string("deploy/gateway.ini")?;
        let settings: PathBuf = dir.join(format!("{}.ini", machine.node));
        fs::write(&settings, machine.settings(&template))?;
        let log = dir.join(format!("{}.log", machine.node));
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let program = words.next().unwrap_or_default();
        let child = Command::new(program)
            .args(words)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CURRANTBANK_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        let parse =
            |text: String| text.parse().map_err(|_| io::ErrorKind::InvalidInput);
        Ok(Gateway {
            child,
            front: parse(machine.address(machine.ports.front))?,
            ready: parse(machine.address(machine.ports.ready))?,
        })
    }

    pub fn signal(&self, number: i32) {
        sys::signal(self.child.id(), number);
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) {
        let _ = self.child.wait();
    }

    /// Returns the largest memory that the process has used, KiB; zero once it has ended.
    pub fn memory_peak_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.unwrap_or(0)
    }

    /// Asks the readiness check once.
    pub fn is_ready(&self) -> bool {
        self.ask_ready().unwrap_or(false)
    }

    fn ask_ready(&self) -> io::Result<bool> {
        let mut stream =
            TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
        let head = read_head(&mut stream, &mut Vec::new())?;
        Ok(head.is_some_and(|head| head.starts_with("HTTP/1.1 200")))
    }

    /// Waits up to ten seconds until the gateway says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}
