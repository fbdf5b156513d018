//! Binding of sessions to versions.

use claim::ClaimEvent;
use route::{Session, Ticket, TicketError};

use crate::{Entry, ErrorKind, RequestError};

/// Maximum time to append a session's binding to the log and read it back, ms.
///
/// After a timeout the version chosen by hash is used. Entries with the same
/// configuration choose the same one, and the configuration does not change
/// while the log is down.
const BIND_TIMEOUT_MS: u64 = 1_000;

/// Session data of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct SessionState {
    /// Session name given by the caller, or empty.
    pub name: String,
    /// Verified ticket from the request, or a new one to be signed.
    pub ticket: Ticket,
    /// Whether the request names a session or carries a ticket; the session may
    /// be new.
    pub is_requested: bool,
}

impl SessionState {
    /// Reads the session name and verifies the ticket.
    ///
    /// # Errors
    ///
    /// Returns `bad_ticket` if the ticket does not verify or belongs to another
    /// team or session.
    pub fn from_headers(
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
            is_requested: !name.is_empty() || ticket.is_some(),
        };
        let Some(text) = ticket.filter(|text| !text.is_empty()) else {
            return Ok(state);
        };
        let ticket = entry.ticket_keys.verify(text).map_err(ErrorKind::Ticket)?;
        if ticket.team != team || (!name.is_empty() && ticket.session != name) {
            return Err(ErrorKind::Ticket(TicketError::WrongSession).into());
        }
        state.name = ticket.session.clone();
        state.ticket = ticket;
        Ok(state)
    }

    /// Whether this entry can determine the session's binding. An entry that
    /// has not yet read the bindings from the log must not choose a version for
    /// an existing session.
    pub fn is_binding_known(&self, entry: &Entry) -> bool {
        let by_ticket = !self.ticket.versions.is_empty();
        self.name.is_empty()
            || by_ticket
            || entry
                .node
                .claims
                .is_caught_up(&self.ticket.team, &self.name)
    }

    /// Returns the version of `model` that the session is bound to, if any.
    pub fn bound_version(&self, entry: &Entry, model: &str) -> Option<String> {
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

    /// Returns the session as input for version selection; `started_on` is the
    /// version that it is bound to, if any.
    pub fn as_selection_input<'a>(
        &'a self,
        started_on: Option<&'a str>,
    ) -> Session<'a> {
        Session {
            name: &self.name,
            started_on,
        }
    }

    /// Binds a new session to a version and returns the version in force. The
    /// first binding in the log wins.
    pub async fn bind(&mut self, entry: &Entry, model: &str, version: &str) -> String {
        let mut bound = version.to_owned();
        if !self.name.is_empty() && !self.ticket.versions.contains_key(model) {
            let team = &self.ticket.team;
            let event = ClaimEvent::Bind {
                team: team.clone(),
                session: self.name.clone(),
                model: model.to_owned(),
                version: version.to_owned(),
            };
            let claims = &entry.node.claims;
            let _ = claims
                .submit(team, &self.name, event, BIND_TIMEOUT_MS)
                .await;
            if let Some(first) = claims.binding(team, &self.name, model) {
                bound = first;
            }
        }
        self.ticket.versions.insert(model.to_owned(), bound.clone());
        bound
    }

    /// Returns the signed ticket if there is a session and a signing key.
    pub fn signed_ticket(&self, entry: &Entry) -> Option<String> {
        if !self.is_requested {
            return None;
        }
        entry.ticket_keys.sign(&self.ticket)
    }
}
