//! The stand-ins, relays and daemons of one test.

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

use super::process::{Daemon, PROGRAM, command_with_descriptors};

/// Token of the operator `alice`.
pub const OPERATOR_TOKEN: &str = "alice-token";

/// Maximum time for an expected condition to hold.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// SHA-256 of a token, in hexadecimal.
pub fn digest(token: &str) -> String {
    hex::encode(Sha256::digest(token))
}

/// Command and settings file of a daemon, kept for restarts.
#[derive(Clone)]
struct LaunchSpec {
    command: String,
    config: PathBuf,
}

/// All processes and stand-ins of one test.
pub struct Cluster {
    pub log: LogService,
    pub instance_list: InstanceListService,
    pub rater: RaterService,
    pub engines: BTreeMap<String, Engine>,
    pub services: BTreeMap<String, PlainService>,
    pub relays: BTreeMap<String, Relay>,
    pub weight_stores: BTreeMap<String, WeightStore>,
    pub daemons: BTreeMap<String, Daemon>,
    launch_specs: BTreeMap<String, LaunchSpec>,
    peer_addresses: BTreeMap<String, SocketAddr>,
    dir: TempDir,
    /// Settings of every daemon started from now on, `section.key` to value.
    pub common_settings: BTreeMap<String, String>,
    /// Maximum number of open descriptors of every daemon started from now on.
    pub descriptors_max: Option<u32>,
}

impl Cluster {
    /// Starts the stand-ins for the platform's services.
    pub async fn start() -> Cluster {
        let dir = tempfile::tempdir().expect("creates a temporary directory");
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
        let cluster = Cluster {
            log: LogService::start().await,
            instance_list: InstanceListService::start().await,
            rater: RaterService::start().await,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            relays: BTreeMap::new(),
            weight_stores: BTreeMap::new(),
            daemons: BTreeMap::new(),
            launch_specs: BTreeMap::new(),
            peer_addresses: BTreeMap::new(),
            dir,
            common_settings: common,
            descriptors_max: None,
        };
        cluster.write_secrets("first-key", None);
        cluster
    }

    /// Writes the secrets file, which daemons read at startup.
    pub fn write_secrets(&self, key: &str, old_key: Option<&str>) {
        let path = self.dir.path().join("secrets.ini");
        let old_key = old_key.map_or(String::new(), |key| format!("old_key = {key}\n"));
        let text = format!(
            "[ticket]\nkey = {key}\n{old_key}[operators]\nalice = {}\nbob = {}\n",
            digest(OPERATOR_TOKEN),
            digest("bob-token")
        );
        fs::write(&path, text).expect("writes the secrets");
        fs::set_permissions(&path, fs::Permissions::from_mode(0o600))
            .expect("sets the mode of the secrets file");
    }

