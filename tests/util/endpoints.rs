//! Endpoints for tests of the decision core.

use catalog::{Endpoint, EndpointState};

/// A ready engine of the service `s`, in the failure domain `a`.
pub fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        born_ms: 1,
        service: "s".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        failure_domain: "a".to_owned(),
        version: "v1".to_owned(),
        slots: 64,
        state: EndpointState::Ready,
        warmup_left_ms: 0,
    }
}
