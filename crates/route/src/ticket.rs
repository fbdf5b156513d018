//! Signed session tickets, which carry the versions that a session started on.

use std::collections::BTreeMap;

use displaydoc::Display;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Prefix of every ticket; identifies the version of the format.
const PREFIX: &str = "s1";

/// Maximum accepted length of a ticket, bytes.
const TICKET_MAX_BYTES: usize = 1_024;

/// Contents of a ticket.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// Team that owns the session.
    pub team: String,
    /// Session name; empty if the caller gave none.
    pub session: String,
    /// Versions that the session started on, by model. A cascade uses several.
    pub versions: BTreeMap<String, String>,
}

/// Reason why a ticket was rejected.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum TicketError {
    /// the session ticket is malformed; send it unchanged, or omit it to start a new session
    Malformed,
    /// the session ticket was not signed with a known key; start a new session
    BadSignature,
    /// the session ticket belongs to another team or session; send the ticket issued for this session
    WrongSession,
}

impl std::error::Error for TicketError {}

/// Keys that sign and verify tickets.
#[derive(Clone, Default)]
pub struct TicketKeys {
    keys: Vec<Vec<u8>>,
}

impl std::fmt::Debug for TicketKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TicketKeys")
            .field("keys", &self.keys.len())
            .finish()
    }
}

impl TicketKeys {
    /// Creates a key set. The first key signs and every key verifies, so that a
    /// key can be rotated without ending sessions.
    pub fn new<K>(keys: &[K]) -> Self
    where
        K: AsRef<[u8]>,
    {
        TicketKeys {
            keys: keys.iter().map(|key| key.as_ref().to_vec()).collect(),
        }
    }

    /// Returns whether there is a signing key.
    pub fn can_sign(&self) -> bool {
        !self.keys.is_empty()
    }

    /// Signs a ticket; returns `None` without a key.
    pub fn sign(&self, ticket: &Ticket) -> Option<String> {
        let key = self.keys.first()?;
        let body = serde_json::to_vec(ticket).expect("a ticket serializes to JSON");
        let body = hex::encode(body);
        let mac = hex::encode(mac(key, &body).finalize().into_bytes());
        Some(format!("{PREFIX}.{body}.{mac}"))
    }

    /// Verifies and decodes a ticket sent by a caller.
    ///
    /// # Errors
    ///
    /// [`TicketError::Malformed`] if the text is too long or cannot be decoded,
    /// and [`TicketError::BadSignature`] if no key matches. Team and session
    /// are not compared here; a mismatch is [`TicketError::WrongSession`].
    pub fn verify(&self, text: &str) -> Result<Ticket, TicketError> {
        if text.len() > TICKET_MAX_BYTES {
            return Err(TicketError::Malformed);
        }
        let mut parts = text.split('.');
        let (Some(PREFIX), Some(body), Some(signature), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(TicketError::Malformed);
        };
        let signature = hex::decode(signature).map_err(|_| TicketError::Malformed)?;
        let verified = self
            .keys
            .iter()
            .any(|key| mac(key, body).verify_slice(&signature).is_ok());
        if !verified {
            return Err(TicketError::BadSignature);
        }
        let body = hex::decode(body).map_err(|_| TicketError::Malformed)?;
        serde_json::from_slice(&body).map_err(|_| TicketError::Malformed)
    }
}

fn mac(key: &[u8], body: &str) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(body.as_bytes());
    mac
}
