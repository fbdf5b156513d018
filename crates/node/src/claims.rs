//! The claim log: batches events into appends and follows the streams.
//!
//! An event takes effect for its submitter only after it was read back from the
//! stream, since the order of the records decides which claim is granted.

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

/// Delay after a failed append, ms.
const RETRY_DELAY_MS: u64 = 100;

/// Interval at which keys older than the claim window are removed, ms.
const EXPIRY_INTERVAL_MS: u64 = 60_000;

/// Error of [`ClaimLog::submit`].
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ClaimError {
    /// the log did not confirm the claim in time, so its outcome is unknown; query the key before retrying
    Unconfirmed,
    /// the claim was not sent to the log in time and was dropped; retry the request
    NotSent,
    /// this process has not read all claims yet; retry shortly
    NotCaughtUp,
    /// the log holds claims in a newer format; upgrade this instance
    UnsupportedFormat,
}

impl std::error::Error for ClaimError {}

/// An event that waits to be appended.
#[derive(Debug)]
struct PendingEvent {
    serial: u64,
    event: ClaimEvent,
    /// Notified when the event was read from the stream.
    applied: oneshot::Sender<()>,
}

/// Local state of one claim stream.
#[derive(Debug, Default)]
struct Partition {
    claims: Mutex<Claims>,
    offset: watch::Sender<u64>,
    /// Time at which a read last reached the end of the stream, ms; 0 if none
    /// did yet.
    caught_up_at_ms: AtomicU64,
    pending: Mutex<Vec<PendingEvent>>,
    next_serial: AtomicU64,
    wake: Notify,
}

impl Partition {
    /// Queues an event and returns its serial number and a receiver that is
    /// notified when the event was read from the stream.
    fn enqueue(&self, event: ClaimEvent) -> (u64, oneshot::Receiver<()>) {
        let serial = self.next_serial.fetch_add(1, Ordering::Relaxed);
        let (applied, on_applied) = oneshot::channel();
        lock(&self.pending).push(PendingEvent {
            serial,
            event,
            applied,
        });
        self.wake.notify_one();
        (serial, on_applied)
    }

    /// Removes an event from the queue; returns `false` if it was sent already.
    fn remove_pending(&self, serial: u64) -> bool {
        let mut pending = lock(&self.pending);
        let before = pending.len();
        pending.retain(|pending_event| pending_event.serial != serial);
        pending.len() < before
    }
}

/// All partitions of the claim log, as far as this process has read them.
#[derive(Debug)]
pub struct ClaimLog {
    partitions: Vec<Arc<Partition>>,
}

impl ClaimLog {
    /// Creates the state of `partitions` streams, none of which was read yet.
    pub(crate) fn new(partitions: u32) -> Self {
        let partitions = (0..partitions.max(1)).map(|_| Arc::default()).collect();
        ClaimLog { partitions }
    }

    fn partition(&self, team: &str, key: &str) -> &Arc<Partition> {
        let index = claim::partition(team, key, self.partitions.len() as u32);
        &self.partitions[index as usize]
    }

    /// State of a key, as far as this process has read.
    pub fn state(&self, team: &str, key: &str) -> KeyState {
        lock(&self.partition(team, key).claims).state(team, key)
    }

    /// Status of an attempt's claim, as far as this process has read.
    pub fn claim_status(&self, team: &str, key: &str, claim_id: &str) -> ClaimStatus {
        lock(&self.partition(team, key).claims).claim_status(team, key, claim_id)
    }

    /// Version that a session is bound to for `model`.
    pub fn binding(&self, team: &str, session: &str, model: &str) -> Option<String> {
        let claims = lock(&self.partition(team, session).claims);
        claims.binding(team, session, model).map(str::to_owned)
    }

    /// Whether the partition of a key was read to its end at least once.
    pub fn is_caught_up(&self, team: &str, key: &str) -> bool {
        self.partition(team, key)
            .caught_up_at_ms
            .load(Ordering::Relaxed)
            > 0
    }

