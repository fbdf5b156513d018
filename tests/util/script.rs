//! The scenario language.
//!
//! A scenario is a `datadriven` file of cases: `do`, commands, one a line,
//! `----`, and what they print.  Words are `name=value` or plain.  Commands run
//! in order; `spawn` runs a call in the background, `join` prints its result.
//!
//! | command | does |
//! |---|---|
//! | `common section.key=value ...` | settings of all daemons started later |
//! | `weights NAME every_ms=` | starts a weight store that gives out one version in so many ms |
//! | `engine NAME versions=a@v1,b@v1 [slots= first_ms= token_ms= checks_fencing= weights= cached= lag_ms=]` | starts an engine |
//! | `service NAME` | starts a plain service |
//! | `entry NAME room=R [section.key=value ...]` | starts an entry; a value `relay:NAME` names a relay |
//! | `agent NAME room=R endpoint=E [unlisted] [section.key=value ...]` | starts an agent |
//! | `relay NAME to=log\|SERVICE\|DAEMON [room=R]` | starts a byte relay; peers reach a daemon through it |
//! | `relay-mode NAME pass\|silence-open\|cut\|silence-replies\|delay-requests=MS` | changes one |
//! | `setup ENTRY MODEL=v1,v2 ... teams=a,b [services= idempotent=]` | creates objects by `ctl` |
//! | `ctl ENTRY [as:bob\|as:TOKEN] WORDS...` | operators' client; prints output and exit code |
//! | `chat ENTRY team= model= prompt= [tokens= stream session= ticket=SLOT deadline_ms= priority=]` | a chat call |
//! | `call ENTRY team= service= key= [body= deadline_ms=]` | a service call |
//! | `get ENTRY team= path=` | a plain GET |
//! | `spawn ID chat\|call ...`, `join ID`, `join-length ID` | a call in the background, and its result |
//! | `many N chat ...`, `many-any N chat ...` | calls one after the other; how often each answer came, or nothing |
//! | `race N ENTRY ENTRY TEAM MODEL` | first requests of N sessions, at two entries at once |
//! | `log up\|down\|freeze\|thaw\|slow=MS\|lose-acks=N\|trim=STREAM:N\|refuse-appends=STREAM` | the log's faults |
//! | `log-append STREAM RECORD` | a record that no daemon wrote |
//! | `live down\|up\|remove=NAME`, `rater silent\|loud` | faults of the live list and the rater |
//! | `change-engine NAME frozen= cut_after= bad= token_ms= load=V unload=V` | an engine's faults |
//! | `change-service NAME delay_ms= hang=` | a service's faults |
//! | `kill NAME`, `stop NAME`, `freeze NAME`, `thaw NAME`, `wait-exit NAME`, `restart NAME room=R [same-address]` | signals and ends |
//! | `new-ticket-key NEW OLD` | keys that daemons read at their next start |
//! | `wait-...` | waits until it holds, or prints that it does not; see `Script::holds` |
//! | `bills`, `runs SERVICE KEY`, `started ENGINE`, `orders ENGINE` | prints what was counted |
//! | `sleep MS` | lets time pass |

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use datadriven::TestCase;
use rustix::process::Signal;
use standin::{EngineConfig, Relay, RelayMode, WeightStore};
use tokio::{sync::watch, task::JoinHandle};

use super::{
    caller::{self, Answer, ChatCall},
    world::{HOLDS_WAIT, World},
};

/// Arguments of one command.
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

    fn word(&self, at: usize) -> &'a str {
        self.words
            .get(at)
            .copied()
            .unwrap_or_else(|| panic!("word {at} is missing"))
    }

    fn has(&self, word: &str) -> bool {
        self.words.contains(&word)
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs
            .iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| *value)
    }

    fn need(&self, name: &str) -> &'a str {
        self.get(name)
            .unwrap_or_else(|| panic!("{name}= is missing"))
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.get(name).map(|value| value.parse().expect("a number"))
    }

    /// Pairs whose key is a setting's name.
    fn settings(&self) -> Vec<(String, String)> {
        let dotted = self.pairs.iter().filter(|(key, _)| key.contains('.'));
        dotted
            .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()))
            .collect()
    }
}

struct Background {
    task: JoinHandle<Answer>,
    seen: watch::Receiver<String>,
}

/// Runs one scenario's commands.
pub struct Script {
    pub world: World,
    background: HashMap<String, Background>,
    tickets: BTreeMap<String, String>,
}

