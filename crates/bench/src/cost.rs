//! What a thread or process cost, from `/proc`, and lines through points.

use std::fs;

/// Clock ticks a second, as Linux counts processor time.
const TICKS_PER_S: f64 = 100.0;

/// Bytes of a page.
const PAGE_BYTES: u64 = 4_096;

/// User and system time out of a `stat` line, seconds.
fn time_s(stat: &str) -> Option<f64> {
    // The name in brackets may hold spaces.
    let rest = stat.rsplit_once(')')?.1;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks: f64 =
        fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some(ticks / TICKS_PER_S)
}

/// Processor time of this process's threads of a name, seconds.
pub fn thread_time_s(name: &str) -> f64 {
    let tasks = fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    let mut sum = 0.0;
    for task in tasks {
        let read =
            |file: &str| fs::read_to_string(task.path().join(file)).unwrap_or_default();
        if read("comm").trim() == name {
            sum += time_s(&read("stat")).unwrap_or(0.0);
        }
    }
    sum
}

/// Processor time of a process, seconds.
pub fn process_time_s(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    time_s(&stat).unwrap_or(0.0)
}

/// Resident memory of a process, bytes.
pub fn process_memory_bytes(pid: u32) -> u64 {
    let statm = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Resident memory of this process, bytes.
pub fn memory_bytes() -> u64 {
    process_memory_bytes(std::process::id())
}

/// Bytes that the loopback device carried.
pub fn loopback_bytes() -> u64 {
    let devices = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = devices
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"));
    let received = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    received.unwrap_or(0)
}

/// A line through points, by least squares.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// Rise per unit.
    pub slope: f64,
    /// Value at zero.
    pub base: f64,
    /// Share of the spread that the line explains.
    pub r2: f64,
}

/// Fits a line.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let yy: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
    let slope = xy / xx;
    let r2 = if yy > 0.0 { xy * xy / (xx * yy) } else { 1.0 };
    Fit {
        slope,
        base: mean_y - slope * mean_x,
        r2,
    }
}

/// Prints points and their line.
pub fn report(name: &str, x_unit: &str, y_unit: &str, points: &[(f64, f64)]) {
    for (x, y) in points {
        println!("{name} {x} {x_unit}: {y:.3} {y_unit}");
    }
    let line = fit(points);
    println!(
        "{name} slope {:.4} {y_unit} per {x_unit}, base {:.3} {y_unit}, r2 {:.3}\n",
        line.slope, line.base, line.r2
    );
}
