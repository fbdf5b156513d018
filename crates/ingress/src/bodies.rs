//! Reads bodies within what the process may hold.

use std::{
    ops::Deref,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use clock::{Clock, Millis, SystemClock};
use displaydoc::Display;
use http_body::Body;
use http_body_util::BodyExt;
use tokio::sync::Notify;

use crate::{
    BodyAccount, BodyError, BodyId, BodyStart,
    body::{BodyBuffer, declared_len},
    evictions::Evictions,
};

/// Why a body is not held.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ReadError {
    /// {0}
    Body(BodyError),
    /// the bodies of other requests leave no room; send the request again later
    NoRoom,
    /// the body arrived too slowly while other requests needed the room; send it again later
    GaveWay,
    /// the deadline passed before the end of the body; send the request again with more time
    TooSlow,
}

impl std::error::Error for ReadError {}

/// The bodies that a process holds; clones share them.
#[derive(Clone, Debug)]
pub struct Bodies {
    shared: Arc<Mutex<Shared>>,
    clock: SystemClock,
}

#[derive(Debug)]
struct Shared {
    account: BodyAccount,
    evictions: Evictions<BodyId>,
}

impl Bodies {
    /// Creates an account of `bound_bytes` for all bodies together; `clock` tells how long
    /// they take.
    pub fn new(bound_bytes: u64, clock: SystemClock) -> Self {
        let shared = Shared {
            account: BodyAccount::new(bound_bytes),
            evictions: Evictions::default(),
        };
        Bodies {
            shared: Arc::new(Mutex::new(shared)),
            clock,
        }
    }

    /// Returns the bytes that all bodies hold.
    pub fn held_bytes(&self) -> u64 {
        self.lock().account.held_bytes()
    }

    /// Returns the bytes that all bodies may hold together.
    pub fn bound_bytes(&self) -> u64 {
        self.lock().account.bound_bytes()
    }

    /// Reads a body of at most `max_bytes` until `deadline`.
    ///
    /// # Errors
    ///
    /// [`ReadError`]; the body may then have been read in part.
    pub async fn read<B>(
        &self,
        body: &mut B,
        max_bytes: usize,
        deadline: Millis,
    ) -> Result<HeldBody, ReadError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let declared = declared_len(body, max_bytes).map_err(ReadError::Body)?;
        if body.is_end_stream() {
            return Ok(HeldBody::default());
        }
        let started = self.clock.now();
        let reservation = self.open(BodyStart {
            started,
            deadline,
            declared_bytes: declared.map(|len| len as u64),
            max_bytes: max_bytes as u64,
        });
        let evicted = reservation.eviction.clone();
        let reading = reservation.fill(body, BodyBuffer::new(declared, max_bytes));
        let limit = Duration::from_millis(deadline.since(started));
        tokio::select! {
            read = tokio::time::timeout(limit, reading) => {
                read.unwrap_or(Err(ReadError::TooSlow))
            }
            () = evicted.notified() => Err(ReadError::GaveWay),
        }
    }

    fn open(&self, start: BodyStart) -> Reservation {
        let mut shared = self.lock();
        let id = shared.account.open(start);
        let eviction = shared.evictions.add(id);
        Reservation {
            bodies: self.clone(),
            id,
            eviction,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A body's part of the account, which is given back when it is dropped.
#[derive(Debug)]
struct Reservation {
    bodies: Bodies,
    id: BodyId,
    eviction: Arc<Notify>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut shared = self.bodies.lock();
        shared.account.close(self.id);
        shared.evictions.remove(self.id);
    }
}

impl Reservation {
    /// Reads the body into `buffer`, which grows only by what is reserved before.
    async fn fill<B>(
        self,
        body: &mut B,
        mut buffer: BodyBuffer,
    ) -> Result<HeldBody, ReadError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        self.reserve(buffer.first_capacity())?;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadError::Body(BodyError::Broken))?;
            let Ok(piece) = frame.into_data() else {
                continue;
            };
            let capacity = buffer.capacity_with(&piece).map_err(ReadError::Body)?;
            if let Some(capacity) = capacity {
                self.reserve(capacity)?;
            }
            buffer.push(&piece, capacity);
            self.received(piece.len());
        }
        // It may have had to give way just before its end arrived.
        if !self.bodies.lock().account.complete(self.id) {
            return Err(ReadError::GaveWay);
        }
        Ok(HeldBody {
            bytes: buffer.into_bytes(),
            _reservation: Some(self),
        })
    }

    fn reserve(&self, capacity: usize) -> Result<(), ReadError> {
        let now = self.bodies.clock.now();
        let mut shared = self.bodies.lock();
        let reserved = shared.account.reserve(self.id, capacity as u64, now);
        let victims = reserved.map_err(|_| ReadError::NoRoom)?;
        shared.evictions.evict(&victims);
        Ok(())
    }

    fn received(&self, bytes: usize) {
        let now = self.bodies.clock.now();
        let mut shared = self.bodies.lock();
        shared.account.received(self.id, bytes as u64, now);
    }
}

/// The whole body of a request; its part of the account is given back when it is dropped.
#[derive(Debug, Default)]
pub struct HeldBody {
    bytes: Bytes,
    /// `None` for an empty body.
    _reservation: Option<Reservation>,
}

impl Deref for HeldBody {
    type Target = Bytes;

    fn deref(&self) -> &Bytes {
        &self.bytes
    }
}
