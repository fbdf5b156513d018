//! Bills, their fold, and the buffer of bills not yet on the log.
//!
//! A bill is keyed by its request; the fold counts the first that stands on
//! the log, so that any holder may append its copy.  See
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

/// Format of the records this build writes and the newest that it reads.
const RECORD_VERSION: u32 = 1;

/// What one step of a request used.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LineItem {
    /// Model, or the plain service.
    pub model: String,
    /// Version; empty for a plain service.
    pub version: String,
    /// Prompt tokens read.
    pub prompt_tokens: u64,
    /// Output tokens generated.
    pub output_tokens: u64,
    /// Price of the step, in millionths of a euro.
    pub cost_micros: u64,
}

/// Tokens that a version's price is given for.
const PRICED_TOKENS: u64 = 1_000;

impl LineItem {
    /// What a step on a model used; the price is that of 1,000 tokens, in
    /// millionths of a euro.  Every holder of a bill works it out here, so that
    /// it does not matter whose copy gets to the log.
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
                / PRICED_TOKENS,
        }
    }

    /// What a call of a plain service costs, in millionths of a euro.
    pub fn for_service(service: &str, cost_micros: u64) -> LineItem {
        LineItem {
            model: service.to_owned(),
            cost_micros,
            ..LineItem::default()
        }
    }
}

/// The bill of one request, with the steps inside it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Bill {
    /// Request that is billed.
    pub request_id: String,
    /// Team that pays.
    pub team: String,
    /// Wall-clock time the answer ended, ms since 1970.
    pub at_ms: u64,
    /// Steps, in order.
    pub lines: Vec<LineItem>,
}

impl Bill {
    /// Price of the whole request, in millionths of a euro.
    pub fn cost_micros(&self) -> u64 {
        self.lines.iter().map(|line| line.cost_micros).sum()
    }
}

/// One append: the bills that a holder gathered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BillRecord {
    /// Record format.
    pub v: u32,
    /// Instance that appended it.
    pub holder: String,
    /// The bills.
    pub bills: Vec<Bill>,
}

impl BillRecord {
    /// A record of `bills` by `holder`.
    pub fn new(holder: &str, bills: Vec<Bill>) -> Self {
        BillRecord {
            v: RECORD_VERSION,
            holder: holder.to_owned(),
            bills,
        }
    }

    /// The record as one line of JSON.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a bill record always encodes")
    }
}

/// The fold of the bill stream, as the accounts office reads it.
#[derive(Clone, Debug, Default)]
pub struct Bills {
    /// Next offset to fold.
    pub offset: u64,
    bills: BTreeMap<String, Bill>,
    /// Copies that the fold passed over.
    pub duplicates: u64,
}

impl Bills {
    /// Folds the record at `offset`.
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

    /// How many requests were billed.
    pub fn len(&self) -> usize {
        self.bills.len()
    }

    /// Whether none was.
    pub fn is_empty(&self) -> bool {
        self.bills.is_empty()
    }

    /// All bills, by request.
    pub fn iter(&self) -> impl Iterator<Item = &Bill> {
        self.bills.values()
    }
}
