//! Session tickets: the version a session started on, signed.

use std::collections::BTreeMap;

use displaydoc::Display;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Leads every ticket, so that the form can change.
const PREFIX: &str = "s1";

/// Longest ticket that is looked at, bytes.
const TICKET_MAX_BYTES: usize = 1_024;

/// What a ticket says.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// Team of the session.
    pub team: String,
    /// Session's name, empty if the caller gave none.
    pub session: String,
    /// Version that it started on, by model; a cascade uses several.
    pub versions: BTreeMap<String, String>,
}

/// Why a ticket is not accepted.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum TicketError {
    /// the session ticket is malformed; send it as it was given, or none to start a new session
    Malformed,
    /// the session ticket has no known signature; start a new session
    BadSignature,
    /// the session ticket belongs to another team or session; send the one that was given for this
    WrongSession,
}

impl std::error::Error for TicketError {}

/// Keys that sign and check tickets.
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
    /// The first key signs; each of them is accepted, so that a key can be
    /// changed without ending sessions.
    pub fn new<K>(keys: &[K]) -> Self
    where
        K: AsRef<[u8]>,
    {
        TicketKeys {
            keys: keys.iter().map(|key| key.as_ref().to_vec()).collect(),
        }
    }

    /// Whether there is a key to sign with.
    pub fn can_sign(&self) -> bool {
        !self.keys.is_empty()
    }

    /// Signs a ticket; `None` without a key.
    pub fn sign(&self, ticket: &Ticket) -> Option<String> {
        let key = self.keys.first()?;
        let body = serde_json::to_vec(ticket).expect("a ticket always encodes");
        let body = hex::encode(body);
        let mac = hex::encode(mac(key, &body).finalize().into_bytes());
        Some(format!("{PREFIX}.{body}.{mac}"))
    }

    /// Reads a ticket that a caller sent back.
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
        Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(body.as_bytes());
    mac
}
