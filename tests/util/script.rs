//! Interpreter of the scenario language.
//!
//! A scenario is a `datadriven` file of cases: `do`, one command per line,
//! `----`, and the expected output.  Arguments are `name=value` pairs or plain
//! words.  Commands run in order; `spawn` starts a call in the background, and
//! `join` waits for it and prints its result.
//!
//! | command | effect |
//! |---|---|
//! | `common section.key=value ...` | sets settings of all daemons started later |
//! | `weights NAME every_ms=` | starts a weight store that serves one version per interval of `every_ms` |
//! | `engine NAME versions=a@v1,b@v1 [slots= first_ms= token_ms= checks_fencing= weights= cached= lag_ms=]` | starts an engine |
//! | `service NAME` | starts a plain service |
//! | `entry NAME room=R [section.key=value ...]` | starts an entry; a value `relay:NAME` is replaced by the relay's address |
//! | `agent NAME room=R endpoint=E [unlisted] [section.key=value ...]` | starts an agent; `unlisted` omits it from the instance list |
//! | `relay NAME to=log\|SERVICE\|DAEMON [room=R]` | starts a TCP relay; a relay to a daemon replaces its address in the instance list |
//! | `relay-mode NAME pass\|silence-open\|cut\|silence-replies\|delay-requests=MS` | sets a relay's mode; see `standin::RelayMode` |
//! | `setup ENTRY MODEL=v1,v2 ... teams=a,b [services= idempotent=]` | creates models, services and teams with `ctl` |
//! | `ctl ENTRY [as:bob\|as:TOKEN] WORDS...` | runs the operators' client; prints its output, and its exit code unless 0 |
//! | `chat ENTRY team= model= prompt= [tokens= stream session= ticket=SLOT deadline_ms= priority=]` | sends a chat request; `ticket=` stores and reuses the session ticket |
//! | `call ENTRY team= service= key= [body= deadline_ms=]` | calls a service |
//! | `get ENTRY team= path=` | sends a GET request |
//! | `spawn ID chat\|call ...`, `join ID`, `join-length ID` | starts a call in the background; waits for its result |
//! | `many N chat ...`, `many-any N chat ...` | repeats a call N times in sequence; `many` prints how often each result occurred, `many-any` prints nothing |
//! | `race N ENTRY ENTRY TEAM MODEL` | sends the first requests of N sessions to two entries concurrently |
//! | `log up\|down\|freeze\|thaw\|slow=MS\|lose-acks=N\|trim=STREAM:N\|refuse-appends=STREAM` | sets or clears faults of the log |
//! | `log-append STREAM RECORD` | appends a record directly, without a daemon |
//! | `live down\|up\|remove=NAME`, `rater silent\|loud` | sets or clears faults of the instance list and the rater |
//! | `change-engine NAME frozen= cut_after= bad= token_ms= load=V unload=V` | changes an engine's faults, speed or loaded versions |
//! | `change-service NAME delay_ms= hang=` | changes a service's faults |
//! | `kill NAME`, `stop NAME`, `freeze NAME`, `thaw NAME`, `wait-exit NAME`, `restart NAME room=R [same-address]` | sends signals, waits for an exit, restarts |
//! | `new-ticket-key NEW OLD` | replaces the ticket keys, which daemons read at startup |
//! | `wait-...` | polls a condition, and prints a line if it does not hold in time; see `Script::condition_holds` |
//! | `bills`, `runs SERVICE KEY`, `started ENGINE`, `orders ENGINE` | prints bills, runs, started requests or load orders |
//! | `sleep MS` | waits |

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use datadriven::TestCase;
use rustix::process::Signal;
use standin::{EngineConfig, Relay, RelayMode, WeightStore};
use tokio::{sync::watch, task::JoinHandle};

use super::{
    caller::{self, CallResult, ChatCall},
    cluster::{CONDITION_TIMEOUT, Cluster},
};

