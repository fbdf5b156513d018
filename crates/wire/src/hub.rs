//! All outgoing connections of a process, on a thread of their own.

use std::{
    cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, thread,
    time::Duration,
};

use capnp::Error;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use displaydoc::Display;
use futures::AsyncReadExt;
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    task::{AbortHandle, LocalSet},
    time::timeout,
};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::{
    AttemptId, AttemptState, Dispatch, Frame, Hello, Verdict, convert, wire_capnp,
};

/// Frames of one attempt that may wait for a slow caller.
const FRAMES_WAITING: usize = 64;

/// Why a call to another process failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum CallError {
    /// cannot connect to {0}; nothing was sent
    Connect(SocketAddr),
    /// {0} fell silent; what was sent may have taken effect
    TimedOut(SocketAddr),
    /// the connection to {0} ended; what was sent may have taken effect
    Disconnected(SocketAddr),
    /// {0} refused the call: {1}
    Refused(SocketAddr, String),
}

impl std::error::Error for CallError {}

impl CallError {
    /// Whether the call cannot have reached the other process.
    pub fn never_sent(&self) -> bool {
        matches!(self, CallError::Connect(_))
    }
}

/// Frames of an attempt; ends without an end mark if the connection is lost.
pub type FrameReceiver = mpsc::Receiver<Frame>;

type Reply<T> = oneshot::Sender<Result<T, CallError>>;

enum Command {
    Hello(SocketAddr, Box<Hello>, Reply<Hello>),
    FetchConfig(SocketAddr, u64, Reply<Option<(u64, String)>>),
    HoldBills(SocketAddr, String, String, Reply<()>),
    ReleaseBills(SocketAddr, String, Vec<String>, Reply<()>),
    Dispatch(
        SocketAddr,
        Box<Dispatch>,
        mpsc::Sender<Frame>,
        Reply<Verdict>,
    ),
    Cancel(SocketAddr, AttemptId, Reply<AttemptState>),
    Query(SocketAddr, AttemptId, bool, Reply<AttemptState>),
    Settle(SocketAddr, Vec<String>, Reply<()>),
    Drop(SocketAddr),
}

/// A handle on the connections; cheap to clone, callable from any thread.
#[derive(Clone, Debug)]
pub struct Hub {
    commands: mpsc::UnboundedSender<Command>,
}

impl Hub {
    /// Starts the thread.  A call that gets no answer within `silence_ms`
    /// ends its connection, and with it all attempts that use it.
    pub fn start(silence_ms: u64) -> Hub {
        let (commands, queue) = mpsc::unbounded_channel();
        let run = move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime for the calls can be built");
            let local = LocalSet::new();
            local.block_on(&runtime, run(queue, silence_ms));
        };
        thread::Builder::new()
            .name("wire-hub".into())
            .spawn(run)
            .expect("a thread for the calls can be started");
        Hub { commands }
    }

    async fn call<T>(
        &self,
        to: SocketAddr,
        command: impl FnOnce(Reply<T>) -> Command,
    ) -> Result<T, CallError> {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(command(reply));
        answer.await.unwrap_or(Err(CallError::Disconnected(to)))
    }

    /// Exchanges heartbeats.
    pub async fn hello(&self, to: SocketAddr, from: Hello) -> Result<Hello, CallError> {
        self.call(to, |reply| Command::Hello(to, Box::new(from), reply))
            .await
    }

    /// Fetches the configuration if it is newer than `have`.
    pub async fn fetch_config(
        &self,
        to: SocketAddr,
        have: u64,
    ) -> Result<Option<(u64, String)>, CallError> {
        self.call(to, |reply| Command::FetchConfig(to, have, reply))
            .await
    }

    /// Has a peer hold copies of bills, JSON.
    pub async fn hold_bills(
        &self,
        to: SocketAddr,
        owner: &str,
        bills: String,
    ) -> Result<(), CallError> {
        let owner = owner.to_owned();
        self.call(to, |reply| Command::HoldBills(to, owner, bills, reply))
            .await
    }

    /// Has a peer drop copies of bills that stand on the log.
    pub async fn release_bills(
        &self,
        to: SocketAddr,
        owner: &str,
        request_ids: Vec<String>,
    ) -> Result<(), CallError> {
        let owner = owner.to_owned();
        self.call(to, |reply| {
            Command::ReleaseBills(to, owner, request_ids, reply)
        })
        .await
    }

    /// Offers an attempt to an agent.
    pub async fn dispatch(
        &self,
        to: SocketAddr,
        dispatch: Dispatch,
    ) -> Result<(Verdict, FrameReceiver), CallError> {
        let (frames, receiver) = mpsc::channel(FRAMES_WAITING);
        let dispatch = Box::new(dispatch);
        let verdict = self
            .call(to, |reply| Command::Dispatch(to, dispatch, frames, reply))
            .await?;
        Ok((verdict, receiver))
    }

    /// Stops an attempt.
    pub async fn cancel(
        &self,
        to: SocketAddr,
        id: AttemptId,
    ) -> Result<AttemptState, CallError> {
        self.call(to, |reply| Command::Cancel(to, id, reply)).await
    }

    /// Asks for an attempt's state; see [`crate::AgentHandler::query`].
    pub async fn query(
        &self,
        to: SocketAddr,
        id: AttemptId,
        tombstone: bool,
    ) -> Result<AttemptState, CallError> {
        self.call(to, |reply| Command::Query(to, id, tombstone, reply))
            .await
    }

    /// Tells an agent that requests' bills are answered for elsewhere.
    pub async fn settle(
        &self,
        to: SocketAddr,
        request_ids: Vec<String>,
    ) -> Result<(), CallError> {
        self.call(to, |reply| Command::Settle(to, request_ids, reply))
            .await
    }

    /// Ends the connection to a process that is gone.
    pub fn drop_connection(&self, to: SocketAddr) {
        let _ = self.commands.send(Command::Drop(to));
    }
}

