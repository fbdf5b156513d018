//! RPC server for other entries and agents.

use std::{rc::Rc, sync::Arc, thread};

use ingress::Connections;
use tokio::{net::TcpListener, task::LocalSet};
use wire::{Hello, PeerHandler};

use crate::Entry;

struct Handler(Arc<Entry>);

impl PeerHandler for Handler {
    async fn hello(&self, from: Hello) -> Hello {
        if from.draining {
            self.0.runners().mark_instance_draining(&from.instance);
        }
        self.0.node.handle_hello(&from, None).await;
        self.0.node.hello()
    }

    async fn fetch_config(&self, have: u64) -> Option<(u64, String)> {
        self.0.node.config_since(have)
    }

    async fn hold_bills(&self, owner: String, bills: String) -> Result<(), String> {
        self.0.node.hold_bill_copies(&owner, &bills)
    }

    async fn release_bills(&self, _owner: String, request_ids: Vec<String>) {
        self.0
            .node
            .bills()
            .release(request_ids.iter().map(String::as_str));
    }
}

/// Serves RPC on a dedicated thread, because the RPC library's objects are
/// bound to the thread that created them.
pub(crate) fn spawn(entry: Arc<Entry>, listener: TcpListener) {
    let listener = listener
        .into_std()
        .expect("failed to detach the RPC listener from its runtime");
    let serve = move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("failed to build the RPC runtime");
        let serving = async move {
            let listener = TcpListener::from_std(listener)
                .expect("failed to register the RPC listener with its runtime");
            let open_max = entry.shares.peer_connections();
            let connections = Connections::new(open_max, entry.node.clock.clone());
            wire::serve_peer(listener, Rc::new(Handler(entry)), connections).await;
        };
        LocalSet::new().block_on(&runtime, serving);
    };
    thread::Builder::new()
        .name("wire-peers".into())
        .spawn(serve)
        .expect("failed to start the RPC thread");
}