    /// Writes the settings file of the daemon `name` and returns its path.
    fn write_settings(
        &self,
        name: &str,
        settings: &BTreeMap<String, String>,
    ) -> PathBuf {
        let mut sections: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for (key, value) in settings {
            let (section, key) =
                key.split_once('.').expect("a setting is named section.key");
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
        fs::write(&path, text).expect("writes the settings");
        path
    }

    fn settings(&self, failure_domain: &str) -> BTreeMap<String, String> {
        let mut settings = self.common_settings.clone();
        settings.insert("process.room".into(), failure_domain.to_owned());
        settings
            .entry("store.address".into())
            .or_insert(self.log.address.to_string());
        settings
            .entry("store.live_address".into())
            .or_insert(self.instance_list.address.to_string());
        settings
    }

    /// Starts an entry and adds it to the platform's list of instances.  `extra`
    /// overrides the common settings.
    pub fn start_entry(
        &mut self,
        name: &str,
        failure_domain: &str,
        extra: &[(String, String)],
    ) {
        let mut settings = self.settings(failure_domain);
        for key in ["listen", "admin_listen", "peer_listen"] {
            settings.insert(format!("entry.{key}"), "127.0.0.1:0".into());
        }
        settings.insert("entry.rater_address".into(), self.rater.address.to_string());
        settings.extend(extra.iter().cloned());
        let config = self.write_settings(name, &settings);
        self.spawn(name, "entry", config);
        let address = self.daemons[name].address("peers");
        self.instance_list
            .add(name, "entry", failure_domain, address);
    }

    /// Starts an agent for an endpoint and adds it to the platform's list of
    /// instances.  `extra` overrides the common settings.
    pub fn start_agent(
        &mut self,
        name: &str,
        failure_domain: &str,
        endpoint: &str,
        extra: &[(String, String)],
    ) {
        let mut settings = self.settings(failure_domain);
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
        self.instance_list
            .add(name, "agent", failure_domain, address);
    }

    fn spawn(&mut self, name: &str, command: &str, config: PathBuf) {
        let log = self.log_path(name);
        let daemon = match self.descriptors_max {
            Some(max) => {
                let program = command_with_descriptors(max);
                Daemon::start_program(program, command, &config, &log)
            }
            None => Daemon::start(command, &config, &log),
        };
        self.peer_addresses
            .insert(name.to_owned(), daemon.address("peers"));
        self.daemons.insert(name.to_owned(), daemon);
        self.launch_specs.insert(
            name.to_owned(),
            LaunchSpec {
                command: command.to_owned(),
                config,
            },
        );
    }

    /// Restarts a daemon and updates the platform's list of instances.  With
    /// `same_address` it listens on its previous peer address, otherwise on a
    /// new one.
    pub fn restart(&mut self, name: &str, failure_domain: &str, same_address: bool) {
        let spec = self.launch_specs[name].clone();
        if same_address {
            let text = fs::read_to_string(&spec.config).expect("reads the settings");
            let address = self.peer_addresses[name].to_string();
            let listen_key = if spec.command == "agent" {
                "listen"
            } else {
                "peer_listen"
            };
            let text = text.replace(
                &format!("{listen_key} = 127.0.0.1:0"),
                &format!("{listen_key} = {address}"),
            );
            fs::write(&spec.config, text).expect("writes the settings");
        }
        self.spawn(name, &spec.command, spec.config);
        let address = self.daemons[name].address("peers");
        self.instance_list
            .add(name, &spec.command, failure_domain, address);
    }

    /// Path of a daemon's log file.
    pub fn log_path(&self, name: &str) -> PathBuf {
        self.dir.path().join(format!("{name}.log"))
    }

    pub async fn start_engine(
        &mut self,
        name: &str,
        config: EngineConfig,
        versions: &[&str],
    ) {
        let engine = Engine::start(config, versions).await;
        self.engines.insert(name.to_owned(), engine);
    }

    pub async fn start_service(&mut self, name: &str) {
        self.services
            .insert(name.to_owned(), PlainService::start().await);
    }

    /// Address of one of a daemon's listeners.
    pub fn address(&self, name: &str, listener: &str) -> SocketAddr {
        self.daemons[name].address(listener)
    }

    /// Runs `currantbank ctl` against an entry, as the operator `alice`.
    pub fn ctl(&self, entry: &str, args: &[&str]) -> Output {
        self.ctl_as(OPERATOR_TOKEN, entry, args)
    }

    /// Runs `currantbank ctl` against an entry, with an operator's token.
    pub fn ctl_as(&self, token: &str, entry: &str, args: &[&str]) -> Output {
        let address = self.address(entry, "operators").to_string();
        Command::new(PROGRAM)
            .arg("ctl")
            .args(args)
            .args(["--entry", &address])
            .env("CURRANTBANK_TOKEN", token)
            .output()
            .expect("runs ctl")
    }

    /// Applies the records of the bill stream, as accounting does.
    pub fn bills(&self) -> Bills {
        let mut bills = Bills::default();
        for (offset, body) in self.log.records(BILL_STREAM) {
            bills.apply(offset, &body);
        }
        bills
    }

    /// Waits until `entry` and every daemon that it hears have applied the whole
    /// configuration stream: its status then lists at least as many up-to-date
    /// instances as there are running daemons.
    pub async fn wait_for_config(&self, entry: &str) -> Result<(), String> {
        let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
        let records = self.log.records("config");
        let next_offset = records.last().map_or(0, |(offset, _)| offset + 1);
        let mut last_status = String::new();
        while tokio::time::Instant::now() < deadline {
            let output = self.ctl(entry, &["status", "--json"]);
            last_status = String::from_utf8_lossy(&output.stdout).into_owned();
            if self.all_applied(&last_status, next_offset) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(format!(
            "offset {next_offset} is not applied by all instances: {last_status}"
        ))
    }

    fn all_applied(&self, status: &str, next_offset: u64) -> bool {
        let Ok(status) = serde_json::from_str::<serde_json::Value>(status) else {
            return false;
        };
        let instances = status["instances"].as_array().cloned().unwrap_or_default();
        let up_to_date: BTreeSet<String> = instances
            .iter()
            .filter(|instance| {
                instance["config_offset"].as_u64() == Some(next_offset)
                    && instance["heard_ms"].as_u64().is_some_and(|ms| ms < 1_000)
                    && (instance["role"] == "entry" || instance["takes_work"] == true)
            })
            .filter_map(|instance| instance["instance"].as_str().map(str::to_owned))
            .collect();
        up_to_date.len() >= self.daemons.len()
    }
}
