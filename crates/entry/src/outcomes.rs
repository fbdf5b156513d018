//! Outcomes of recent requests, for callers that ask again.

use std::collections::{HashMap, VecDeque};

use serde::Serialize;
use wire::Execution;

/// Requests that are remembered.
const KEPT: usize = 50_000;

/// Where a request stands.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub(crate) enum Outcome {
    /// Its answer has not ended.
    Running,
    /// It was answered whole.
    Done,
    /// It was not, and whether it ran.
    Failed { code: String, ran: Execution },
}

/// Recent outcomes by team and request id; the caller's own id is an alias.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    table: HashMap<(String, String), Outcome>,
    order: VecDeque<(String, String)>,
}

impl Outcomes {
    /// Notes where a request stands.
    pub fn set(&mut self, team: &str, request_id: &str, outcome: Outcome) {
        let key = (team.to_owned(), request_id.to_owned());
        if self.table.insert(key.clone(), outcome).is_none() {
            self.order.push_back(key);
        }
        if self.order.len() > KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.table.remove(&oldest);
        }
    }

    /// Where a team's request stands.
    pub fn get(&self, team: &str, request_id: &str) -> Option<Outcome> {
        self.table
            .get(&(team.to_owned(), request_id.to_owned()))
            .cloned()
    }
}