impl Script {
    /// A world with nothing started.
    pub async fn new() -> Script {
        Script {
            world: World::start().await,
            background: HashMap::new(),
            tickets: BTreeMap::new(),
        }
    }

    /// Runs the commands of one case and returns what they print.
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
                self.world.common.extend(args.settings());
                String::new()
            }
            "engine" | "service" | "entry" | "agent" | "relay" | "weights" => {
                self.start(name, &args).await
            }
            "relay-mode" | "log" | "live" | "change-engine" | "change-service" => {
                self.fault(name, &args)
            }
            "log-append" => {
                let (stream, record) =
                    rest.split_once(' ').expect("a stream and a record");
                self.world.log.append(stream, record);
                String::new()
            }
            "kill" | "stop" | "freeze" | "thaw" | "wait-exit" | "restart" => {
                self.signal(name, &args).await
            }
            "ctl" => self.ctl(rest),
            "setup" => self.setup(&args),
            "chat" => {
                let (answer, slot) = self.chat(&args).await;
                self.keep_ticket(slot, &answer);
                format!("{}\n", answer.line())
            }
            "call" => format!("{}\n", self.call(&args).await.line()),
            "get" => self.get(&args).await,
            "spawn" => self.spawn(rest),
            "many" | "many-any" => self.many(rest, name == "many").await,
            "race" => self.race(&args).await,
            "rater" => {
                self.world.rater.set_hang(args.has("silent"));
                String::new()
            }
            "new-ticket-key" => {
                self.world.write_secrets(args.word(0), Some(args.word(1)));
                String::new()
            }
            "join-length" => {
                let answer = self.joined(args.word(0)).await;
                match answer.as_ref().and_then(|answer| answer.text.as_ref()) {
                    Some(text) => {
                        format!("{} pieces\n", text.split_whitespace().count())
                    }
                    None => format!("{:?}\n", answer.map(|answer| answer.line())),
                }
            }
            "join" => self.join(args.word(0)).await,
            "bills" | "runs" | "started" | "orders" => self.count(name, &args),
            name if name.starts_with("wait-") => self.wait(name, &args, rest).await,
            "sleep" => {
                let ms = args.word(0).parse().expect("a number");
                tokio::time::sleep(Duration::from_millis(ms)).await;
                String::new()
            }
            other => panic!("no command {other:?}"),
        }
    }

    async fn start(&mut self, what: &str, args: &Args<'_>) -> String {
        let name = args.word(0);
        match what {
            "engine" => {
                let usual = EngineConfig::default();
                let model = EngineConfig {
                    slots: args.number("slots").map_or(usual.slots, |n| n as u32),
                    first_token_ms: args
                        .number("first_ms")
                        .unwrap_or(usual.first_token_ms),
                    token_ms: args.number("token_ms").unwrap_or(usual.token_ms),
                    checks_fencing: args.get("checks_fencing") != Some("no"),
                    weights: args
                        .get("weights")
                        .map(|name| self.world.weights[name].address),
                    cached_prompts: args.number("cached").unwrap_or(0) as usize,
                    report_lag_ms: args.number("lag_ms").unwrap_or(0),
                    ..usual
                };
                let versions: Vec<&str> = args.need("versions").split(',').collect();
                self.world.start_engine(name, model, &versions).await;
            }
            "weights" => {
                let every_ms = args.number("every_ms").expect("every_ms=");
                let store = WeightStore::start(every_ms).await;
                self.world.weights.insert(name.to_owned(), store);
            }
            "service" => self.world.start_service(name).await,
            "entry" => {
                self.world
                    .start_entry(name, args.need("room"), &self.extra(args))
            }
            "agent" => {
                let (room, endpoint) = (args.need("room"), args.need("endpoint"));
                self.world
                    .start_agent(name, room, endpoint, &self.extra(args));
                if args.has("unlisted") {
                    // A relay before it is listed instead.
                    self.world.live.remove(name);
                }
            }
            _ => {
                let to = args.need("to");
                let service = self.world.services.get(to);
                let is_daemon = to != "log" && service.is_none();
                let address = if let Some(service) = service {
                    service.address
                } else if to == "log" {
                    self.world.log.address
                } else {
                    self.world.address(to, "peers")
                };
                let relay = Relay::start(address).await;
                if is_daemon {
                    // Peers reach the daemon through the relay from now on.
                    let role = if to.starts_with("entry") {
                        "entry"
                    } else {
                        "agent"
                    };
                    self.world
                        .live
                        .add(to, role, args.need("room"), relay.address);
                }
                self.world.relays.insert(name.to_owned(), relay);
            }
        }
        String::new()
    }

    /// Settings of one daemon; `store.address=relay:NAME` names a relay.
    fn extra(&self, args: &Args<'_>) -> Vec<(String, String)> {
        let settings = args.settings().into_iter();
        let resolved =
            settings.map(|(key, value)| match value.strip_prefix("relay:") {
                Some(relay) => (key, self.world.relays[relay].address.to_string()),
                None => (key, value),
            });
        resolved.collect()
    }

    fn fault(&mut self, what: &str, args: &Args<'_>) -> String {
        match what {
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
                self.world.relays[args.word(0)].set_mode(mode);
            }
            "log" => self.log_fault(args),
            "live" => {
                if let Some(name) = args.get("remove") {
                    self.world.live.remove(name);
                } else {
                    self.world.live.set_down(args.has("down"));
                }
            }
            "change-service" => {
                let service = &self.world.services[args.word(0)];
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
            self.world
                .log
                .trim(stream, first.parse().expect("an offset"));
        }
        self.world.log.update_faults(|faults| {
            for word in &args.words {
                match *word {
                    "up" => *faults = Default::default(),
                    "down" => faults.down = true,
                    "freeze" => faults.hang = true,
                    "thaw" => faults.hang = false,
                    other => panic!("no fault {other:?}"),
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
        let engine = &self.world.engines[args.word(0)];
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

    async fn signal(&mut self, what: &str, args: &Args<'_>) -> String {
        let name = args.word(0);
        if what == "restart" {
            self.world
                .restart(name, args.need("room"), args.has("same-address"));
            return String::new();
        }
        let daemon = self.world.daemons.get_mut(name).expect("a daemon");
        match what {
            "kill" => {
                daemon.signal(Signal::KILL);
                daemon.wait();
                self.world.daemons.remove(name);
            }
            "stop" => daemon.signal(Signal::TERM),
            "freeze" => daemon.signal(Signal::STOP),
            "thaw" => daemon.signal(Signal::CONT),
            _ => {
                let mut daemon = self.world.daemons.remove(name).expect("a daemon");
                let status = tokio::task::spawn_blocking(move || daemon.wait());
                let status = status.await.expect("the wait ends");
                return match status {
                    Some(status) => format!("exit {}\n", status.code().unwrap_or(-1)),
                    None => "still running\n".into(),
                };
            }
        }
        String::new()
    }

    /// Creates models with versions, the first of which serves, services and
    /// teams that may use them all.
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
        for team in args.need("teams").split(',') {
            let token = format!("--token-digest token:{team}-token");
            self.ctl(&format!("{entry} put team {team} {token}{allow}"));
        }
        String::new()
    }

    fn ctl(&self, rest: &str) -> String {
        let words: Vec<String> = rest
            .split_whitespace()
            .map(|word| match word.split_once("token:") {
                // `token:T` stands for the digest of a team's token.
                Some((before, token)) => {
                    format!("{before}{}", super::world::digest(token))
                }
                None => word.to_owned(),
            })
            .collect();
        let (entry, args) = words.split_first().expect("an entry");
        let (operator, args) = match args.split_first() {
            Some((first, args)) if first == "as:bob" => ("bob-token", args),
            Some((first, args)) if first.starts_with("as:") => (&first[3..], args),
            _ => (super::world::OPERATOR_TOKEN, args),
        };
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let output = self.world.ctl_as(operator, entry, &args);
        let mut out = hide_times(&String::from_utf8_lossy(&output.stdout));
        out.push_str(&hide_times(&String::from_utf8_lossy(&output.stderr)));
        match output.status.code() {
            Some(0) => out,
            code => format!("{out}exit {}\n", code.unwrap_or(-1)),
        }
    }

    fn chat_call(&self, args: &Args<'_>) -> ChatCall {
        ChatCall {
            token: format!("{}-token", args.need("team")),
            model: args.need("model").to_owned(),
            prompt: args.get("prompt").unwrap_or("hello").to_owned(),
            tokens: args.number("tokens"),
            stream: args.has("stream"),
            session: args.get("session").map(str::to_owned),
            ticket: args
                .get("ticket")
                .and_then(|slot| self.tickets.get(slot).cloned()),
            deadline_ms: args.number("deadline_ms"),
            priority: args.number("priority"),
        }
    }

    async fn chat(&mut self, args: &Args<'_>) -> (Answer, Option<String>) {
        let entry = self.world.address(args.word(0), "callers");
        let call = self.chat_call(args);
        let answer =
            caller::chat(entry, &call, watch::Sender::new(String::new())).await;
        (answer, args.get("ticket").map(str::to_owned))
    }

    fn keep_ticket(&mut self, slot: Option<String>, answer: &Answer) {
        if let (Some(slot), Some(ticket)) = (slot, &answer.ticket) {
            self.tickets.insert(slot, ticket.clone());
        }
    }

    async fn call(&self, args: &Args<'_>) -> Answer {
        let entry = self.world.address(args.word(0), "callers");
        let token = format!("{}-token", args.need("team"));
        let (service, key) =
            (args.need("service"), args.get("key").unwrap_or_default());
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
        let entry = self.world.address(args.word(0), "callers");
        let token = format!("{}-token", args.need("team"));
        let (status, body) = caller::get(entry, &token, args.need("path")).await;
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
        let entry = self.world.address(args.word(0), "callers");
        let (seen, watcher) = watch::channel(String::new());
        let task = if name == "chat" {
            let call = self.chat_call(&args);
            tokio::spawn(async move { caller::chat(entry, &call, seen).await })
        } else {
            let token = format!("{}-token", args.need("team"));
            let service = args.need("service").to_owned();
            let key = args.get("key").unwrap_or_default().to_owned();
            let body = args.get("body").unwrap_or("{}").to_owned();
            let deadline_ms = args.number("deadline_ms");
            tokio::spawn(async move {
                caller::service(entry, &token, &service, &key, &body, deadline_ms).await
            })
        };
        self.background.insert(
            id.to_owned(),
            Background {
                task,
                seen: watcher,
            },
        );
        String::new()
    }

    async fn join(&mut self, id: &str) -> String {
        match self.joined(id).await {
            Some(answer) => format!("{}\n", answer.line()),
            None => "no answer\n".into(),
        }
    }

    async fn joined(&mut self, id: &str) -> Option<Answer> {
        let background = self.background.remove(id).expect("a background call");
        let limit = Duration::from_secs(100);
        tokio::time::timeout(limit, background.task)
            .await
            .ok()?
            .ok()
    }

    /// `many N chat ...`: the calls one after the other, and how often each
    /// answer came.
    async fn many(&mut self, rest: &str, print: bool) -> String {
        let (count, command) = rest.split_once(' ').expect("a count and a command");
        let (_, command) = command.split_once(' ').expect("a command's words");
        let mut lines: BTreeMap<String, u32> = BTreeMap::new();
        for _ in 0..count.parse::<u32>().expect("a number") {
            let args = Args::read(command);
            let (answer, _) = self.chat(&args).await;
            *lines.entry(answer.line()).or_default() += 1;
        }
        if !print {
            return String::new();
        }
        lines
            .into_iter()
            .map(|(line, count)| format!("{count} x {line}\n"))
            .collect()
    }

    /// `race N ENTRY ENTRY TEAM MODEL`: the first requests of N sessions come
    /// to two entries at once.
    async fn race(&mut self, args: &Args<'_>) -> String {
        let count: u32 = args.word(0).parse().expect("a number");
        let entries = [
            self.world.address(args.word(1), "callers"),
            self.world.address(args.word(2), "callers"),
        ];
        let mut same = 0;
        let mut versions: BTreeMap<String, u32> = BTreeMap::new();
        for at in 0..count {
            let call = ChatCall {
                token: format!("{}-token", args.word(3)),
                model: args.word(4).to_owned(),
                prompt: "x".into(),
                tokens: Some(1),
                session: Some(format!("race-{at}")),
                ..ChatCall::default()
            };
            let seen = || watch::Sender::new(String::new());
            let (first, second) = tokio::join!(
                caller::chat(entries[0], &call, seen()),
                caller::chat(entries[1], &call, seen()),
            );
            same += u32::from(first.version == second.version && first.status == 200);
            *versions.entry(first.version).or_default() += 1;
        }
        let used: Vec<String> = versions.into_keys().collect();
        format!(
            "{same} of {count} sessions on one version; used {}\n",
            used.join(" ")
        )
    }

    fn count(&self, what: &str, args: &Args<'_>) -> String {
        match what {
            "bills" => {
                let bills = self.world.bills();
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
                let service = &self.world.services[args.word(0)];
                format!("{}\n", service.runs(args.word(1)))
            }
            "started" => {
                let started = self.world.engines[args.word(0)].state().started;
                format!(
                    "{} {}\n",
                    started.len(),
                    started.last().cloned().unwrap_or_default()
                )
            }
            _ => {
                let orders = self.world.engines[args.word(0)].state().orders;
                format!("{}\n", orders.join("; "))
            }
        }
    }

    async fn wait(&mut self, what: &str, args: &Args<'_>, rest: &str) -> String {
        if what == "wait-config" {
            return match self.world.wait_for_config(args.word(0)).await {
                Ok(()) => String::new(),
                Err(why) => format!("{why}\n"),
            };
        }
        let until = tokio::time::Instant::now() + HOLDS_WAIT;
        loop {
            if self.holds(what, args, rest).await {
                return String::new();
            }
            if tokio::time::Instant::now() > until {
                return format!("{what} {rest}: does not hold\n");
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn holds(&self, what: &str, args: &Args<'_>, rest: &str) -> bool {
        match what {
            "wait-bills" => {
                let wanted: usize = args.word(0).parse().expect("a number");
                self.world.bills().len() >= wanted
            }
            "wait-runs" => {
                let wanted: u32 = args.word(2).parse().expect("a number");
                self.world.services[args.word(0)].runs(args.word(1)) >= wanted
            }
            "wait-started" => {
                let wanted: usize = args.word(1).parse().expect("a number");
                self.world.engines[args.word(0)].state().started.len() >= wanted
            }
            "wait-orders" => {
                let wanted: usize = args.word(1).parse().expect("a number");
                self.world.engines[args.word(0)].state().orders.len() >= wanted
            }
            "wait-idle" => self.world.engines[args.word(0)].state().running == 0,
            "wait-text" => {
                let background = &self.background[args.word(0)];
                !background.seen.borrow().is_empty()
            }
            "wait-ready" => {
                let entry = self.world.address(args.word(0), "callers");
                caller::get(entry, "", "/ready").await.0 == 200
            }
            "wait-not-ready" => {
                let entry = self.world.address(args.word(0), "callers");
                caller::get(entry, "", "/ready").await.0 == 503
            }
            "wait-done" | "wait-free" => {
                let entry = self.world.address(args.word(0), "callers");
                let token = format!("{}-token", args.word(1));
                let path = format!("/v1/outcomes/{}", args.word(2));
                let (_, body) = caller::get(entry, &token, &path).await;
                let state = if what == "wait-done" {
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
                let wanted: usize = count.parse().expect("a number");
                status.matches(text).count() >= wanted
            }
            "wait-refused" | "wait-refused-session" | "wait-answer" => {
                self.probe(what, args).await
            }
            "wait-log" => {
                let (daemon, text) = rest.split_once(' ').expect("a daemon and a text");
                let log = std::fs::read_to_string(self.world.log_path(daemon));
                log.is_ok_and(|log| log.contains(text))
            }
            "wait-ctl" => {
                // `wait-ctl ENTRY TEXT ctl words...`: until the output holds TEXT.
                let (entry, rest) = rest.split_once(' ').expect("an entry");
                let (text, words) = rest.split_once(' ').expect("a text and words");
                self.ctl(&format!("{entry} {words}")).contains(text)
            }
            other => panic!("no wait {other:?}"),
        }
    }
}

impl Script {
    /// Makes a small call until its answer is the wanted one.
    async fn probe(&self, what: &str, args: &Args<'_>) -> bool {
        let entry = self.world.address(args.word(0), "callers");
        let session = (what == "wait-refused-session").then(|| args.word(3).to_owned());
        let call = ChatCall {
            token: format!("{}-token", args.word(1)),
            model: args.word(2).to_owned(),
            prompt: "probe".into(),
            tokens: Some(1),
            session,
            ..ChatCall::default()
        };
        let answer =
            caller::chat(entry, &call, watch::Sender::new(String::new())).await;
        match what {
            "wait-answer" => answer.text.is_some(),
            _ => {
                let code = args.words.last().copied().unwrap_or_default();
                answer.error.is_some_and(|error| error.starts_with(code))
            }
        }
    }
}

/// Times differ from run to run.
fn hide_times(text: &str) -> String {
    let mut out = String::new();
    let mut digits = String::new();
    for c in text.chars() {
        if c.is_ascii_digit() {
            digits.push(c);
            continue;
        }
        push_digits(&mut out, &mut digits);
        out.push(c);
    }
    push_digits(&mut out, &mut digits);
    out
}

/// Numbers of a wall-clock time's length are hidden.
fn push_digits(out: &mut String, digits: &mut String) {
    if digits.len() >= 12 {
        out.push_str("<time>");
    } else {
        out.push_str(digits);
    }
    digits.clear();
}
