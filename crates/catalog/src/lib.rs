//! What operators publish and endpoints announce, as plain tables.
//!
//! The gateway decides on these types alone; an adapter for each deployment
//! decodes its own formats into them once.  See `docs/design/deployment.md`.

mod endpoint;
mod order;
mod route;
mod service;
mod team;

pub use endpoint::{Endpoint, EndpointState};
pub use order::{RolloutOrder, RolloutState, RolloutStatus};
pub use route::{RetrySafety, Route, WeightedService};
pub use service::{Limits, PricedModel, Service};
pub use team::Team;

/// One published configuration, whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Number that grows with each publication, not always by one.
    pub version: u64,
    /// Every route, in published order.
    pub routes: Vec<Route>,
    /// Every service that routes may name.
    pub services: Vec<Service>,
    /// What a caller may send.
    pub limits: Limits,
    /// Teams and their keys; empty where callers need no key.
    pub teams: Vec<Team>,
}

impl Catalog {
    /// The route of `host` with the longest prefix of `path`.
    ///
    /// Prefixes end in a slash, so a prefix never matches half a segment.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let index = self.route_index(host, path)?;
        self.routes.get(index)
    }

    /// Place in [`Catalog::routes`] of the route for `host` and `path`.
    pub fn route_index(&self, host: &str, path: &str) -> Option<usize> {
        let routes = self.routes.iter().enumerate();
        routes
            .filter(|(_, route)| route.host.eq_ignore_ascii_case(host))
            .filter(|(_, route)| path.starts_with(&route.path_prefix))
            .max_by_key(|(_, route)| route.path_prefix.len())
            .map(|(index, _)| index)
    }

    /// The service named `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The team that holds `key`.
    pub fn team_by_key(&self, key: &str) -> Option<&Team> {
        self.teams
            .iter()
            .find(|team| team.keys.iter().any(|held| held == key))
    }
}
