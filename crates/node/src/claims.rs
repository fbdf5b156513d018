//! Claims: gathered into appends, followed, and read back.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use claim::{ClaimEvent, ClaimRecord, ClaimStatus, Claims, KeyState};
use clock::{Clock, Millis};
use displaydoc::Display;
use log::debug;
use store::{Store, StoreError, claim_stream};
use tokio::sync::{Notify, oneshot, watch};

use crate::Node;

/// Wait after a failed append, ms.
const RETRY_MS: u64 = 100;

/// Time between two sweeps of keys beyond the window, ms.
const SWEEP_MS: u64 = 60_000;

/// Why an event could not be put on the log and read back.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ClaimError {
    /// the log did not take the claim in time; whether it stands is not known yet
    Unconfirmed,
    /// the log did not take the claim in time; it was not sent and will not be
    NotSent,
    /// this process has not read all claims yet; come back shortly
    NotCaughtUp,
    /// the log holds claims of a newer build; upgrade this instance
    UnsupportedFormat,
}

impl std::error::Error for ClaimError {}

/// An event that waits for the log, and who waits for it.
#[derive(Debug)]
struct Pending {
    serial: u64,
    event: ClaimEvent,
    done: oneshot::Sender<()>,
}

#[derive(Debug, Default)]
struct Partition {
    claims: Mutex<Claims>,
    offset: watch::Sender<u64>,
    /// When a read last reached the end of the stream; 0 never.
    read_to_end_ms: AtomicU64,
    pending: Mutex<Vec<Pending>>,
    serials: AtomicU64,
    wake: Notify,
}

impl Partition {
    /// Queues an event; returns its serial and what tells that it was read
    /// back.
    fn push(&self, event: ClaimEvent) -> (u64, oneshot::Receiver<()>) {
        let serial = self.serials.fetch_add(1, Ordering::Relaxed);
        let (done, read_back) = oneshot::channel();
        lock(&self.pending).push(Pending {
            serial,
            event,
            done,
        });
        self.wake.notify_one();
        (serial, read_back)
    }

    /// Takes an event back that was not sent yet.
    fn take_back(&self, serial: u64) -> bool {
        let mut pending = lock(&self.pending);
        let before = pending.len();
        pending.retain(|waiting| waiting.serial != serial);
        pending.len() < before
    }
}

/// All partitions of claims, as this process knows them.
#[derive(Debug)]
pub struct ClaimLog {
    partitions: Vec<Arc<Partition>>,
}

impl ClaimLog {
    /// An empty book of `partitions` streams.
    pub(crate) fn new(partitions: u32) -> Self {
        let partitions = (0..partitions.max(1)).map(|_| Arc::default()).collect();
        ClaimLog { partitions }
    }

    fn partition(&self, team: &str, key: &str) -> &Arc<Partition> {
        let at = claim::partition(team, key, self.partitions.len() as u32);
        &self.partitions[at as usize]
    }

    /// Where a key stands, as far as this process has read.
    pub fn state(&self, team: &str, key: &str) -> KeyState {
        lock(&self.partition(team, key).claims).state(team, key)
    }

    /// Where an attempt's claim stands, as far as this process has read.
    pub fn claim_status(&self, team: &str, key: &str, claim_id: &str) -> ClaimStatus {
        lock(&self.partition(team, key).claims).claim_status(team, key, claim_id)
    }

    /// Version that a session is bound to.
    pub fn binding(&self, team: &str, session: &str, model: &str) -> Option<String> {
        let claims = lock(&self.partition(team, session).claims);
        claims.binding(team, session, model).map(str::to_owned)
    }

    /// Whether a key's partition was read to its end at all.
    pub fn is_read(&self, team: &str, key: &str) -> bool {
        self.partition(team, key)
            .read_to_end_ms
            .load(Ordering::Relaxed)
            > 0
    }

