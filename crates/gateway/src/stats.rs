//! Counters and latency histograms, served as text.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt::Write,
};

/// Upper bounds of the histogram's buckets, ms.
const BUCKETS_MS: [u64; 12] = [
    5, 10, 25, 50, 100, 250, 500, 1_000, 2_000, 4_000, 8_000, 16_000,
];

/// A latency histogram with fixed buckets.
#[derive(Clone, Debug, Default)]
struct Histogram {
    counts: [u64; BUCKETS_MS.len()],
    sum_ms: u64,
    count: u64,
}

impl Histogram {
    fn add(&mut self, ms: u64) {
        for (count, bound) in self.counts.iter_mut().zip(BUCKETS_MS) {
            if ms <= bound {
                *count += 1;
            }
        }
        self.sum_ms += ms;
        self.count += 1;
    }
}

/// Metrics of a gateway.
#[derive(Debug, Default)]
pub(crate) struct Stats {
    pub requests_open: Cell<u64>,
    pub connections_open: Cell<u64>,
    counters: RefCell<BTreeMap<(&'static str, String), u64>>,
    histograms: RefCell<BTreeMap<(&'static str, String), Histogram>>,
}

impl Stats {
    /// Adds one to a counter.
    pub fn count(&self, name: &'static str, label: &str) {
        self.add(name, label, 1);
    }

    /// Adds an amount to a counter.
    pub fn add(&self, name: &'static str, label: &str, amount: u64) {
        let mut counters = self.counters.borrow_mut();
        match counters.get_mut(&(name, label.to_owned())) {
            Some(count) => *count += amount,
            None => {
                counters.insert((name, label.to_owned()), amount);
            }
        }
    }

    /// Adds a time to a histogram.
    pub fn time(&self, name: &'static str, label: &str, ms: u64) {
        let mut histograms = self.histograms.borrow_mut();
        let key = (name, label.to_owned());
        histograms.entry(key).or_default().add(ms);
    }

    /// Formats all metrics, one value per line.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let gauges = [
            ("requests_open", &self.requests_open),
            ("connections_open", &self.connections_open),
        ];
        for (name, gauge) in gauges {
            let _ = writeln!(text, "currantbank_{name} {}", gauge.get());
        }
        for ((name, label), count) in self.counters.borrow().iter() {
            let _ = writeln!(text, "currantbank_{name}{{of=\"{label}\"}} {count}");
        }
        for ((name, label), times) in self.histograms.borrow().iter() {
            for (count, bound) in times.counts.iter().zip(BUCKETS_MS) {
                let _ = writeln!(
                    text,
                    "currantbank_{name}_bucket{{of=\"{label}\",le=\"{bound}\"}} {count}"
                );
            }
            let _ = writeln!(
                text,
                "currantbank_{name}_sum{{of=\"{label}\"}} {}\ncurrantbank_{name}_count{{of=\"{label}\"}} {}",
                times.sum_ms, times.count
            );
        }
        text
    }
}