struct Connection {
    client: wire_capnp::agent::Client,
    task: AbortHandle,
    serial: u64,
}

/// The connections, shared by the tasks of the thread.
struct Connections {
    open: RefCell<HashMap<SocketAddr, Connection>>,
    opening: RefCell<HashMap<SocketAddr, Rc<tokio::sync::Mutex<()>>>>,
    serials: RefCell<u64>,
    silence: Duration,
}

async fn run(mut queue: mpsc::UnboundedReceiver<Command>, silence_ms: u64) {
    let connections = Rc::new(Connections {
        open: RefCell::default(),
        opening: RefCell::default(),
        serials: RefCell::new(0),
        silence: Duration::from_millis(silence_ms),
    });
    while let Some(command) = queue.recv().await {
        tokio::task::spawn_local(serve(connections.clone(), command));
    }
}

async fn serve(connections: Rc<Connections>, command: Command) {
    match command {
        Command::Hello(to, from, reply) => {
            let result = connections
                .call(to, |agent| async move {
                    let mut request = as_peer(agent).hello_request();
                    convert::write_hello(&from, request.get().init_from());
                    let answer = request.send().promise.await?;
                    convert::read_hello(answer.get()?.get_reply()?)
                })
                .await;
            let _ = reply.send(result);
        }
        Command::FetchConfig(to, have, reply) => {
            let result = connections
                .call(to, |agent| async move {
                    let mut request = as_peer(agent).fetch_config_request();
                    request.get().set_have(have);
                    let answer = request.send().promise.await?;
                    let answer = answer.get()?;
                    let body = answer.get_body()?.to_string()?;
                    Ok((!body.is_empty()).then_some((answer.get_offset(), body)))
                })
                .await;
            let _ = reply.send(result);
        }
        Command::HoldBills(to, owner, bills, reply) => {
            let result = connections
                .call(to, |agent| async move {
                    let mut request = as_peer(agent).hold_bills_request();
                    request.get().set_owner(&owner);
                    request.get().set_bills(&bills);
                    request.send().promise.await.map(|_| ())
                })
                .await;
            let _ = reply.send(result);
        }
        Command::ReleaseBills(to, owner, request_ids, reply) => {
            let result = connections
                .call(to, |agent| async move {
                    let mut request = as_peer(agent).release_bills_request();
                    request.get().set_owner(&owner);
                    let ids = request.get().init_ids(request_ids.len() as u32);
                    write_texts(ids, &request_ids);
                    request.send().promise.await.map(|_| ())
                })
                .await;
            let _ = reply.send(result);
        }
        Command::Dispatch(to, dispatch, frames, reply) => {
            let result = connections
                .call(to, |agent| async move {
                    let sink = Sink { frames };
                    let mut request = agent.dispatch_request();
                    convert::write_dispatch(&dispatch, request.get().init_request());
                    request.get().set_sink(capnp_rpc::new_client(sink));
                    let answer = request.send().promise.await?;
                    convert::read_verdict(answer.get()?.get_verdict()?)
                })
                .await;
            let _ = reply.send(result);
        }
        Command::Cancel(to, id, reply) => {
            let result = connections
                .call(to, |agent| async move {
                    let mut request = agent.cancel_request();
                    request.get().set_request_id(&id.request_id);
                    request.get().set_attempt(id.attempt);
                    let answer = request.send().promise.await?;
                    convert::read_state(answer.get()?.get_state()?)
                })
                .await;
            let _ = reply.send(result);
        }
        Command::Query(to, id, tombstone, reply) => {
            let result = connections
                .call(to, |agent| async move {
                    let mut request = agent.query_request();
                    request.get().set_request_id(&id.request_id);
                    request.get().set_attempt(id.attempt);
                    request.get().set_tombstone(tombstone);
                    let answer = request.send().promise.await?;
                    convert::read_state(answer.get()?.get_state()?)
                })
                .await;
            let _ = reply.send(result);
        }
        Command::Settle(to, request_ids, reply) => {
            let result = connections
                .call(to, |agent| async move {
                    let mut request = agent.settle_request();
                    let ids = request.get().init_request_ids(request_ids.len() as u32);
                    write_texts(ids, &request_ids);
                    request.send().promise.await.map(|_| ())
                })
                .await;
            let _ = reply.send(result);
        }
        Command::Drop(to) => connections.close(to, None),
    }
}