    /// Puts an event on the log and waits until it was read back.
    ///
    /// An append without an answer is repeated: each event has the same
    /// effect twice as once.  After `wait_ms` an event that was sent may still
    /// come to stand; one that was not is taken back, so that a long outage
    /// leaves nothing behind.
    pub async fn submit(
        &self,
        team: &str,
        key: &str,
        event: ClaimEvent,
        wait_ms: u64,
    ) -> Result<(), ClaimError> {
        let partition = self.partition(team, key);
        if lock(&partition.claims).blocked_at.is_some() {
            return Err(ClaimError::UnsupportedFormat);
        }
        if partition.read_to_end_ms.load(Ordering::Relaxed) == 0 {
            return Err(ClaimError::NotCaughtUp);
        }
        let (serial, read_back) = partition.push(event);
        let limit = Duration::from_millis(wait_ms);
        match tokio::time::timeout(limit, read_back).await {
            Ok(Ok(())) => Ok(()),
            _ if partition.take_back(serial) => Err(ClaimError::NotSent),
            _ => Err(ClaimError::Unconfirmed),
        }
    }

    /// Puts an event on the log when it can; nobody waits for it.
    pub fn post(&self, team: &str, key: &str, event: ClaimEvent) {
        self.partition(team, key).push(event);
    }

    /// Keys that this process remembers.
    pub fn len(&self) -> usize {
        self.partitions
            .iter()
            .map(|partition| lock(&partition.claims).len())
            .sum()
    }

    /// Whether it remembers none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Events that wait for the log.
    pub fn pending(&self) -> usize {
        self.partitions
            .iter()
            .map(|partition| lock(&partition.pending).len())
            .sum()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts the followers and appenders of all partitions.
pub(crate) fn spawn(node: &Arc<Node>) {
    for (at, partition) in node.claims.partitions.iter().enumerate() {
        let stream = claim_stream(at as u32);
        tokio::spawn(read(node.clone(), partition.clone(), stream.clone()));
        tokio::spawn(append(node.clone(), partition.clone(), stream));
    }
}

async fn read(node: Arc<Node>, partition: Arc<Partition>, stream: String) {
    let wait_ms = node.settings.store.poll_wait_ms;
    let window_ms = node.settings.store.claim_window_ms;
    let mut swept_at = Millis::default();
    store::follow(
        node.store.clone(),
        stream,
        0,
        wait_ms,
        |record| {
            let mut claims = lock(&partition.claims);
            claims.apply(record.offset, &record.body);
            let next = claims.offset;
            drop(claims);
            partition.offset.send_replace(next);
        },
        || {
            let now = node.now();
            partition.read_to_end_ms.store(now.0, Ordering::Relaxed);
            if now.since(swept_at) > SWEEP_MS {
                swept_at = now;
                let before_ms = node.clock.wall().minus(window_ms).0;
                lock(&partition.claims).expire(before_ms);
            }
        },
    )
    .await;
}

async fn append(node: Arc<Node>, partition: Arc<Partition>, stream: String) {
    let gather = Duration::from_millis(node.settings.store.append_interval_ms);
    loop {
        partition.wake.notified().await;
        tokio::time::sleep(gather).await;
        let batch: Vec<Pending> = std::mem::take(&mut *lock(&partition.pending));
        if batch.is_empty() {
            continue;
        }
        let events = batch.iter().map(|waiting| waiting.event.clone()).collect();
        let record = ClaimRecord::new(node.clock.wall().0, events).encode();
        let offset = append_until_taken(&node.store, &stream, &record).await;
        let mut watch = partition.offset.subscribe();
        let partition = partition.clone();
        // Reading back may lag; the next batch need not wait for it.
        tokio::spawn(async move {
            let _ = watch.wait_for(|next| *next > offset).await;
            drop(partition);
            for waiting in batch {
                let _ = waiting.done.send(());
            }
        });
    }
}

async fn append_until_taken(store: &Store, stream: &str, record: &str) -> u64 {
    loop {
        match store.append(stream, record).await {
            Ok(offset) => return offset,
            Err(err) => {
                debug!("event=claim_append_failed stream={stream} why=\"{err}\"");
                let unexpected = matches!(err, StoreError::Unexpected(_));
                let pause_ms = if unexpected { RETRY_MS * 10 } else { RETRY_MS };
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }
}
