//! The platform's list of live and leaving instances.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Role of an instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts requests from callers.
    Entry,
    /// Runs beside an endpoint.
    #[default]
    Agent,
}

/// State of an instance, as reported by the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Running.
    #[default]
    Live,
    /// Told to stop, and possibly still draining.
    Leaving,
}

/// One instance on the list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Name assigned by the platform.
    pub name: String,
    /// Role of the instance.
    pub role: Role,
    /// Failure domain in which it runs.
    #[serde(rename = "room")]
    pub failure_domain: String,
    /// Address at which peers connect to it.
    pub address: SocketAddr,
    /// State reported by the platform; live if the platform reports none.
    #[serde(default)]
    pub state: InstanceState,
}

/// Response of the platform's instance list.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceList {
    /// All listed instances.
    pub instances: Vec<Instance>,
}
