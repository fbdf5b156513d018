//! Server side of the RPC.

use std::rc::Rc;

use capnp::Error;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::AsyncReadExt;
use ingress::{
    Accepted, Connection, Connections, Listener, ObservedStream, StreamObserver,
};
use log::debug;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::{
    AttemptId, AttemptState, Dispatch, Frame, Hello, Verdict, convert, wire_capnp,
};

/// Calls that every process handles.
#[allow(async_fn_in_trait)]
pub trait PeerHandler {
    /// Handles a peer's heartbeat and returns this process's own.
    async fn hello(&self, from: Hello) -> Hello;
    /// Returns the complete configuration and its offset if it is newer than
    /// `have`.
    async fn fetch_config(&self, have: u64) -> Option<(u64, String)>;
    /// Stores copies of an owner's bills, given as JSON.
    ///
    /// # Errors
    ///
    /// The bills could not be stored, for the returned reason.
    async fn hold_bills(&self, owner: String, bills: String) -> Result<(), String>;
    /// Drops copies of bills that have been written to the log.
    async fn release_bills(&self, owner: String, request_ids: Vec<String>);
}

/// Additional calls that an agent handles for entries.
#[allow(async_fn_in_trait)]
pub trait AgentHandler: PeerHandler {
    /// Accepts or refuses an attempt; its frames go to `sink`.
    async fn dispatch(&self, dispatch: Dispatch, sink: FrameSink) -> Verdict;
    /// Stops an attempt and returns its state.
    async fn cancel(&self, id: AttemptId) -> AttemptState;
    /// Returns an attempt's state.  With `tombstone`, an unseen attempt is first
    /// refused permanently.
    async fn query(&self, id: AttemptId, tombstone: bool) -> AttemptState;
    /// Drops the copies of these requests' bills, because the requests ended
    /// without a bill.
    async fn settle(&self, request_ids: Vec<String>);
}

/// The entry no longer receives the attempt's frames.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SinkClosed;

/// Sends an attempt's frames to the entry.
#[derive(Clone)]
pub struct FrameSink {
    client: wire_capnp::sink::Client,
}

impl FrameSink {
    /// Sends a frame and waits until the entry has received it.
    ///
    /// # Errors
    ///
    /// The connection was lost or the entry dropped the request.
    pub async fn push(&self, frame: &Frame) -> Result<(), SinkClosed> {
        let mut request = self.client.push_request();
        convert::write_frame(frame, request.get().init_frame());
        request.send().promise.await.map_err(|_| SinkClosed)?;
        Ok(())
    }
}

struct Server<H>(Rc<H>);

impl<H> wire_capnp::peer::Server for Server<H>
where
    H: PeerHandler + 'static,
{
    async fn hello(
        self: Rc<Self>,
        params: wire_capnp::peer::HelloParams,
        mut results: wire_capnp::peer::HelloResults,
    ) -> Result<(), Error> {
        let from = convert::read_hello(params.get()?.get_from()?)?;
        let reply = self.0.hello(from).await;
        convert::write_hello(&reply, results.get().init_reply());
        Ok(())
    }

    async fn fetch_config(
        self: Rc<Self>,
        params: wire_capnp::peer::FetchConfigParams,
        mut results: wire_capnp::peer::FetchConfigResults,
    ) -> Result<(), Error> {
        let found = self.0.fetch_config(params.get()?.get_have()).await;
        if let Some((offset, body)) = found {
            results.get().set_offset(offset);
            results.get().set_body(&body);
        }
        Ok(())
    }

    async fn hold_bills(
        self: Rc<Self>,
        params: wire_capnp::peer::HoldBillsParams,
        _results: wire_capnp::peer::HoldBillsResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let owner = params.get_owner()?.to_string()?;
        let bills = params.get_bills()?.to_string()?;
        self.0
            .hold_bills(owner, bills)
            .await
            .map_err(Error::overloaded)
    }

    async fn release_bills(
        self: Rc<Self>,
        params: wire_capnp::peer::ReleaseBillsParams,
        _results: wire_capnp::peer::ReleaseBillsResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let owner = params.get_owner()?.to_string()?;
        let request_ids = convert::read_texts(params.get_ids()?)?;
        self.0.release_bills(owner, request_ids).await;
        Ok(())
    }
}

