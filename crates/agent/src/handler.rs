//! Handlers for calls from entries and peers.

use std::rc::Rc;

use gate::{Admitted, Decision, Permit, Reason, Work};
use log::debug;
use telemetry::Event;
use wire::{
    AgentHandler, AttemptId, AttemptState, Dispatch, FrameSink, Hello, PeerHandler,
    Refusal, Verdict,
};

use crate::{Agent, attempt};

/// Timeout for reaching the configuration offset that an entry requires, ms.
const CATCH_UP_TIMEOUT_MS: u64 = 500;

/// Assumed number of concurrent attempts of a plain service.
const SERVICE_SLOTS: u32 = 32;

impl PeerHandler for Agent {
    async fn hello(&self, from: Hello) -> Hello {
        self.node.handle_hello(&from, None).await;
        self.own_hello()
    }

    async fn fetch_config(&self, have: u64) -> Option<(u64, String)> {
        self.node.config_since(have)
    }

    async fn hold_bills(&self, owner: String, bills: String) -> Result<(), String> {
        self.node.hold_bill_copies(&owner, &bills)
    }

    async fn release_bills(&self, _owner: String, request_ids: Vec<String>) {
        self.node
            .bills()
            .release(request_ids.iter().map(String::as_str));
    }
}

impl AgentHandler for Agent {
    async fn dispatch(&self, dispatch: Dispatch, sink: FrameSink) -> Verdict {
        let result = self.admit(&dispatch).await;
        let config_offset = self.node.view.offset();
        let id = &dispatch.id;
        match result {
            Ok(permit) => {
                self.node.metrics.count("admitted");
                let event = Event::new("admitted")
                    .with("request", &id.request_id)
                    .with("attempt", id.attempt);
                debug!("{event}");
                attempt::spawn(self.self_rc(), permit, dispatch, sink);
                Verdict {
                    refusal: None,
                    config_offset,
                }
            }
            Err(reason) => {
                self.node.metrics.count("stopped");
                let event = Event::new("stopped")
                    .with("request", &id.request_id)
                    .with("attempt", id.attempt)
                    .with("reason", reason.code());
                log::info!("{event}");
                Verdict {
                    refusal: Some(Refusal::from(reason)),
                    config_offset,
                }
            }
        }
    }

    async fn cancel(&self, id: AttemptId) -> AttemptState {
        let state = self.gate.borrow_mut().cancel(&id);
        if let Some(notify) = self.cancels.borrow().get(&id) {
            notify.notify_one();
        }
        state
    }

    async fn query(&self, id: AttemptId, tombstone: bool) -> AttemptState {
        let now = self.now();
        let mut gate = self.gate.borrow_mut();
        if tombstone {
            gate.tombstone(&id, now)
        } else {
            gate.state(&id)
        }
    }

    async fn settle(&self, request_ids: Vec<String>) {
        self.node
            .bills()
            .release(request_ids.iter().map(String::as_str));
    }
}

impl Agent {
    /// Builds the heartbeat message that describes this agent and its endpoint.
    pub(crate) fn own_hello(&self) -> Hello {
        let settings = &self.node.settings.agent;
        let load = self.load.borrow();
        let is_service = !settings.service.is_empty();
        let gate = self.gate.borrow();
        Hello {
            service: settings.service.clone(),
            versions: load.versions.iter().cloned().collect(),
            running: if is_service {
                gate.running() as u32
            } else {
                load.running
            },
            queued: load.queued,
            slots: if is_service {
                SERVICE_SLOTS
            } else {
                load.slots
            },
            token_us: load.token_us,
            draining: gate.is_draining(),
            ..self.node.hello()
        }
    }

    /// Runs the admission checks of the gate, after catching up with the entry's
    /// configuration if that is newer.
    async fn admit(&self, dispatch: &Dispatch) -> Result<Permit<Admitted>, Reason> {
        let offset = dispatch.config_offset;
        let work = Work::new(dispatch, self.now());
        match self.with_gate(|gate, cx| gate.admit(work, offset, cx)) {
            Decision::Admit(permit) => Ok(permit),
            Decision::Refuse(reason) => Err(reason),
            Decision::CatchUp(work) => {
                self.catch_up(&dispatch.owner, offset).await;
                match self.with_gate(|gate, cx| gate.admit(work, offset, cx)) {
                    Decision::Admit(permit) => Ok(permit),
                    Decision::Refuse(reason) => Err(reason),
                    Decision::CatchUp(_) => Err(Reason::StaleConfig),
                }
            }
        }
    }

    async fn catch_up(&self, owner: &str, offset: u64) {
        let address = self.node.peers().address_of(owner);
        if let Some(address) = address {
            self.node.fetch_config_from(address).await;
        }
        if self.node.view.offset() < offset {
            self.node.wait_for_config(offset, CATCH_UP_TIMEOUT_MS).await;
        }
    }

    fn self_rc(&self) -> Rc<Agent> {
        self.weak_self
            .borrow()
            .upgrade()
            .expect("the agent is kept alive while it serves calls")
    }
}
