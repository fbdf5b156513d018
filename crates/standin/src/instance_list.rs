//! A fake of the platform's instance list, which may lag behind reality.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use http::StatusCode;
use serde::Serialize;
use volo_http::{request::Request, response::Response};

use crate::http::{any_port, empty, json, serve};

#[derive(Clone, Debug, Serialize)]
struct InstanceBody {
    name: String,
    role: String,
    #[serde(rename = "room")]
    failure_domain: String,
    address: SocketAddr,
    state: String,
}

#[derive(Debug, Default)]
struct Inner {
    instances: Vec<InstanceBody>,
    down: bool,
}

#[derive(Serialize)]
struct ListBody {
    instances: Vec<InstanceBody>,
}

/// A handle to an instance list that runs in this process.  It changes only when
/// a test changes it.
#[derive(Clone, Debug)]
pub struct InstanceListService {
    /// Address that it listens on.
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

impl InstanceListService {
    /// Starts an empty list.
    pub async fn start() -> InstanceListService {
        let inner: Arc<Mutex<Inner>> = Arc::default();
        let served = inner.clone();
        let handler = move |_request: Request| {
            let answer = answer(&served);
            async move { answer }
        };
        let address = serve(any_port(), handler).await;
        InstanceListService { address, inner }
    }

    /// Adds an instance, or replaces the one of the same name.
    pub fn add(
        &self,
        name: &str,
        role: &str,
        failure_domain: &str,
        address: SocketAddr,
    ) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.instances.retain(|instance| instance.name != name);
        inner.instances.push(InstanceBody {
            name: name.to_owned(),
            role: role.to_owned(),
            failure_domain: failure_domain.to_owned(),
            address,
            state: "live".to_owned(),
        });
    }

    /// Removes an instance.
    pub fn remove(&self, name: &str) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.instances.retain(|instance| instance.name != name);
    }

    /// Sets whether the service refuses all calls.
    pub fn set_down(&self, down: bool) {
        self.inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .down = down;
    }
}

fn answer(inner: &Mutex<Inner>) -> Response {
    let inner = inner.lock().unwrap_or_else(PoisonError::into_inner);
    if inner.down {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    json(
        StatusCode::OK,
        &ListBody {
            instances: inner.instances.clone(),
        },
    )
}
