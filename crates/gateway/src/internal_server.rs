//! HTTP server of the readiness check, the metrics, and the configuration for peers.

use std::{convert::Infallible, rc::Rc};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use ingress::{Accepted, Connection, Connections, INTERNAL_BUFFER_BYTES, Listener};
use log::warn;
use tokio::net::{TcpListener, TcpStream};

use crate::{config_fetch, state::Gateway};

/// Serves `listener` for as long as the process runs.
pub(crate) async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    let open_max = gateway.shares.internal_connections();
    let connections = Connections::new(open_max, gateway.clock.clone());
    let mut listener = Listener::new("probe", listener, connections);
    loop {
        // Nothing is in progress for long, so there is always one to replace.
        if let Accepted::Admitted { stream, place, .. } = listener.accept().await {
            tokio::task::spawn_local(serve_one(gateway.clone(), stream, place));
        }
    }
}

async fn serve_one(gateway: Rc<Gateway>, stream: TcpStream, place: Connection) {
    if let Err(err) = link::configure_socket(&stream) {
        warn!("event=probe_failed reason=\"{err}\"");
        return;
    }
    let answer = service_fn(|request: Request<Incoming>| {
        place.heard();
        let response = answer(&gateway, request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .auto_date_header(false)
        .max_buf_size(INTERNAL_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), answer);
    tokio::select! {
        // Ignored: a client whose connection fails sends its request again.
        _ = connection => {}
        () = place.evicted() => gateway.stats.count("refused", "probe_evicted"),
    }
}

fn answer(gateway: &Gateway, path: &str) -> Response<Full<Bytes>> {
    if path == config_fetch::PATH {
        return configuration(gateway);
    }
    let (status, text) = match path {
        platform::READY_PATH if gateway.is_ready() => (StatusCode::OK, String::new()),
        platform::READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        "/metrics" => (StatusCode::OK, metrics(gateway)),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

fn metrics(gateway: &Gateway) -> String {
    let connections = gateway.caller_connections.open();
    gateway.stats.render(&[
        ("connections_open", connections as u64),
        ("bodies_held_bytes", gateway.bodies.held_bytes()),
        ("bodies_bound_bytes", gateway.bodies.bound_bytes()),
    ])
}

/// Returns the record of the current configuration, for another gateway.
fn configuration(gateway: &Gateway) -> Response<Full<Bytes>> {
    let record = gateway.catalog_record.borrow().clone();
    let status = match record.is_empty() {
        true => StatusCode::NOT_FOUND,
        false => StatusCode::OK,
    };
    let mut response = Response::new(Full::new(record));
    *response.status_mut() = status;
    response
}
