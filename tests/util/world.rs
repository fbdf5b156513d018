//! Stand-ins, relays and daemons of one test.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    net::SocketAddr,
    os::unix::fs::PermissionsExt,
    path::PathBuf,
    process::{Command, Output},
    time::Duration,
};

use bill::Bills;
use sha2::{Digest, Sha256};
use standin::{
    Engine, EngineConfig, InstanceListService, LogService, PlainService, RaterService,
    Relay, WeightStore,
};
use store::BILL_STREAM;
use tempfile::TempDir;

use super::process::{Daemon, PROGRAM};

/// Token of the operator `alice`.
pub const OPERATOR_TOKEN: &str = "alice-token";

/// Longest wait for something that must come to hold.
pub const HOLDS_WAIT: Duration = Duration::from_secs(20);

/// SHA-256 of a token, hex.
pub fn digest(token: &str) -> String {
    hex::encode(Sha256::digest(token))
}

/// How a daemon was started, for starting it again.
#[derive(Clone)]
struct Start {
    command: String,
    config: PathBuf,
}

/// All that one test runs.
pub struct World {
    pub log: LogService,
    pub live: InstanceListService,
    pub rater: RaterService,
    pub engines: BTreeMap<String, Engine>,
    pub services: BTreeMap<String, PlainService>,
    pub relays: BTreeMap<String, Relay>,
    pub weights: BTreeMap<String, WeightStore>,
    pub daemons: BTreeMap<String, Daemon>,
    starts: BTreeMap<String, Start>,
    known_peers: BTreeMap<String, SocketAddr>,
    dir: TempDir,
    /// Settings that every daemon gets, `section.key` to value.
    pub common: BTreeMap<String, String>,
}

impl World {
    /// Starts the platform's stand-ins.
    pub async fn start() -> World {
        let dir = tempfile::tempdir().expect("a folder for the test");
        let mut common = BTreeMap::new();
        let secrets = dir.path().join("secrets.ini").display().to_string();
        common.insert("process.secrets_file".to_owned(), secrets);
        for (key, value) in [
            ("store.poll_wait_ms", "200"),
            ("store.timeout_ms", "500"),
            ("store.claim_partitions", "2"),
            ("entry.heartbeat_ms", "50"),
            ("entry.silence_ms", "600"),
            ("log.level", "debug"),
        ] {
            common.insert(key.to_owned(), value.to_owned());
        }
        let world = World {
            log: LogService::start().await,
            live: InstanceListService::start().await,
            rater: RaterService::start().await,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            relays: BTreeMap::new(),
            weights: BTreeMap::new(),
            daemons: BTreeMap::new(),
            starts: BTreeMap::new(),
            known_peers: BTreeMap::new(),
            dir,
            common,
        };
        world.write_secrets("first-key", None);
        world
    }

    /// Writes the secrets that daemons read when they start.
    pub fn write_secrets(&self, key: &str, old_key: Option<&str>) {
        let path = self.dir.path().join("secrets.ini");
        let old_key = old_key.map_or(String::new(), |key| format!("old_key = {key}\n"));
        let text = format!(
            "[ticket]\nkey = {key}\n{old_key}[operators]\nalice = {}\nbob = {}\n",
            digest(OPERATOR_TOKEN),
            digest("bob-token")
        );
        fs::write(&path, text).expect("the secrets can be written");
        fs::set_permissions(&path, fs::Permissions::from_mode(0o600))
            .expect("the secrets' mode can be set");
    }

    /// Writes a settings file.  Later settings go before earlier ones.
    fn write_settings(
        &self,
        name: &str,
        settings: &BTreeMap<String, String>,
    ) -> PathBuf {
        let mut sections: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for (key, value) in settings {
            let (section, key) = key.split_once('.').expect("a setting is section.key");
            sections
                .entry(section)
                .or_default()
                .push(format!("{key} = {value}"));
        }
        let mut text = String::new();
        for (section, lines) in sections {
            text.push_str(&format!("[{section}]\n{}\n", lines.join("\n")));
        }
        let path = self.dir.path().join(format!("{name}.ini"));
        fs::write(&path, text).expect("settings can be written");
        path
    }

    fn settings(&self, room: &str) -> BTreeMap<String, String> {
        let mut settings = self.common.clone();
        settings.insert("process.room".into(), room.to_owned());
        settings
            .entry("store.address".into())
            .or_insert(self.log.address.to_string());
        settings
            .entry("store.live_address".into())
            .or_insert(self.live.address.to_string());
        settings
    }

    /// Starts an entry and has the platform list it.
    pub fn start_entry(&mut self, name: &str, room: &str, extra: &[(String, String)]) {
        let mut settings = self.settings(room);
        for key in ["listen", "admin_listen", "peer_listen"] {
            settings.insert(format!("entry.{key}"), "127.0.0.1:0".into());
        }
        settings.insert("entry.rater_address".into(), self.rater.address.to_string());
        settings.extend(extra.iter().cloned());
        let config = self.write_settings(name, &settings);
        self.spawn(name, "entry", config);
        let address = self.daemons[name].address("peers");
        self.live.add(name, "entry", room, address);
    }

