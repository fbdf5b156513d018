//! The version that a session keeps.

use claim::ClaimEvent;
use route::{Session, Ticket, TicketError};

use crate::{Entry, RequestError, Stage};

/// Longest wait for a session's binding on the log, ms.
///
/// Without it the choice stands by the hash alone, which all entries at one
/// configuration share; while the log is down there is only one.
const BIND_MS: u64 = 1_000;

/// What a request says of its session.
#[derive(Clone, Debug, Default)]
pub(crate) struct SessionState {
    /// Name that the caller gave, or empty.
    pub name: String,
    /// The ticket that came, or one in the making.
    pub ticket: Ticket,
    /// Whether there is a session at all.
    pub exists: bool,
}

impl SessionState {
    /// Reads the request's headers.
    pub fn read(
        entry: &Entry,
        team: &str,
        name: &str,
        ticket: Option<&str>,
    ) -> Result<SessionState, RequestError> {
        let mut state = SessionState {
            name: name.to_owned(),
            ticket: Ticket {
                team: team.to_owned(),
                session: name.to_owned(),
                ..Ticket::default()
            },
            exists: !name.is_empty() || ticket.is_some(),
        };
        let Some(text) = ticket.filter(|text| !text.is_empty()) else {
            return Ok(state);
        };
        let ticket = entry.tickets.verify(text).map_err(Stage::Ticket)?;
        if ticket.team != team || (!name.is_empty() && ticket.session != name) {
            return Err(Stage::Ticket(TicketError::WrongSession).into());
        }
        state.name = ticket.session.clone();
        state.ticket = ticket;
        Ok(state)
    }

    /// Whether this entry can tell what the session is bound to: one that has
    /// not read the bindings yet must not choose a version anew.
    pub fn is_known(&self, entry: &Entry) -> bool {
        let by_ticket = !self.ticket.versions.is_empty();
        self.name.is_empty()
            || by_ticket
            || entry
                .node
                .claims
                .is_caught_up(&self.ticket.team, &self.name)
    }

    /// Version that the session started on for a model, if it did.
    pub fn started_on(&self, entry: &Entry, model: &str) -> Option<String> {
        if let Some(version) = self.ticket.versions.get(model) {
            return Some(version.clone());
        }
        if self.name.is_empty() {
            return None;
        }
        entry
            .node
            .claims
            .binding(&self.ticket.team, &self.name, model)
    }

    /// The view that the choice of a version takes.
    pub fn view<'a>(&'a self, started_on: Option<&'a str>) -> Session<'a> {
        Session {
            name: &self.name,
            started_on,
        }
    }

    /// Binds a new session to a version.  The first binding on the log holds:
    /// returns the version that the session has.
    pub async fn bind(&mut self, entry: &Entry, model: &str, version: &str) -> String {
        let mut held = version.to_owned();
        if !self.name.is_empty() && !self.ticket.versions.contains_key(model) {
            let team = &self.ticket.team;
            let event = ClaimEvent::Bind {
                team: team.clone(),
                session: self.name.clone(),
                model: model.to_owned(),
                version: version.to_owned(),
            };
            let claims = &entry.node.claims;
            let _ = claims.submit(team, &self.name, event, BIND_MS).await;
            if let Some(first) = claims.binding(team, &self.name, model) {
                held = first;
            }
        }
        self.ticket.versions.insert(model.to_owned(), held.clone());
        held
    }

    /// The signed ticket, if there is a session and a key.
    pub fn signed(&self, entry: &Entry) -> Option<String> {
        if !self.exists {
            return None;
        }
        entry.tickets.sign(&self.ticket)
    }
}