/// Arguments of one command: plain words and `name=value` pairs.
struct Args<'a> {
    words: Vec<&'a str>,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Args<'a> {
    fn read(line: &'a str) -> Args<'a> {
        let mut args = Args {
            words: Vec::new(),
            pairs: Vec::new(),
        };
        for word in line.split_whitespace() {
            match word.split_once('=') {
                Some(pair) if !word.starts_with("--") => args.pairs.push(pair),
                _ => args.words.push(word),
            }
        }
        args
    }

    fn word(&self, index: usize) -> &'a str {
        self.words
            .get(index)
            .copied()
            .unwrap_or_else(|| panic!("argument {index} is missing"))
    }

    fn has_flag(&self, word: &str) -> bool {
        self.words.contains(&word)
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs
            .iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| *value)
    }

    fn required(&self, name: &str) -> &'a str {
        self.get(name)
            .unwrap_or_else(|| panic!("{name}= is missing"))
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.get(name).map(|value| value.parse().expect("a number"))
    }

    /// Pairs whose key is a setting, `section.key`.
    fn settings(&self) -> Vec<(String, String)> {
        let settings = self.pairs.iter().filter(|(key, _)| key.contains('.'));
        settings
            .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()))
            .collect()
    }
}

struct BackgroundCall {
    task: JoinHandle<CallResult>,
    progress: watch::Receiver<String>,
}

/// Interpreter state of one scenario.
pub struct Script {
    pub cluster: Cluster,
    background: HashMap<String, BackgroundCall>,
    tickets: BTreeMap<String, String>,
}

impl Script {
    /// Starts a cluster that consists of the platform's stand-ins only.
    pub async fn new() -> Script {
        Script {
            cluster: Cluster::start().await,
            background: HashMap::new(),
            tickets: BTreeMap::new(),
        }
    }

    /// Runs the commands of one case and returns their output.
    pub async fn run(&mut self, case: &TestCase) -> String {
        let mut out = String::new();
        for line in case.input.lines() {
            out.push_str(&self.command(line).await);
        }
        if out.is_empty() { "ok\n".into() } else { out }
    }

