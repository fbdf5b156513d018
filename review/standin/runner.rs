//! A stand-in for a runner of a service.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{read_request, write_answer, Request};
use crate::record::Record;
use crate::store::Store;

/// Interval of the entries in the store.
const BEAT: Duration = Duration::from_millis(1200);

/// What a runner says of itself.
#[derive(Clone)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
}

/// Answers a request that the runner runs; returns whether the connection stays open.
pub type Work =
    dyn Fn(&Identity, &Request, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// A runner that runs in this process.
pub struct Runner {
    pub identity: Identity,
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    runs: Arc<Mutex<HashMap<String, u32>>>,
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

impl Runner {
    pub fn start(
        store: &Store,
        identity: Identity,
        record: &Record,
        work: Arc<Work>,
    ) -> io::Result<Runner> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runner = Runner {
            identity: identity.clone(),
            address: listener.local_addr()?,
            stopped: Arc::default(),
            runs: Arc::default(),
        };
        let (runs, record, own) =
            (runner.runs.clone(), record.clone(), identity.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (runs, record) = (runs.clone(), record.clone());
                let (own, work) = (own.clone(), work.clone());
                std::thread::spawn(move || {
                    let _ = serve(&own, stream, &runs, &record, &*work);
                });
            }
        });
        runner.announce(store);
        Ok(runner)
    }

    /// Returns how often a request ran here.
    pub fn runs_of(&self, id: &str) -> u32 {
        self.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    /// Writes the entry in the store now and at each beat.
    fn announce(&self, store: &Store) {
        let (store, own, address) =
            (store.clone(), self.identity.clone(), self.address);
        let stopped = self.stopped.clone();
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        std::thread::spawn(move || {
            for sequence in 1.. {
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                let entry = format!(
                    r#"{{"service":"{}","addr":"{address}","zone":"{}","version":"{}","slots":64,"state":"ready","cold_left_ms":0,"seq":{sequence},"born":{born}}}"#,
                    own.service, own.zone, own.version
                );
                store.put("keyed.servers", &own.id, &entry);
                std::thread::sleep(BEAT);
            }
        });
    }
}

fn serve(
    own: &Identity,
    mut stream: TcpStream,
    runs: &Mutex<HashMap<String, u32>>,
    record: &Record,
    work: &Work,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer)? {
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        if request
            .header("x-target-instance")
            .is_some_and(|target| target != own.id)
        {
            let headers =
                format!("X-Request-Id: {id}\r\nX-Instance-Id: {}\r\n", own.id);
            write_answer(&mut stream, "421 Misdirected Request", &headers, b"")?;
            continue;
        }
        *runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        let last = request.header("last-event-id").unwrap_or("-");
        let tenant = request.header("x-tenant").unwrap_or("-");
        record.line(format!(
            "run       {id} at {} {} {} tenant={tenant} last_event={last}",
            own.id, request.method, request.path
        ));
        if !work(own, &request, &mut stream)? {
            return Ok(());
        }
    }
    Ok(())
}
