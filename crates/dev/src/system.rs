//! Starts the platform's fakes and the daemons, with a small configuration.

use std::{net::SocketAddr, thread};

use config::{
    CascadeSpec, CascadeStep, Change, ChangeRecord, ModelSpec, ServiceSpec, TeamSpec,
    VersionSpec,
};
use entry::Listeners;
use settings::{Operator, Role, Settings};
use sha2::{Digest, Sha256};
use standin::{
    Engine, EngineConfig, InstanceListService, LogService, PlainService, RaterService,
};
use store::CONFIG_STREAM;
use tokio::{net::TcpListener, task::LocalSet};

/// API token of the demo's team.
pub const TEAM_TOKEN: &str = "members-token";

/// API token of the demo's operator.
pub const OPERATOR_TOKEN: &str = "alice-token";

/// The running daemons and fakes.
pub struct LocalSystem {
    /// The platform's log.
    pub log: LogService,
    /// Address of the entry for callers.
    pub callers: SocketAddr,
    /// Address of the entry for operators.
    pub operators: SocketAddr,
    /// Fakes that are kept alive as long as the system.
    _standins: (InstanceListService, RaterService, PlainService, Vec<Engine>),
}

fn digest(token: &str) -> String {
    hex::encode(Sha256::digest(token))
}

fn settings(role: Role, text: &str) -> Settings {
    let mut settings =
        Settings::parse(role, "dev", text).expect("the demo's settings are valid");
    settings.secrets.ticket_keys = vec!["a key for this run only".into()];
    let token_digest = digest(OPERATOR_TOKEN);
    settings.secrets.operators = vec![Operator {
        name: "alice".into(),
        token_digest,
    }];
    settings
}

impl LocalSystem {
    /// Starts everything.  The agents may not be known to the entry yet.
    pub async fn start() -> LocalSystem {
        let log = LogService::start().await;
        let instance_list = InstanceListService::start().await;
        let rater = RaterService::start().await;
        let filing = PlainService::start().await;
        let small = Engine::start(EngineConfig::default(), &["small@v1"]).await;
        let large =
            Engine::start(EngineConfig::default(), &["draft@v1", "draft@v2"]).await;
        publish_configuration(&log);
        let store = format!(
            "[store]\naddress = {}\nlive_address = {}\nclaim_partitions = 2\n",
            log.address, instance_list.address
        );
        let agents = [
            ("small", "ghent", small.address, ""),
            ("large", "bruges", large.address, ""),
            ("filing", "antwerp", filing.address, "filing"),
        ];
        for (name, failure_domain, endpoint, service) in agents {
            let text = format!(
                "[process]\nroom = {failure_domain}\n{store}[agent]\nendpoint = {name}\n\
                 endpoint_address = {endpoint}\nservice = {service}\n"
            );
            let address = start_agent(settings(Role::Agent, &text)).await;
            instance_list.add(name, "agent", failure_domain, address);
        }
        let text = format!(
            "[process]\nroom = ghent\n{store}[entry]\nlisten = 127.0.0.1:0\n\
             admin_listen = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\nheartbeat_ms = 100\n\
             cascade = always\nrater_address = {}\n",
            rater.address
        );
        let settings = settings(Role::Entry, &text);
        let listeners = Listeners::bind(&settings)
            .await
            .expect("cannot listen on loopback addresses");
        let address = |listener: &TcpListener| {
            listener.local_addr().expect("the listener has an address")
        };
        let (callers, operators) =
            (address(&listeners.callers), address(&listeners.operators));
        tokio::spawn(entry::run(settings, listeners));
        LocalSystem {
            log,
            callers,
            operators,
            _standins: (instance_list, rater, filing, vec![small, large]),
        }
    }
}

/// Starts an agent on a dedicated thread, since an agent is single-threaded, and
/// returns its address.
async fn start_agent(settings: Settings) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")
        .expect("cannot listen on a loopback address");
    listener
        .set_nonblocking(true)
        .expect("cannot make the listener non-blocking");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("cannot build the runtime");
        let run = async {
            let listener =
                TcpListener::from_std(listener).expect("cannot register the listener");
            agent::run(settings, listener, std::future::pending()).await;
        };
        LocalSet::new().block_on(&runtime, run);
    });
    address
}

/// Appends the demo's configuration to the log.
fn publish_configuration(log: &LogService) {
    let model = |name: &str, serving: &str| {
        Change::Model(ModelSpec {
            name: name.into(),
            serving: serving.into(),
        })
    };
    let version = |model: &str, version: &str, cost| {
        Change::Version(VersionSpec {
            model: model.into(),
            version: version.into(),
            cost_micros_per_ktoken: cost,
            quality: 0.9,
        })
    };
    let step = |model: &str| CascadeStep {
        model: model.into(),
        pass_rating: 0.5,
    };
    // Each change with the revision that it expects of its object.
    let changes = [
        (0, model("small", "")),
        (0, version("small", "v1", 200)),
        (1, model("small", "v1")),
        (0, model("draft", "")),
        (0, version("draft", "v1", 2_000)),
        (0, version("draft", "v2", 2_000)),
        (4, model("draft", "v1")),
        (
            0,
            Change::Cascade(CascadeSpec {
                name: "care".into(),
                steps: vec![step("small"), step("draft")],
            }),
        ),
        (
            0,
            Change::Service(ServiceSpec {
                name: "filing".into(),
                ..ServiceSpec::default()
            }),
        ),
        (
            0,
            Change::Team(TeamSpec {
                name: "members".into(),
                token_digests: vec![digest(TEAM_TOKEN)],
                allowed: vec!["small".into(), "draft".into()],
                services: vec!["filing".into()],
                weight: 1,
                ..TeamSpec::default()
            }),
        ),
    ];
    for (index, (expected_revision, change)) in changes.into_iter().enumerate() {
        let record = ChangeRecord {
            change_id: format!("dev-{index}"),
            who: "dev".into(),
            expected_revision,
            change,
            ..ChangeRecord::default()
        };
        log.append(CONFIG_STREAM, &record.encode());
    }
}
