//! Teams and their keys.

/// One team.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Team {
    /// Name that endpoints are told.
    pub name: String,
    /// Keys that its callers may send.
    pub keys: Vec<String>,
    /// Rank that goes before a route's, zero the most urgent.
    pub priority: Option<u8>,
}
