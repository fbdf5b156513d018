//! The platform's lagging list of live and leaving instances.

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
    room: String,
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

/// A live list in this process; it lags as much as its test does.
#[derive(Clone, Debug)]
pub struct InstanceListService {
    /// Where it listens.
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

impl InstanceListService {
    /// Starts with an empty list.
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

    /// Lists an instance.
    pub fn add(&self, name: &str, role: &str, room: &str, address: SocketAddr) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.instances.retain(|instance| instance.name != name);
        inner.instances.push(InstanceBody {
            name: name.to_owned(),
            role: role.to_owned(),
            room: room.to_owned(),
            address,
            state: "live".to_owned(),
        });
    }

    /// Strikes an instance off.
    pub fn remove(&self, name: &str) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.instances.retain(|instance| instance.name != name);
    }

    /// Stops or resumes answering.
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
