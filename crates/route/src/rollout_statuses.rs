//! The recorded states of service rollouts.
//!
//! A state that was recorded may be lost again when the platform restores its log
//! from an older copy.  A rollout that is over must stay so: endpoints of the losing
//! version have stopped, and a request assigned to it would be refused.  What a
//! gateway has read or recorded therefore outlives the log's copy, and is recorded
//! again.  See `docs/design/outage.md`.

use std::collections::HashMap;

use catalog::{RolloutOrder, RolloutState, RolloutStatus};

/// The status of each service's rollout: as known to this gateway, and as the log
/// holds it.
#[derive(Clone, Debug, Default)]
pub struct RolloutStatuses {
    known: HashMap<String, RolloutStatus>,
    logged: HashMap<String, RolloutStatus>,
}

impl RolloutStatuses {
    /// Returns the known state of the rollout that `order` started.
    pub fn state(&self, order: &RolloutOrder) -> Option<RolloutState> {
        let status = self.known.get(&order.service)?;
        (status.target == order.target).then_some(status.state)
    }

    /// Records the status that the log holds for `service`; `None` if it holds
    /// none. `order` is the service's current order.
    ///
    /// The known status is kept if it is that of the current order and the log
    /// holds an earlier one.
    pub fn record_logged(
        &mut self,
        service: &str,
        status: Option<RolloutStatus>,
        order: Option<&RolloutOrder>,
    ) {
        let Some(status) = status else {
            self.logged.remove(service);
            return;
        };
        let known = self.known.get(service);
        let is_older = known.is_some_and(|known| {
            let other_target = known.target != status.target;
            let current = order.is_some_and(|order| order.target == known.target);
            let reopened = known.state.is_terminal() && !status.state.is_terminal();
            (other_target && current) || (!other_target && reopened)
        });
        if !is_older {
            self.known.insert(service.to_owned(), status.clone());
        }
        self.logged.insert(service.to_owned(), status);
    }

    /// Records that a peer knows the rollout of `order` to have ended in `state`;
    /// returns whether this is news.
    pub fn learn(&mut self, order: &RolloutOrder, state: RolloutState) -> bool {
        let known_end = self.state(order).is_some_and(RolloutState::is_terminal);
        if known_end || !state.is_terminal() {
            return false;
        }
        let target = order.target.clone();
        let status = RolloutStatus { state, target };
        self.known.insert(order.service.clone(), status);
        true
    }

    /// Returns the final state of the rollout of `order` if the log does not hold
    /// it, so that it has to be recorded again.
    pub fn unlogged_end(&self, order: &RolloutOrder) -> Option<RolloutState> {
        let state = self.state(order).filter(|state| state.is_terminal())?;
        let known = self.known.get(&order.service);
        (self.logged.get(&order.service) != known).then_some(state)
    }
}
