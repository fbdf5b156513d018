//! Tells tasks that what they hold was taken from them.

use std::{collections::HashMap, hash::Hash, sync::Arc};

use tokio::sync::Notify;

/// The holders of bodies or connections, each of which waits to be told to give way.
#[derive(Debug)]
pub(crate) struct Evictions<I> {
    holders: HashMap<I, Arc<Notify>>,
}

impl<I> Default for Evictions<I> {
    fn default() -> Self {
        Evictions {
            holders: HashMap::new(),
        }
    }
}

impl<I> Evictions<I>
where
    I: Copy + Eq + Hash,
{
    /// Adds a holder; the result is notified once if it has to give way.
    pub fn add(&mut self, id: I) -> Arc<Notify> {
        let eviction = Arc::new(Notify::new());
        self.holders.insert(id, eviction.clone());
        eviction
    }

    /// Notifies holders that have to give way.
    pub fn evict(&mut self, ids: &[I]) {
        for id in ids {
            if let Some(eviction) = self.holders.remove(id) {
                eviction.notify_one();
            }
        }
    }

    /// Removes a holder that has ended.
    pub fn remove(&mut self, id: I) {
        self.holders.remove(&id);
    }
}