    /// Starts an agent beside an endpoint and has the platform list it.
    pub fn start_agent(
        &mut self,
        name: &str,
        room: &str,
        endpoint: &str,
        extra: &[(String, String)],
    ) {
        let mut settings = self.settings(room);
        settings.insert("agent.listen".into(), "127.0.0.1:0".into());
        settings.insert("agent.endpoint".into(), endpoint.to_owned());
        let address = if let Some(engine) = self.engines.get(endpoint) {
            engine.address
        } else {
            settings.insert("agent.service".into(), endpoint.to_owned());
            self.services[endpoint].address
        };
        settings.insert("agent.endpoint_address".into(), address.to_string());
        settings.extend(extra.iter().cloned());
        let config = self.write_settings(name, &settings);
        self.spawn(name, "agent", config);
        let address = self.daemons[name].address("peers");
        self.live.add(name, "agent", room, address);
    }

    fn spawn(&mut self, name: &str, command: &str, config: PathBuf) {
        let log = self.log_path(name);
        let daemon = Daemon::start(command, &config, &log);
        self.known_peers
            .insert(name.to_owned(), daemon.address("peers"));
        self.daemons.insert(name.to_owned(), daemon);
        self.starts.insert(
            name.to_owned(),
            Start {
                command: command.to_owned(),
                config,
            },
        );
    }

    /// Starts a daemon again, and the platform knows.  Its addresses are new,
    /// unless it comes back on the one that its peers knew.
    pub fn restart(&mut self, name: &str, room: &str, same_address: bool) {
        let start = self.starts[name].clone();
        if same_address {
            let text =
                fs::read_to_string(&start.config).expect("its settings are there");
            let known = self.known_peers[name].to_string();
            let place = if start.command == "agent" {
                "listen"
            } else {
                "peer_listen"
            };
            let text = text.replace(
                &format!("{place} = 127.0.0.1:0"),
                &format!("{place} = {known}"),
            );
            fs::write(&start.config, text).expect("settings can be written");
        }
        self.spawn(name, &start.command, start.config);
        let address = self.daemons[name].address("peers");
        self.live.add(name, &start.command, room, address);
    }

    /// Where a daemon's log lines go.
    pub fn log_path(&self, name: &str) -> PathBuf {
        self.dir.path().join(format!("{name}.log"))
    }

    /// Starts an engine.
    pub async fn start_engine(
        &mut self,
        name: &str,
        model: EngineConfig,
        versions: &[&str],
    ) {
        let engine = Engine::start(model, versions).await;
        self.engines.insert(name.to_owned(), engine);
    }

    /// Starts a plain service.
    pub async fn start_service(&mut self, name: &str) {
        self.services
            .insert(name.to_owned(), PlainService::start().await);
    }

    /// An announced address of a daemon.
    pub fn address(&self, name: &str, which: &str) -> SocketAddr {
        self.daemons[name].address(which)
    }

    /// Runs `currantbank ctl` against an entry.
    pub fn ctl(&self, entry: &str, args: &[&str]) -> Output {
        self.ctl_as(OPERATOR_TOKEN, entry, args)
    }

    /// Runs `currantbank ctl` with a token.
    pub fn ctl_as(&self, token: &str, entry: &str, args: &[&str]) -> Output {
        let address = self.address(entry, "operators").to_string();
        Command::new(PROGRAM)
            .arg("ctl")
            .args(args)
            .args(["--entry", &address])
            .env("CURRANTBANK_TOKEN", token)
            .output()
            .expect("ctl can be run")
    }

    /// The bills that stand on the log, as the accounts office folds them.
    pub fn bills(&self) -> Bills {
        let mut bills = Bills::default();
        for (offset, body) in self.log.records(BILL_STREAM) {
            bills.apply(offset, &body);
        }
        bills
    }

    /// Waits until every daemon that `entry` hears, and itself, has folded
    /// the whole configuration stream.
    pub async fn wait_for_config(&self, entry: &str) -> Result<(), String> {
        let until = tokio::time::Instant::now() + HOLDS_WAIT;
        let records = self.log.records("config");
        let next = records.last().map_or(0, |(offset, _)| offset + 1);
        let mut last = String::new();
        while tokio::time::Instant::now() < until {
            let output = self.ctl(entry, &["status", "--json"]);
            last = String::from_utf8_lossy(&output.stdout).into_owned();
            if self.all_in_force(&last, next) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(format!("not in force everywhere at {next}: {last}"))
    }

    fn all_in_force(&self, status: &str, next: u64) -> bool {
        let Ok(status) = serde_json::from_str::<serde_json::Value>(status) else {
            return false;
        };
        let instances = status["instances"].as_array().cloned().unwrap_or_default();
        let live: BTreeSet<String> = instances
            .iter()
            .filter(|instance| {
                instance["config_offset"].as_u64() == Some(next)
                    && instance["heard_ms"].as_u64().is_some_and(|ms| ms < 1_000)
                    && (instance["role"] == "entry" || instance["takes_work"] == true)
            })
            .filter_map(|instance| instance["instance"].as_str().map(str::to_owned))
            .collect();
        live.len() >= self.daemons.len()
    }
}
