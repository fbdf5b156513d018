//! Brings held bills to the log.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bill::{Bill, BillRecord};
use log::{debug, warn};
use store::BILL_STREAM;

use crate::Node;

/// Bills that one append carries at most.
const BATCH_BILLS: usize = 500;

/// Wait after a failed append, ms.
const RETRY_MS: u64 = 250;

impl Node {
    /// Holds a bill here as its owner and, if there is one, at a process in
    /// another room, before the answer's end goes out.
    ///
    /// `agents` hold copies already; they are told with the other holder once
    /// the log has the bill.  `served_outside` tells that the last of them
    /// stands in another room, so that no further holder is needed.
    pub async fn hold_bill(
        &self,
        bill: Bill,
        agents: &[SocketAddr],
        served_outside: bool,
    ) {
        let request_id = bill.request_id.clone();
        let mut holders = agents.to_vec();
        if !served_outside {
            holders.extend(self.hold_outside(&bill).await);
        }
        // Noted first: the bill may be on the log at once.
        self.peers().holders_mut().insert(request_id, holders);
        self.bills().hold(bill, self.now(), "");
    }

    /// Has a process in another room hold a copy.
    async fn hold_outside(&self, bill: &Bill) -> Option<SocketAddr> {
        let now = self.now();
        let silence_ms = self.settings.entry.silence_ms;
        let room = &self.settings.process.failure_domain;
        let seed = rand::random();
        let holder = self.peers().pick_bill_holder(room, now, silence_ms, seed)?;
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

    /// Takes copies of an owner's bills.
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

    /// Puts off copies whose owners are still heard: a live owner brings its
    /// bill to the log itself, or settles a request that ended without one.
    fn postpone_copies(&self) {
        let now = self.now();
        let silence_ms = self.settings.entry.silence_ms;
        let live = self.peers().instances(now, silence_ms);
        let span_ms = self.settings.entry.bill_handover_ms;
        self.bills()
            .postpone(now, span_ms, |owner| live.contains(owner));
    }

    /// Appends what is due, once; tells how many bills went to the log.
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
        self.release_elsewhere(&due);
        Ok(count)
    }

    /// Tells the other holders that the log has the bills.  A holder that is
    /// not reached appends its copy later, which the fold passes over.
    fn release_elsewhere(&self, bills: &[Bill]) {
        let mut by_holder: BTreeMap<SocketAddr, Vec<String>> = BTreeMap::new();
        {
            let mut peers = self.peers();
            for bill in bills {
                let holders = peers.holders_mut().remove(&bill.request_id);
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

    /// Hands every held bill to the log, for a planned stop; gives up after
    /// `wait_ms` and tells how many are left.
    pub async fn flush_bills(&self, wait_ms: u64) -> usize {
        let until = self.now().plus(wait_ms);
        let now = self.now();
        self.bills().make_all_due(now);
        while !self.bills().is_empty() && self.now() < until {
            if self.append_due_bills().await.is_err() {
                self.hand_over_bills().await;
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
        self.bills().len()
    }

    /// Gives copies of all bills to a process in another room, or failing
    /// that in this one, while the log is down.
    async fn hand_over_bills(&self) {
        let bills = self.bills().all();
        let silence_ms = self.settings.entry.silence_ms;
        let room = &self.settings.process.failure_domain;
        let now = self.now();
        let holder = {
            let peers = self.peers();
            let outside = peers.pick_bill_holder(room, now, silence_ms, rand::random());
            outside
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

/// Appends due bills for ever.
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
                    tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
                    break;
                }
            }
        }
        node.metrics.gauge("bills_held", node.bills().len() as u64);
    }
}