    pub async fn command(&mut self, line: &str) -> String {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            return String::new();
        }
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        let args = Args::read(rest);
        match name {
            "common" => {
                self.cluster.common_settings.extend(args.settings());
                String::new()
            }
            "engine" | "service" | "entry" | "agent" | "relay" | "weights" => {
                self.start(name, &args).await
            }
            "relay-mode" | "log" | "live" | "change-engine" | "change-service" => {
                self.inject_fault(name, &args)
            }
            "log-append" => {
                let (stream, record) =
                    rest.split_once(' ').expect("a stream and a record");
                self.cluster.log.append(stream, record);
                String::new()
            }
            "kill" | "stop" | "freeze" | "thaw" | "wait-exit" | "restart" => {
                self.control_process(name, &args).await
            }
            "ctl" => self.ctl(rest),
            "setup" => self.setup(&args),
            "chat" => {
                let (result, slot) = self.chat(&args).await;
                self.store_ticket(slot, &result);
                format!("{}\n", result.summary())
            }
            "call" => format!("{}\n", self.call(&args).await.summary()),
            "get" => self.get(&args).await,
            "spawn" => self.spawn(rest),
            "many" | "many-any" => self.many(rest, name == "many").await,
            "race" => self.race(&args).await,
            "rater" => {
                self.cluster.rater.set_hang(args.has_flag("silent"));
                String::new()
            }
            "new-ticket-key" => {
                self.cluster.write_secrets(args.word(0), Some(args.word(1)));
                String::new()
            }
            "join-length" => {
                let result = self.take_result(args.word(0)).await;
                match result.as_ref().and_then(|result| result.text.as_ref()) {
                    Some(text) => {
                        format!("{} pieces\n", text.split_whitespace().count())
                    }
                    None => format!("{:?}\n", result.map(|result| result.summary())),
                }
            }
            "join" => self.join(args.word(0)).await,
            "bills" | "runs" | "started" | "orders" => self.print_count(name, &args),
            name if name.starts_with("wait-") => self.wait(name, &args, rest).await,
            "sleep" => {
                let ms = args.word(0).parse().expect("a number");
                tokio::time::sleep(Duration::from_millis(ms)).await;
                String::new()
            }
            other => panic!("unknown command {other:?}"),
        }
    }

    async fn start(&mut self, command: &str, args: &Args<'_>) -> String {
        let name = args.word(0);
        match command {
            "engine" => {
                let defaults = EngineConfig::default();
                let config = EngineConfig {
                    slots: args.number("slots").map_or(defaults.slots, |n| n as u32),
                    first_token_ms: args
                        .number("first_ms")
                        .unwrap_or(defaults.first_token_ms),
                    token_ms: args.number("token_ms").unwrap_or(defaults.token_ms),
                    checks_fencing: args.get("checks_fencing") != Some("no"),
                    weights: args
                        .get("weights")
                        .map(|name| self.cluster.weight_stores[name].address),
                    cached_prompts: args.number("cached").unwrap_or(0) as usize,
                    report_lag_ms: args.number("lag_ms").unwrap_or(0),
                    ..defaults
                };
                let versions: Vec<&str> =
                    args.required("versions").split(',').collect();
                self.cluster.start_engine(name, config, &versions).await;
            }
            "weights" => {
                let every_ms = args.number("every_ms").expect("every_ms=");
                let store = WeightStore::start(every_ms).await;
                self.cluster.weight_stores.insert(name.to_owned(), store);
            }
            "service" => self.cluster.start_service(name).await,
            "entry" => self.cluster.start_entry(
                name,
                args.required("room"),
                &self.daemon_settings(args),
            ),
            "agent" => {
                let (failure_domain, endpoint) =
                    (args.required("room"), args.required("endpoint"));
                self.cluster.start_agent(
                    name,
                    failure_domain,
                    endpoint,
                    &self.daemon_settings(args),
                );
                if args.has_flag("unlisted") {
                    // A relay to the agent is listed later, in its place.
                    self.cluster.instance_list.remove(name);
                }
            }
            _ => {
                let target = args.required("to");
                let service = self.cluster.services.get(target);
                let is_daemon = target != "log" && service.is_none();
                let address = if let Some(service) = service {
                    service.address
                } else if target == "log" {
                    self.cluster.log.address
                } else {
                    self.cluster.address(target, "peers")
                };
                let relay = Relay::start(address).await;
                if is_daemon {
                    // Peers that read the list reach the daemon through the relay.
                    let role = if target.starts_with("entry") {
                        "entry"
                    } else {
                        "agent"
                    };
                    self.cluster.instance_list.add(
                        target,
                        role,
                        args.required("room"),
                        relay.address,
                    );
                }
                self.cluster.relays.insert(name.to_owned(), relay);
            }
        }
        String::new()
    }

    /// Settings of one daemon, with `relay:NAME` replaced by the relay's address.
    fn daemon_settings(&self, args: &Args<'_>) -> Vec<(String, String)> {
        let settings = args.settings().into_iter();
        let resolved =
            settings.map(|(key, value)| match value.strip_prefix("relay:") {
                Some(relay) => (key, self.cluster.relays[relay].address.to_string()),
                None => (key, value),
            });
        resolved.collect()
    }

    fn inject_fault(&mut self, command: &str, args: &Args<'_>) -> String {
        match command {
            "relay-mode" => {
                let mode = match args.words.get(1).copied() {
                    Some("pass") => RelayMode::Forward,
                    Some("silence-open") => RelayMode::BlackholeOpen,
                    Some("cut") => RelayMode::Partition,
                    Some("silence-replies") => RelayMode::BlackholeReplies,
                    _ => RelayMode::DelayRequests(
                        args.number("delay-requests").expect("a relay mode"),
                    ),
                };
                self.cluster.relays[args.word(0)].set_mode(mode);
            }
            "log" => self.log_fault(args),
            "live" => {
                if let Some(name) = args.get("remove") {
                    self.cluster.instance_list.remove(name);
                } else {
                    self.cluster.instance_list.set_down(args.has_flag("down"));
                }
            }
            "change-service" => {
                let service = &self.cluster.services[args.word(0)];
                service.update_faults(|faults| {
                    if let Some(delay_ms) = args.number("delay_ms") {
                        faults.delay_ms = delay_ms;
                    }
                    if let Some(hang) = args.get("hang") {
                        faults.hang = hang == "yes";
                    }
                });
            }
            _ => self.engine_fault(args),
        }
        String::new()
    }

    fn log_fault(&mut self, args: &Args<'_>) {
        if let Some((stream, first)) = args.get("trim").and_then(|v| v.split_once(':'))
        {
            self.cluster
                .log
                .trim(stream, first.parse().expect("an offset"));
        }
        self.cluster.log.update_faults(|faults| {
            for word in &args.words {
                match *word {
                    "up" => *faults = Default::default(),
                    "down" => faults.down = true,
                    "freeze" => faults.hang = true,
                    "thaw" => faults.hang = false,
                    other => panic!("unknown log fault {other:?}"),
                }
            }
            if let Some(slow_ms) = args.number("slow") {
                faults.delay_ms = slow_ms;
            }
            if let Some(count) = args.number("lose-acks") {
                faults.lose_acks = count as u32;
            }
            if let Some(stream) = args.get("refuse-appends") {
                faults.refuse_appends = Some(stream.to_owned());
            }
        });
    }

    fn engine_fault(&mut self, args: &Args<'_>) {
        let engine = &self.cluster.engines[args.word(0)];
        if let Some(version) = args.get("load") {
            engine.set_version(version, true);
        }
        if let Some(version) = args.get("unload") {
            engine.set_version(version, false);
        }
        engine.update_config(|config| {
            if let Some(frozen) = args.get("frozen") {
                config.hang = frozen == "yes";
            }
            if let Some(bad) = args.get("bad") {
                config.bad_answers = bad == "yes";
            }
            if let Some(after) = args.get("cut_after") {
                config.disconnect_after_tokens = after.parse().ok();
            }
            if let Some(token_ms) = args.number("token_ms") {
                config.token_ms = token_ms;
            }
        });
    }

    async fn control_process(&mut self, command: &str, args: &Args<'_>) -> String {
        let name = args.word(0);
        if command == "restart" {
            self.cluster.restart(
                name,
                args.required("room"),
                args.has_flag("same-address"),
            );
            return String::new();
        }
        let daemon = self
            .cluster
            .daemons
            .get_mut(name)
            .expect("the daemon is running");
        match command {
            "kill" => {
                daemon.signal(Signal::KILL);
                daemon.wait();
                self.cluster.daemons.remove(name);
            }
            "stop" => daemon.signal(Signal::TERM),
            "freeze" => daemon.signal(Signal::STOP),
            "thaw" => daemon.signal(Signal::CONT),
            _ => {
                let mut daemon = self
                    .cluster
                    .daemons
                    .remove(name)
                    .expect("the daemon is running");
                let status = tokio::task::spawn_blocking(move || daemon.wait());
                let status = status.await.expect("the wait does not panic");
                return match status {
                    Some(status) => format!("exit {}\n", status.code().unwrap_or(-1)),
                    None => "still running\n".into(),
                };
            }
        }
        String::new()
    }

    /// Creates models, services, and teams that may use all of them.  The first
    /// version of each model is the serving one.
    fn setup(&self, args: &Args<'_>) -> String {
        let entry = args.word(0);
        let mut allow = String::new();
        for (model, versions) in &args.pairs {
            if matches!(*model, "teams" | "services" | "idempotent") {
                continue;
            }
            allow.push_str(&format!(" --allow {model}"));
            self.ctl(&format!("{entry} put model {model}"));
            for version in versions.split(',') {
                let flags = "--cost 1000 --quality 0.9";
                self.ctl(&format!("{entry} put version {model}@{version} {flags}"));
            }
            let serving = versions.split(',').next().unwrap_or_default();
            self.ctl(&format!("{entry} put model {model} --serving {serving}"));
        }
        for (name, flag) in [("services", ""), ("idempotent", "--idempotent")] {
            for service in args.get(name).unwrap_or_default().split(',') {
                if !service.is_empty() {
                    self.ctl(&format!("{entry} put service {service} --cost 7 {flag}"));
                    allow.push_str(&format!(" --service {service}"));
                }
            }
        }
        for team in args.required("teams").split(',') {
            let token = format!("--token-digest token:{team}-token");
            self.ctl(&format!("{entry} put team {team} {token}{allow}"));
        }
        String::new()
    }

    fn ctl(&self, rest: &str) -> String {
        let words: Vec<String> = rest
            .split_whitespace()
            .map(|word| match word.split_once("token:") {
                // `token:T` is replaced by the digest of the team's token `T`.
                Some((before, token)) => {
                    format!("{before}{}", super::cluster::digest(token))
                }
                None => word.to_owned(),
            })
            .collect();
        let (entry, args) = words.split_first().expect("an entry");
        let (token, args) = match args.split_first() {
            Some((first, args)) if first == "as:bob" => ("bob-token", args),
            Some((first, args)) if first.starts_with("as:") => (&first[3..], args),
            _ => (super::cluster::OPERATOR_TOKEN, args),
        };
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let output = self.cluster.ctl_as(token, entry, &args);
        let mut out = redact_timestamps(&String::from_utf8_lossy(&output.stdout));
        out.push_str(&redact_timestamps(&String::from_utf8_lossy(&output.stderr)));
        match output.status.code() {
            Some(0) => out,
            code => format!("{out}exit {}\n", code.unwrap_or(-1)),
        }
    }

    fn chat_call(&self, args: &Args<'_>) -> ChatCall {
        ChatCall {
            token: format!("{}-token", args.required("team")),
            model: args.required("model").to_owned(),
            prompt: args.get("prompt").unwrap_or("hello").to_owned(),
            tokens: args.number("tokens"),
            stream: args.has_flag("stream"),
            session: args.get("session").map(str::to_owned),
            ticket: args
                .get("ticket")
                .and_then(|slot| self.tickets.get(slot).cloned()),
            deadline_ms: args.number("deadline_ms"),
            priority: args.number("priority"),
        }
    }

    async fn chat(&mut self, args: &Args<'_>) -> (CallResult, Option<String>) {
        let entry = self.cluster.address(args.word(0), "callers");
        let call = self.chat_call(args);
        let result =
            caller::chat(entry, &call, watch::Sender::new(String::new())).await;
        (result, args.get("ticket").map(str::to_owned))
    }

    fn store_ticket(&mut self, slot: Option<String>, result: &CallResult) {
        if let (Some(slot), Some(ticket)) = (slot, &result.ticket) {
            self.tickets.insert(slot, ticket.clone());
        }
    }

    async fn call(&self, args: &Args<'_>) -> CallResult {
        let entry = self.cluster.address(args.word(0), "callers");
        let token = format!("{}-token", args.required("team"));
        let (service, key) = (
            args.required("service"),
            args.get("key").unwrap_or_default(),
        );
        let body = args.get("body").unwrap_or("{}");
        caller::service(
            entry,
            &token,
            service,
            key,
            body,
            args.number("deadline_ms"),
        )
        .await
    }

    async fn get(&self, args: &Args<'_>) -> String {
        let entry = self.cluster.address(args.word(0), "callers");
        let token = format!("{}-token", args.required("team"));
        let (status, body) = caller::get(entry, &token, args.required("path")).await;
        let value: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        let state = value.get("state").and_then(|state| state.as_str());
        match state {
            Some(state) => format!("{status} {state}\n"),
            None => format!("{status}\n"),
        }
    }

    /// `spawn ID chat|call ...`
    fn spawn(&mut self, rest: &str) -> String {
        let (id, command) = rest.split_once(' ').expect("an id and a command");
        let (name, rest) = command.split_once(' ').expect("a command's words");
        let args = Args::read(rest);
        let entry = self.cluster.address(args.word(0), "callers");
        let (progress, receiver) = watch::channel(String::new());
        let task = if name == "chat" {
            let call = self.chat_call(&args);
            tokio::spawn(async move { caller::chat(entry, &call, progress).await })
        } else {
            let token = format!("{}-token", args.required("team"));
            let service = args.required("service").to_owned();
            let key = args.get("key").unwrap_or_default().to_owned();
            let body = args.get("body").unwrap_or("{}").to_owned();
            let deadline_ms = args.number("deadline_ms");
            tokio::spawn(async move {
                caller::service(entry, &token, &service, &key, &body, deadline_ms).await
            })
        };
        self.background.insert(
            id.to_owned(),
            BackgroundCall {
                task,
                progress: receiver,
            },
        );
        String::new()
    }

    async fn join(&mut self, id: &str) -> String {
        match self.take_result(id).await {
            Some(result) => format!("{}\n", result.summary()),
            None => "no answer\n".into(),
        }
    }

    async fn take_result(&mut self, id: &str) -> Option<CallResult> {
        let background = self.background.remove(id).expect("a background call");
        let limit = Duration::from_secs(100);
        tokio::time::timeout(limit, background.task)
            .await
            .ok()?
            .ok()
    }

    /// `many N chat ...`: repeats a call N times in sequence and counts each
    /// distinct result.
    async fn many(&mut self, rest: &str, print: bool) -> String {
        let (count, command) = rest.split_once(' ').expect("a count and a command");
        let (_, command) = command.split_once(' ').expect("a command's words");
        let mut lines: BTreeMap<String, u32> = BTreeMap::new();
        for _ in 0..count.parse::<u32>().expect("a number") {
            let args = Args::read(command);
            let (result, _) = self.chat(&args).await;
            *lines.entry(result.summary()).or_default() += 1;
        }
        if !print {
            return String::new();
        }
        lines
            .into_iter()
            .map(|(line, count)| format!("{count} x {line}\n"))
            .collect()
    }

    /// `race N ENTRY ENTRY TEAM MODEL`: sends the first request of each of N
    /// sessions to two entries concurrently, and counts the sessions that got
    /// the same version from both.
    async fn race(&mut self, args: &Args<'_>) -> String {
        let count: u32 = args.word(0).parse().expect("a number");
        let entries = [
            self.cluster.address(args.word(1), "callers"),
            self.cluster.address(args.word(2), "callers"),
        ];
        let mut agreeing = 0;
        let mut versions: BTreeMap<String, u32> = BTreeMap::new();
        for index in 0..count {
            let call = ChatCall {
                token: format!("{}-token", args.word(3)),
                model: args.word(4).to_owned(),
                prompt: "x".into(),
                tokens: Some(1),
                session: Some(format!("race-{index}")),
                ..ChatCall::default()
            };
            let progress = || watch::Sender::new(String::new());
            let (first, second) = tokio::join!(
                caller::chat(entries[0], &call, progress()),
                caller::chat(entries[1], &call, progress()),
            );
            agreeing +=
                u32::from(first.version == second.version && first.status == 200);
            *versions.entry(first.version).or_default() += 1;
        }
        let used: Vec<String> = versions.into_keys().collect();
        format!(
            "{agreeing} of {count} sessions on one version; used {}\n",
            used.join(" ")
        )
    }

    fn print_count(&self, command: &str, args: &Args<'_>) -> String {
        match command {
            "bills" => {
                let bills = self.cluster.bills();
                let mut lines: Vec<String> = bills
                    .iter()
                    .map(|bill| {
                        let steps: Vec<String> = bill
                            .lines
                            .iter()
                            .map(|l| {
                                format!("{}@{}:{}", l.model, l.version, l.output_tokens)
                            })
                            .collect();
                        format!("{} {}\n", bill.team, steps.join(" "))
                    })
                    .collect();
                lines.sort();
                if lines.is_empty() {
                    "none\n".into()
                } else {
                    lines.concat()
                }
            }
            "runs" => {
                let service = &self.cluster.services[args.word(0)];
                format!("{}\n", service.runs(args.word(1)))
            }
            "started" => {
                let started = self.cluster.engines[args.word(0)].state().started;
                format!(
                    "{} {}\n",
                    started.len(),
                    started.last().cloned().unwrap_or_default()
                )
            }
            _ => {
                let orders = self.cluster.engines[args.word(0)].state().orders;
                format!("{}\n", orders.join("; "))
            }
        }
    }

    async fn wait(&mut self, command: &str, args: &Args<'_>, rest: &str) -> String {
        if command == "wait-config" {
            return match self.cluster.wait_for_config(args.word(0)).await {
                Ok(()) => String::new(),
                Err(err) => format!("{err}\n"),
            };
        }
        let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
        loop {
            if self.condition_holds(command, args, rest).await {
                return String::new();
            }
            if tokio::time::Instant::now() > deadline {
                return format!("{command} {rest}: does not hold\n");
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn condition_holds(
        &self,
        command: &str,
        args: &Args<'_>,
        rest: &str,
    ) -> bool {
        match command {
            "wait-bills" => {
                let expected: usize = args.word(0).parse().expect("a number");
                self.cluster.bills().len() >= expected
            }
            "wait-runs" => {
                let expected: u32 = args.word(2).parse().expect("a number");
                self.cluster.services[args.word(0)].runs(args.word(1)) >= expected
            }
            "wait-started" => {
                let expected: usize = args.word(1).parse().expect("a number");
                self.cluster.engines[args.word(0)].state().started.len() >= expected
            }
            "wait-orders" => {
                let expected: usize = args.word(1).parse().expect("a number");
                self.cluster.engines[args.word(0)].state().orders.len() >= expected
            }
            "wait-idle" => self.cluster.engines[args.word(0)].state().running == 0,
            "wait-text" => {
                let background = &self.background[args.word(0)];
                !background.progress.borrow().is_empty()
            }
            "wait-ready" => {
                let entry = self.cluster.address(args.word(0), "callers");
                caller::get(entry, "", "/ready").await.0 == 200
            }
            "wait-not-ready" => {
                let entry = self.cluster.address(args.word(0), "callers");
                caller::get(entry, "", "/ready").await.0 == 503
            }
            "wait-done" | "wait-free" => {
                let entry = self.cluster.address(args.word(0), "callers");
                let token = format!("{}-token", args.word(1));
                let path = format!("/v1/outcomes/{}", args.word(2));
                let (_, body) = caller::get(entry, &token, &path).await;
                let state = if command == "wait-done" {
                    "done"
                } else {
                    "not_run"
                };
                body.contains(&format!("\"state\":\"{state}\""))
            }
            "wait-held" => {
                let status = self.ctl(&format!("{} status", args.word(0)));
                status.contains(&format!("bills_held={} ", args.word(1)))
            }
            "wait-status" => {
                let (entry, rest) = rest.split_once(' ').expect("an entry");
                let (text, count) = rest.rsplit_once(' ').expect("a text and a count");
                let status = self.ctl(&format!("{entry} status"));
                let expected: usize = count.parse().expect("a number");
                status.matches(text).count() >= expected
            }
            "wait-refused" | "wait-refused-session" | "wait-answer" => {
                self.probe(command, args).await
            }
            "wait-log" => {
                let (daemon, text) = rest.split_once(' ').expect("a daemon and a text");
                let log = std::fs::read_to_string(self.cluster.log_path(daemon));
                log.is_ok_and(|log| log.contains(text))
            }
            "wait-ctl" => {
                // `wait-ctl ENTRY TEXT WORDS...`: until the output of ctl contains TEXT.
                let (entry, rest) = rest.split_once(' ').expect("an entry");
                let (text, words) = rest.split_once(' ').expect("a text and words");
                self.ctl(&format!("{entry} {words}")).contains(text)
            }
            other => panic!("unknown wait command {other:?}"),
        }
    }
}

impl Script {
    /// Sends one small chat request; returns whether the result is the expected
    /// one.
    async fn probe(&self, command: &str, args: &Args<'_>) -> bool {
        let entry = self.cluster.address(args.word(0), "callers");
        let session =
            (command == "wait-refused-session").then(|| args.word(3).to_owned());
        let call = ChatCall {
            token: format!("{}-token", args.word(1)),
            model: args.word(2).to_owned(),
            prompt: "probe".into(),
            tokens: Some(1),
            session,
            ..ChatCall::default()
        };
        let result =
            caller::chat(entry, &call, watch::Sender::new(String::new())).await;
        match command {
            "wait-answer" => result.text.is_some(),
            _ => {
                let code = args.words.last().copied().unwrap_or_default();
                result.error.is_some_and(|error| error.starts_with(code))
            }
        }
    }
}

/// Replaces wall-clock times by `<time>`, as they differ between runs.
fn redact_timestamps(text: &str) -> String {
    let mut out = String::new();
    let mut digits = String::new();
    for c in text.chars() {
        if c.is_ascii_digit() {
            digits.push(c);
            continue;
        }
        push_number(&mut out, &mut digits);
        out.push(c);
    }
    push_number(&mut out, &mut digits);
    out
}

/// Appends a number, or `<time>` if it has 12 digits or more: only wall-clock
/// times in ms are that long.
fn push_number(out: &mut String, digits: &mut String) {
    if digits.len() >= 12 {
        out.push_str("<time>");
    } else {
        out.push_str(digits);
    }
    digits.clear();
}