    /// Appends an event to the log and waits until it was read back.
    ///
    /// An append without a response is retried, which is safe because events are
    /// idempotent.  After `wait_ms`, an event that was sent may still take
    /// effect; one that was not sent is removed from the queue, so that the
    /// queue does not grow during a long outage.
    ///
    /// # Errors
    ///
    /// See [`ClaimError`]; only [`ClaimError::Unconfirmed`] leaves the outcome
    /// open.
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
        if partition.caught_up_at_ms.load(Ordering::Relaxed) == 0 {
            return Err(ClaimError::NotCaughtUp);
        }
        let (serial, on_applied) = partition.enqueue(event);
        let limit = Duration::from_millis(wait_ms);
        match tokio::time::timeout(limit, on_applied).await {
            Ok(Ok(())) => Ok(()),
            _ if partition.remove_pending(serial) => Err(ClaimError::NotSent),
            _ => Err(ClaimError::Unconfirmed),
        }
    }

    /// Queues an event for the log without waiting for it.  The append is retried
    /// until the log accepts it; the event is lost if this process ends first.
    pub fn post(&self, team: &str, key: &str, event: ClaimEvent) {
        self.partition(team, key).enqueue(event);
    }

    /// Number of keys in all partitions.
    pub fn len(&self) -> usize {
        self.partitions
            .iter()
            .map(|partition| lock(&partition.claims).len())
            .sum()
    }

    /// Whether no partition has a key.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of events that wait to be appended.
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

/// Spawns the tasks that follow and append to the partitions.
pub(crate) fn spawn(node: &Arc<Node>) {
    for (index, partition) in node.claims.partitions.iter().enumerate() {
        let stream = claim_stream(index as u32);
        tokio::spawn(follow_partition(
            node.clone(),
            partition.clone(),
            stream.clone(),
        ));
        tokio::spawn(append_batches(node.clone(), partition.clone(), stream));
    }
}

/// Applies the records of a stream and removes expired keys.
async fn follow_partition(node: Arc<Node>, partition: Arc<Partition>, stream: String) {
    let wait_ms = node.settings.store.poll_wait_ms;
    let window_ms = node.settings.store.claim_window_ms;
    let mut expired_at = Millis::default();
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
            partition.caught_up_at_ms.store(now.0, Ordering::Relaxed);
            if now.since(expired_at) > EXPIRY_INTERVAL_MS {
                expired_at = now;
                let before_ms = node.clock.wall().minus(window_ms).0;
                lock(&partition.claims).expire(before_ms);
            }
        },
    )
    .await;
}

/// Appends queued events in batches, one record per batch.
async fn append_batches(node: Arc<Node>, partition: Arc<Partition>, stream: String) {
    let batch_delay = Duration::from_millis(node.settings.store.append_interval_ms);
    loop {
        partition.wake.notified().await;
        tokio::time::sleep(batch_delay).await;
        let batch: Vec<PendingEvent> = std::mem::take(&mut *lock(&partition.pending));
        if batch.is_empty() {
            continue;
        }
        let events = batch
            .iter()
            .map(|pending_event| pending_event.event.clone())
            .collect();
        let record = ClaimRecord::new(node.clock.wall().0, events).encode();
        let offset = append_with_retry(&node.store, &stream, &record).await;
        let mut watch = partition.offset.subscribe();
        let partition = partition.clone();
        // Reading may lag behind; the next batch is appended meanwhile.
        tokio::spawn(async move {
            let _ = watch.wait_for(|next| *next > offset).await;
            drop(partition);
            for pending_event in batch {
                let _ = pending_event.applied.send(());
            }
        });
    }
}

/// Appends a record, retrying until the log accepts it; returns its offset.
async fn append_with_retry(store: &Store, stream: &str, record: &str) -> u64 {
    loop {
        match store.append(stream, record).await {
            Ok(offset) => return offset,
            Err(err) => {
                debug!("event=claim_append_failed stream={stream} why=\"{err}\"");
                let unexpected = matches!(err, StoreError::Unexpected(_));
                let delay_ms = if unexpected {
                    RETRY_DELAY_MS * 10
                } else {
                    RETRY_DELAY_MS
                };
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            }
        }
    }
}
