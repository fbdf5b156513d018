//! State of an agent.

use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap},
    rc::{Rc, Weak},
    sync::Arc,
};

use clock::Millis;
use gate::{Context, Gate, GateLimits};
use node::Node;
use tokio::sync::Notify;
use volo_http::client::{Client, ClientBuilder};
use wire::AttemptId;

/// Maximum number of idle connections kept to a model engine.
const IDLE_CONNECTIONS_MAX: usize = 64;

/// Load last reported by the engine.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Loaded versions, as `model@version`.
    pub versions: BTreeSet<String>,
    /// Number of requests being generated.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Generation time per token, microseconds.
    pub token_us: u32,
}

/// State of an agent, used from one thread only.
pub struct Agent {
    /// State and services common to entries and agents.
    pub node: Arc<Node>,
    /// Admission control in front of the endpoint.
    pub gate: RefCell<Gate>,
    /// Load last reported by the engine.
    pub load: RefCell<Load>,
    /// Cancellation signals of the running attempts.
    pub(crate) cancels: RefCell<HashMap<AttemptId, Rc<Notify>>>,
    pub(crate) client: Client,
    /// Reference to this agent, cloned into the tasks that its handlers spawn.
    pub(crate) weak_self: RefCell<Weak<Agent>>,
}

impl Agent {
    /// Creates an agent without configuration or load report.
    pub fn new(node: Arc<Node>) -> Rc<Self> {
        let settings = &node.settings.agent;
        let limits = GateLimits {
            attempts_max: settings.attempts_max,
            remember_ms: settings.remember_ms,
            start_within_ms: settings.start_within_ms,
        };
        let mut builder = ClientBuilder::new();
        // A service gets no idle connections: one of them may be dead without
        // notice, and after a non-idempotent call sent on it nobody would know
        // whether the call ran.
        let max_idle = if settings.service.is_empty() {
            IDLE_CONNECTIONS_MAX
        } else {
            0
        };
        builder.set_max_idle_per_host(max_idle);
        let client = builder.build().expect("a client without TLS always builds");
        let agent = Rc::new(Agent {
            node,
            gate: RefCell::new(Gate::new(limits)),
            load: RefCell::default(),
            cancels: RefCell::default(),
            client,
            weak_self: RefCell::default(),
        });
        *agent.weak_self.borrow_mut() = Rc::downgrade(&agent);
        agent
    }

    /// Calls `f` with the gate and the current context of its checks.
    pub fn with_gate<T>(&self, f: impl FnOnce(&mut Gate, Context<'_>) -> T) -> T {
        let config = self.node.view.current();
        let load = self.load.borrow();
        let cx = Context {
            config: &config,
            health: self.node.health(),
            loaded: &load.versions,
            service: &self.node.settings.agent.service,
            now: self.node.now(),
        };
        f(&mut self.gate.borrow_mut(), cx)
    }

    /// Returns the current time on this process's monotonic clock.
    pub fn now(&self) -> Millis {
        self.node.now()
    }
}
