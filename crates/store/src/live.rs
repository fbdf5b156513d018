//! The platform's list of live and leaving instances.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What an instance is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A front that callers reach.
    Entry,
    /// The process beside an endpoint.
    #[default]
    Agent,
}

/// What the platform knows of an instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It runs.
    #[default]
    Live,
    /// It was told to stop.
    Leaving,
}

/// One instance on the list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Name that the platform gave its place.
    pub name: String,
    /// What it is.
    pub role: Role,
    /// Failure domain.
    #[serde(rename = "room")]
    pub failure_domain: String,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// What the platform knows of it.
    #[serde(default)]
    pub state: InstanceState,
}

/// The list, as last read.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LiveList {
    /// All instances.
    pub instances: Vec<Instance>,
}
