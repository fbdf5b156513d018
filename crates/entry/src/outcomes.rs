//! Outcomes of recent requests, which callers can query later.

use std::collections::{HashMap, VecDeque};

use serde::Serialize;
use wire::Execution;

/// Maximum number of outcomes kept; the oldest are dropped first.
const OUTCOMES_MAX: usize = 50_000;

/// State of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub(crate) enum Outcome {
    /// The response has not ended.
    Running,
    /// The response was complete.
    Done,
    /// The response failed; `ran` tells whether the request ran.
    Failed { code: String, ran: Execution },
}

/// Recent outcomes by team and request id. The caller's own request id is an
/// alias.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    table: HashMap<(String, String), Outcome>,
    order: VecDeque<(String, String)>,
}

impl Outcomes {
    /// Records the state of a request.
    pub fn set(&mut self, team: &str, request_id: &str, outcome: Outcome) {
        let key = (team.to_owned(), request_id.to_owned());
        if self.table.insert(key.clone(), outcome).is_none() {
            self.order.push_back(key);
        }
        if self.order.len() > OUTCOMES_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.table.remove(&oldest);
        }
    }

    /// Returns the state of a team's request, if it is still recorded.
    pub fn get(&self, team: &str, request_id: &str) -> Option<Outcome> {
        self.table
            .get(&(team.to_owned(), request_id.to_owned()))
            .cloned()
    }
}