fn as_peer(agent: wire_capnp::agent::Client) -> wire_capnp::peer::Client {
    wire_capnp::peer::Client {
        client: agent.client,
    }
}

fn write_texts(mut to: capnp::text_list::Builder<'_>, from: &[String]) {
    for (at, text) in from.iter().enumerate() {
        to.set(at as u32, text);
    }
}

impl Connections {
    /// Makes one call.  Silence ends the connection it was made on, and only
    /// that one: another task may have opened a new one meanwhile.
    async fn call<T, C, F>(&self, to: SocketAddr, call: C) -> Result<T, CallError>
    where
        C: FnOnce(wire_capnp::agent::Client) -> F,
        F: Future<Output = Result<T, Error>>,
    {
        let (client, serial) = self.connect(to).await?;
        match timeout(self.silence, call(client)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(err)) if err.kind == capnp::ErrorKind::Overloaded => {
                Err(CallError::Refused(to, err.extra))
            }
            Ok(Err(err)) if err.kind == capnp::ErrorKind::Unimplemented => {
                Err(CallError::Refused(to, err.extra))
            }
            Ok(Err(_)) => {
                self.close(to, Some(serial));
                Err(CallError::Disconnected(to))
            }
            Err(_) => {
                self.close(to, Some(serial));
                Err(CallError::TimedOut(to))
            }
        }
    }

    async fn connect(
        &self,
        to: SocketAddr,
    ) -> Result<(wire_capnp::agent::Client, u64), CallError> {
        if let Some(found) = self.find(to) {
            return Ok(found);
        }
        let opening = self.opening.borrow_mut().entry(to).or_default().clone();
        let _guard = opening.lock().await;
        if let Some(found) = self.find(to) {
            return Ok(found);
        }
        let stream = match timeout(self.silence, TcpStream::connect(to)).await {
            Ok(Ok(stream)) => stream,
            _ => return Err(CallError::Connect(to)),
        };
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.compat().split();
        let network = VatNetwork::new(reader, writer, Side::Client, Default::default());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: wire_capnp::agent::Client = system.bootstrap(Side::Server);
        let task = tokio::task::spawn_local(system).abort_handle();
        let serial = {
            let mut serials = self.serials.borrow_mut();
            *serials += 1;
            *serials
        };
        let connection = Connection {
            client: client.clone(),
            task,
            serial,
        };
        self.open.borrow_mut().insert(to, connection);
        Ok((client, serial))
    }

    fn find(&self, to: SocketAddr) -> Option<(wire_capnp::agent::Client, u64)> {
        let open = self.open.borrow();
        let connection = open.get(&to)?;
        if connection.task.is_finished() {
            return None;
        }
        Some((connection.client.clone(), connection.serial))
    }

    /// Ends a connection, unless it was replaced by another since.
    fn close(&self, to: SocketAddr, serial: Option<u64>) {
        let mut open = self.open.borrow_mut();
        let same = open
            .get(&to)
            .is_some_and(|connection| serial.is_none_or(|s| s == connection.serial));
        if same && let Some(connection) = open.remove(&to) {
            connection.task.abort();
        }
    }
}

/// Takes the frames of one attempt; dropped with its connection, which ends
/// the receiver's stream.
struct Sink {
    frames: mpsc::Sender<Frame>,
}

impl wire_capnp::sink::Server for Sink {
    async fn push(
        self: Rc<Self>,
        params: wire_capnp::sink::PushParams,
        _results: wire_capnp::sink::PushResults,
    ) -> Result<(), Error> {
        let frame = convert::read_frame(params.get()?.get_frame()?)?;
        let sent = self.frames.send(frame).await;
        sent.map_err(|_| Error::disconnected("the request was given up".into()))
    }
}
