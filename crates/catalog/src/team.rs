//! Teams and their API keys.

/// A team.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Team {
    /// Name, which is sent to endpoints.
    pub name: String,
    /// API keys that the team's callers may use.
    pub keys: Vec<String>,
    /// Priority that overrides that of the route; zero is the most urgent.
    pub priority: Option<u8>,
}
