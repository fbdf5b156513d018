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
    /// Requests in progress by failure domain of their endpoints.
    domain_running: RefCell<BTreeMap<String, u64>>,
    counters: RefCell<BTreeMap<(&'static str, String), u64>>,
    histograms: RefCell<BTreeMap<(&'static str, String), Histogram>>,
}

impl Stats {
    /// Adds one to a counter.
    pub fn count(&self, name: &'static str, label: &str) {
        let mut counters = self.counters.borrow_mut();
        match counters.get_mut(&(name, label.to_owned())) {
            Some(count) => *count += 1,
            None => {
                counters.insert((name, label.to_owned()), 1);
            }
        }
    }

    /// Adds a failure domain, without requests, to the metrics.
    pub fn add_domain(&self, domain: &str) {
        let mut running = self.domain_running.borrow_mut();
        running.entry(domain.to_owned()).or_default();
    }

    /// Counts a request that was sent to a failure domain.
    pub fn start_in_domain(&self, domain: &str) {
        let mut running = self.domain_running.borrow_mut();
        match running.get_mut(domain) {
            Some(count) => *count += 1,
            None => {
                running.insert(domain.to_owned(), 1);
            }
        }
    }

    /// Counts the end of a request that was sent to a failure domain.
    pub fn end_in_domain(&self, domain: &str) {
        if let Some(count) = self.domain_running.borrow_mut().get_mut(domain) {
            *count = count.saturating_sub(1);
        }
    }

    /// Adds a time to a histogram.
    pub fn time(&self, name: &'static str, label: &str, ms: u64) {
        let mut histograms = self.histograms.borrow_mut();
        let key = (name, label.to_owned());
        histograms.entry(key).or_default().add(ms);
    }

    /// Formats all metrics and the `gauges` of other parts, one value per line.
    pub fn render(&self, gauges: &[(&str, u64)]) -> String {
        let mut text = String::new();
        let own = [("requests_open", self.requests_open.get())];
        for (name, value) in own.iter().chain(gauges) {
            let _ = writeln!(text, "currantbank_{name} {value}");
        }
        for (domain, count) in self.domain_running.borrow().iter() {
            let _ = writeln!(
                text,
                "currantbank_domain_running{{of=\"{domain}\"}} {count}"
            );
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
