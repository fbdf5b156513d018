//! Data model of the published configuration and the announced endpoints.
//!
//! The gateway bases its decisions on these types alone. An adapter for each
//! deployment decodes that deployment's formats into them. See
//! `docs/design/deployment.md`.

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

/// A complete published configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version number; it increases with each publication, not always by one.
    pub version: u64,
    /// All routes, in published order.
    pub routes: Vec<Route>,
    /// All services that routes may refer to.
    pub services: Vec<Service>,
    /// Limits on the requests of callers.
    pub limits: Limits,
    /// Teams and their API keys; empty if callers need no key.
    pub teams: Vec<Team>,
}

impl Catalog {
    /// The route of `host` with the longest prefix of `path`.
    ///
    /// Prefixes end with a slash, so a prefix only matches whole segments.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let index = self.route_index(host, path)?;
        self.routes.get(index)
    }

    /// Index in [`Catalog::routes`] of the route for `host` and `path`.
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

    /// The team that the API key `key` belongs to.
    pub fn team_by_key(&self, key: &str) -> Option<&Team> {
        self.teams
            .iter()
            .find(|team| team.keys.iter().any(|known| known == key))
    }
}
