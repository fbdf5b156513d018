//! What an agent knows.

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

/// Connections to a model engine that wait unused.
const IDLE_CONNECTIONS: usize = 64;

/// What the engine last said of its load.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Loaded versions, as `model@version`.
    pub versions: BTreeSet<String>,
    /// Requests in generation.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests generated at once.
    pub slots: u32,
    /// Time per token, microseconds.
    pub token_us: u32,
}

/// An agent's state, on its one thread.
pub struct Agent {
    /// The shared parts of every process.
    pub node: Arc<Node>,
    /// The last check before the endpoint.
    pub gate: RefCell<Gate>,
    /// What the engine last said.
    pub load: RefCell<Load>,
    /// Wakes an attempt that is cancelled.
    pub(crate) cancels: RefCell<HashMap<AttemptId, Rc<Notify>>>,
    pub(crate) client: Client,
    /// The agent itself, for the tasks that its calls start.
    pub(crate) own: RefCell<Weak<Agent>>,
}

impl Agent {
    /// An agent that has seen nothing yet.
    pub fn new(node: Arc<Node>) -> Rc<Self> {
        let settings = &node.settings.agent;
        let limits = GateLimits {
            attempts_max: settings.attempts_max,
            remember_ms: settings.remember_ms,
            start_within_ms: settings.start_within_ms,
        };
        let mut builder = ClientBuilder::new();
        // An idle connection may have gone silent: a call that must not be
        // repeated would be lost on it, and nobody would know whether it ran.
        let idle = if settings.service.is_empty() {
            IDLE_CONNECTIONS
        } else {
            0
        };
        builder.set_max_idle_per_host(idle);
        let client = builder.build().expect("a client without TLS always builds");
        let agent = Rc::new(Agent {
            node,
            gate: RefCell::new(Gate::new(limits)),
            load: RefCell::default(),
            cancels: RefCell::default(),
            client,
            own: RefCell::default(),
        });
        *agent.own.borrow_mut() = Rc::downgrade(&agent);
        agent
    }

    /// Calls `judge` with what the gate judges by now.
    pub fn with_gate<T>(&self, judge: impl FnOnce(&mut Gate, Context<'_>) -> T) -> T {
        let config = self.node.view.current();
        let load = self.load.borrow();
        let cx = Context {
            config: &config,
            health: self.node.health(),
            loaded: &load.versions,
            service: &self.node.settings.agent.service,
            now: self.node.now(),
        };
        judge(&mut self.gate.borrow_mut(), cx)
    }

    /// Now, on this process's clock.
    pub fn now(&self) -> Millis {
        self.node.now()
    }
}
