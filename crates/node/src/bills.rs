//! Buffers bills and appends them to the log.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bill::{Bill, BillRecord};
use log::{debug, warn};
use store::BILL_STREAM;

use crate::Node;

/// Maximum number of bills per append.
const BATCH_BILLS: usize = 500;

/// Delay after a failed append, ms.
const RETRY_DELAY_MS: u64 = 250;

impl Node {
    /// Buffers a bill in this process, its owner, and sends a copy to a process
    /// in another failure domain if there is one.
    ///
    /// Called before the end of the response is sent, so that the bill survives
    /// the loss of this process or of its failure domain.
    ///
    /// `agents` hold copies already; they and the additional holder are told to
    /// release them once the bill is in the log.  `has_remote_copy` states that
    /// the last agent is in another failure domain, so no further copy is
    /// needed.
    pub async fn hold_bill(
        &self,
        bill: Bill,
        agents: &[SocketAddr],
        has_remote_copy: bool,
    ) {
        let request_id = bill.request_id.clone();
        let mut holders = agents.to_vec();
        if !has_remote_copy {
            holders.extend(self.hold_in_other_domain(&bill).await);
        }
        // Recorded before the bill is buffered, because another task may append
        // a buffered bill immediately.
        self.peers().bill_holders_mut().insert(request_id, holders);
        self.bills().hold(bill, self.now(), "");
    }

    /// Sends a copy of a bill to a process in another failure domain and
    /// returns the address of that process.
    async fn hold_in_other_domain(&self, bill: &Bill) -> Option<SocketAddr> {
        let now = self.now();
        let silence_ms = self.settings.entry.silence_ms;
        let failure_domain = &self.settings.process.failure_domain;
        let seed = rand::random();
        let holder =
            self.peers()
                .pick_bill_holder(failure_domain, now, silence_ms, seed)?;
        let text = serde_json::to_string(&[bill]).expect("a bill always encodes");
        match self.hub.hold_bills(holder, &self.instance, text).await {
            Ok(()) => Some(holder),
            Err(err) => {
                warn!(
                    "event=bill_held_once request={} why=\"{err}\"",
                    bill.request_id
                );
                None
            }
        }
    }

    /// Buffers copies of bills that another instance owns.
    ///
    /// `bills` is a JSON array of bills.  A copy becomes due after
    /// `entry.bill_handover_ms` and is postponed for as long as its owner is
    /// alive.
    ///
    /// # Errors
    ///
    /// Returns a message if `bills` is malformed or the buffer is full.
    pub fn hold_bill_copies(&self, owner: &str, bills: &str) -> Result<(), String> {
        let bills: Vec<Bill> = serde_json::from_str(bills)
            .map_err(|err| format!("not a list of bills: {err}"))?;
        let due = self.now().plus(self.settings.entry.bill_handover_ms);
        let mut buffer = self.bills();
        for bill in bills {
            buffer.reserve().map_err(|err| err.to_string())?;
            buffer.unreserve();
            buffer.hold(bill, due, owner);
        }
        Ok(())
    }

    /// Postpones the append of copies whose owners are alive: a live owner
    /// appends its bill itself, or settles a request that ended without a bill.
    fn postpone_copies(&self) {
        let now = self.now();
        let silence_ms = self.settings.entry.silence_ms;
        let live_instances = self.peers().live_instances(now, silence_ms);
        let delay_ms = self.settings.entry.bill_handover_ms;
        self.bills()
            .postpone(now, delay_ms, |owner| live_instances.contains(owner));
    }

    /// Appends one batch of due bills and returns their number.
    ///
    /// # Errors
    ///
    /// Returns the error of the append; the bills then stay in the buffer.
    pub async fn append_due_bills(&self) -> Result<usize, store::StoreError> {
        let now = self.now();
        let due = self.bills().due(now, BATCH_BILLS);
        if due.is_empty() {
            return Ok(0);
        }
        let count = due.len();
        let record = BillRecord::new(&self.instance, due.clone());
        self.store.append(BILL_STREAM, &record.encode()).await?;
        self.bills()
            .release(due.iter().map(|bill| bill.request_id.as_str()));
        self.release_copies(&due);
        Ok(count)
    }

    /// Tells the other holders to release their copies of appended bills.
    ///
    /// A holder that cannot be reached appends its copy later; readers of the
    /// stream ignore the duplicate.
    fn release_copies(&self, bills: &[Bill]) {
        let mut by_holder: BTreeMap<SocketAddr, Vec<String>> = BTreeMap::new();
        {
            let mut peers = self.peers();
            for bill in bills {
                let holders = peers.bill_holders_mut().remove(&bill.request_id);
                for holder in holders.unwrap_or_default() {
                    by_holder
                        .entry(holder)
                        .or_default()
                        .push(bill.request_id.clone());
                }
            }
        }
        for (holder, request_ids) in by_holder {
            let (hub, owner) = (self.hub.clone(), self.instance.clone());
            tokio::spawn(async move {
                let released = hub.release_bills(holder, &owner, request_ids).await;
                if let Err(err) = released {
                    debug!("event=release_lost holder={holder} why=\"{err}\"");
                }
            });
        }
    }

    /// Appends all buffered bills to the log during a graceful shutdown.
    ///
    /// While the log is down, the bills are handed over to another process.
    /// Returns the number of bills that are still buffered after `wait_ms`.
    pub async fn flush_bills(&self, wait_ms: u64) -> usize {
        let deadline = self.now().plus(wait_ms);
        let now = self.now();
        self.bills().make_all_due(now);
        while !self.bills().is_empty() && self.now() < deadline {
            if self.append_due_bills().await.is_err() {
                self.hand_over_bills().await;
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
        self.bills().len()
    }

    /// Sends copies of all bills to a process in another failure domain, or if
    /// there is none, in this one.
    ///
    /// Bills that the process accepts are released from this buffer.
    async fn hand_over_bills(&self) {
        let bills = self.bills().all();
        let silence_ms = self.settings.entry.silence_ms;
        let failure_domain = &self.settings.process.failure_domain;
        let now = self.now();
        let holder = {
            let peers = self.peers();
            let remote =
                peers.pick_bill_holder(failure_domain, now, silence_ms, rand::random());
            remote
                .or_else(|| peers.pick_bill_holder("", now, silence_ms, rand::random()))
        };
        let Some(holder) = holder else {
            return;
        };
        for batch in bills.chunks(BATCH_BILLS) {
            let text = serde_json::to_string(batch).expect("bills always encode");
            if self
                .hub
                .hold_bills(holder, &self.instance, text)
                .await
                .is_ok()
            {
                self.bills()
                    .release(batch.iter().map(|bill| bill.request_id.as_str()));
            }
        }
    }
}

/// Appends due bills periodically until the process stops.
pub(crate) async fn run(node: Arc<Node>) {
    let interval = Duration::from_millis(node.settings.store.bill_interval_ms);
    loop {
        tokio::time::sleep(interval).await;
        node.postpone_copies();
        loop {
            match node.append_due_bills().await {
                Ok(BATCH_BILLS) => {}
                Ok(_) => break,
                Err(err) => {
                    let held = node.bills().len();
                    debug!("event=bills_wait held={held} why=\"{err}\"");
                    tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                    break;
                }
            }
        }
        node.metrics.gauge("bills_held", node.bills().len() as u64);
    }
}
