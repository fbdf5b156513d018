//! HTTP helpers that the fakes share.

use std::net::SocketAddr;

use bytes::Bytes;
use http::StatusCode;
use serde::Serialize;
use tokio::net::TcpListener;
use volo::net::incoming::DefaultIncoming;
use volo_http::{
    body::Body,
    request::Request,
    response::Response,
    server::{Router, Server},
};

/// Serves all requests on `address` with `handler` and returns the address that
/// it listens on.
pub(crate) async fn serve<H, F>(address: SocketAddr, handler: H) -> SocketAddr
where
    H: FnOnce(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let listener = TcpListener::bind(address)
        .await
        .expect("cannot listen on a loopback address");
    let address = listener.local_addr().expect("a listener has an address");
    let router: Router = Router::new().fallback(handler);
    let incoming = DefaultIncoming::from(listener);
    tokio::spawn(async move {
        let _ = Server::new(router).run(incoming).await;
    });
    address
}

/// A loopback address whose port the operating system assigns.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) fn json<T>(status: StatusCode, body: &T) -> Response
where
    T: Serialize,
{
    let body =
        serde_json::to_vec(body).expect("the response can be serialized as JSON");
    let mut response = Response::new(Body::from(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

pub(crate) fn empty(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// The value of a numeric query parameter.
pub(crate) fn query_number(request: &Request, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let pair = query
        .split('&')
        .find_map(|pair| pair.split_once('=').filter(|p| p.0 == name))?;
    pair.1.parse().ok()
}
