//! Bills, their deduplication, and the buffer of bills not yet in the log.
//!
//! A bill is identified by its request. Only the first bill of a request in
//! the log counts, so every instance that holds a copy may append it. See
//! `docs/design/billing.md`.
//!
//! ```
//! use bill::{Bill, BillRecord, Bills};
//!
//! let bill = Bill { request_id: "r1".into(), team: "a".into(), ..Bill::default() };
//! let record = BillRecord::new("entry-1", vec![bill]);
//! let mut bills = Bills::default();
//! bills.apply(0, &record.encode());
//! bills.apply(1, &record.encode());
//! assert_eq!(bills.len(), 1);
//! ```

mod buffer;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use buffer::{BillBuffer, BufferError, HeldBill};

/// Record format that this build writes.
const RECORD_VERSION: u32 = 1;

/// Usage and cost of one step of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LineItem {
    /// Model, or the name of a plain service.
    pub model: String,
    /// Version; empty for a plain service.
    pub version: String,
    /// Number of prompt tokens processed.
    pub prompt_tokens: u64,
    /// Number of output tokens generated.
    pub output_tokens: u64,
    /// Cost of the step, in millionths of a euro.
    pub cost_micros: u64,
}

/// Number of tokens that the price of a version refers to.
const TOKENS_PER_PRICE_UNIT: u64 = 1_000;

impl LineItem {
    /// Creates the line item of a step on a model.
    ///
    /// `micros_per_ktoken` is the price of 1,000 prompt or output tokens in
    /// millionths of a euro; the cost is rounded down.
    /// Every holder of a bill computes the cost with this function, so that all
    /// copies are equal and any of them may be appended to the log.
    pub fn for_model(
        model: &str,
        version: &str,
        prompt_tokens: u32,
        output_tokens: u32,
        micros_per_ktoken: u64,
    ) -> LineItem {
        let (prompt_tokens, output_tokens) =
            (u64::from(prompt_tokens), u64::from(output_tokens));
        LineItem {
            model: model.to_owned(),
            version: version.to_owned(),
            prompt_tokens,
            output_tokens,
            cost_micros: (prompt_tokens + output_tokens) * micros_per_ktoken
                / TOKENS_PER_PRICE_UNIT,
        }
    }

    /// Creates the line item of a call to a plain service; `cost_micros` is in
    /// millionths of a euro.
    pub fn for_service(service: &str, cost_micros: u64) -> LineItem {
        LineItem {
            model: service.to_owned(),
            cost_micros,
            ..LineItem::default()
        }
    }
}

/// The bill of one request.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Bill {
    /// Id of the billed request.
    pub request_id: String,
    /// Team that is charged.
    pub team: String,
    /// Wall-clock time at which the response ended, ms since the Unix epoch.
    pub at_ms: u64,
    /// One item per step, in the order of the steps.
    pub lines: Vec<LineItem>,
}

impl Bill {
    /// Total cost of the request, in millionths of a euro.
    pub fn cost_micros(&self) -> u64 {
        self.lines.iter().map(|line| line.cost_micros).sum()
    }
}

/// One log record: a batch of bills from one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BillRecord {
    /// Version of the record format.
    pub v: u32,
    /// Instance that appended the record.
    pub holder: String,
    /// The bills.
    pub bills: Vec<Bill>,
}

impl BillRecord {
    /// Creates a record of `bills`, appended by the instance `holder`.
    pub fn new(holder: &str, bills: Vec<Bill>) -> Self {
        BillRecord {
            v: RECORD_VERSION,
            holder: holder.to_owned(),
            bills,
        }
    }

    /// Encodes the record as one line of JSON.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a bill record serializes to JSON")
    }
}

/// The billed requests, built by applying the records of the bill stream.
///
/// Accounting reads the stream in the same way.
#[derive(Clone, Debug, Default)]
pub struct Bills {
    /// Offset of the next record to apply.
    pub offset: u64,
    bills: BTreeMap<String, Bill>,
    /// Number of bills ignored because their request was already billed.
    pub duplicates: u64,
}

impl Bills {
    /// Applies the record at `offset`.
    ///
    /// A record that was already applied is ignored, and a malformed one is
    /// skipped.
    pub fn apply(&mut self, offset: u64, body: &str) {
        if offset < self.offset {
            return;
        }
        self.offset = offset + 1;
        let Ok(record) = serde_json::from_str::<BillRecord>(body) else {
            return;
        };
        for bill in record.bills {
            if self.bills.contains_key(&bill.request_id) {
                self.duplicates += 1;
            } else {
                self.bills.insert(bill.request_id.clone(), bill);
            }
        }
    }

    /// The bill of a request.
    pub fn get(&self, request_id: &str) -> Option<&Bill> {
        self.bills.get(request_id)
    }

    /// Number of billed requests.
    pub fn len(&self) -> usize {
        self.bills.len()
    }

    /// Whether no request was billed.
    pub fn is_empty(&self) -> bool {
        self.bills.is_empty()
    }

    /// All bills, ordered by request id.
    pub fn iter(&self) -> impl Iterator<Item = &Bill> {
        self.bills.values()
    }
}