impl<H> wire_capnp::agent::Server for Server<H>
where
    H: AgentHandler + 'static,
{
    async fn dispatch(
        self: Rc<Self>,
        params: wire_capnp::agent::DispatchParams,
        mut results: wire_capnp::agent::DispatchResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let dispatch = convert::read_dispatch(params.get_request()?)?;
        let sink = FrameSink {
            client: params.get_sink()?,
        };
        let verdict = self.0.dispatch(dispatch, sink).await;
        convert::write_verdict(&verdict, results.get().init_verdict());
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: wire_capnp::agent::CancelParams,
        mut results: wire_capnp::agent::CancelResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let id = AttemptId {
            request_id: params.get_request_id()?.to_string()?,
            attempt: params.get_attempt(),
        };
        let state = self.0.cancel(id).await;
        convert::write_state(&state, results.get().init_state());
        Ok(())
    }

    async fn query(
        self: Rc<Self>,
        params: wire_capnp::agent::QueryParams,
        mut results: wire_capnp::agent::QueryResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let id = AttemptId {
            request_id: params.get_request_id()?.to_string()?,
            attempt: params.get_attempt(),
        };
        let state = self.0.query(id, params.get_tombstone()).await;
        convert::write_state(&state, results.get().init_state());
        Ok(())
    }

    async fn settle(
        self: Rc<Self>,
        params: wire_capnp::agent::SettleParams,
        _results: wire_capnp::agent::SettleResults,
    ) -> Result<(), Error> {
        let request_ids = convert::read_texts(params.get()?.get_request_ids()?)?;
        self.0.settle(request_ids).await;
        Ok(())
    }
}

/// Serves an agent's calls on `listener`, within `connections`.  Must run within a
/// `LocalSet`.
pub async fn serve_agent<H>(
    listener: TcpListener,
    handler: Rc<H>,
    connections: Connections,
) where
    H: AgentHandler + 'static,
{
    let client: wire_capnp::agent::Client = capnp_rpc::new_client(Server(handler));
    accept(listener, client.client, connections).await;
}

/// Serves the calls of any process on `listener`, within `connections`.  Must run within a
/// `LocalSet`.
pub async fn serve_peer<H>(
    listener: TcpListener,
    handler: Rc<H>,
    connections: Connections,
) where
    H: PeerHandler + 'static,
{
    let client: wire_capnp::peer::Client = capnp_rpc::new_client(Server(handler));
    accept(listener, client.client, connections).await;
}

async fn accept(
    listener: TcpListener,
    bootstrap: capnp::capability::Client,
    connections: Connections,
) {
    let mut listener = Listener::new("peers", listener, connections);
    loop {
        if let Accepted::Admitted { stream, place, .. } = listener.accept().await {
            let serving = serve_stream(stream, place, bootstrap.clone());
            tokio::task::spawn_local(serving);
        }
    }
}

/// Tells a peer's place among the open connections what it does.
///
/// A peer that was answered speaks the protocol, and is silent for long between its calls,
/// so its connection is not closed for a new one any more.
struct PeerObserver(Rc<Connection>);

impl StreamObserver for PeerObserver {
    fn bytes_received(&self) {
        self.0.heard();
    }

    fn bytes_sent(&self) {
        self.0.request_received();
    }
}

async fn serve_stream(
    stream: TcpStream,
    place: Connection,
    bootstrap: capnp::capability::Client,
) {
    let _ = stream.set_nodelay(true);
    let place = Rc::new(place);
    let stream = ObservedStream::new(stream, PeerObserver(place.clone()));
    let (reader, writer) = stream.compat().split();
    let network = VatNetwork::new(reader, writer, Side::Server, Default::default());
    let system = RpcSystem::new(Box::new(network), Some(bootstrap));
    tokio::select! {
        ended = system => {
            if let Err(err) = ended {
                debug!("event=connection_ended why={:?}", err.kind);
            }
        }
        () = place.evicted() => debug!("event=connection_ended why=evicted"),
    }
}
