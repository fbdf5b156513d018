//! CPU time, memory and network traffic, read from `/proc`, and linear
//! regression over the measured points.

use std::fs;

/// Clock ticks per second in `/proc/*/stat` (`USER_HZ`).
const TICKS_PER_S: f64 = 100.0;

/// Size of a memory page, bytes.
const PAGE_BYTES: u64 = 4_096;

/// Parses the sum of user and system time from a `stat` line, seconds.
fn cpu_time_s(stat: &str) -> Option<f64> {
    // The command name, in parentheses, may contain spaces.
    let rest = stat.rsplit_once(')')?.1;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks: f64 =
        fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some(ticks / TICKS_PER_S)
}

/// Returns the CPU time of all threads of this process with the given name,
/// seconds.
pub fn thread_cpu_s(name: &str) -> f64 {
    let tasks = fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    let mut sum = 0.0;
    for task in tasks {
        let read =
            |file: &str| fs::read_to_string(task.path().join(file)).unwrap_or_default();
        if read("comm").trim() == name {
            sum += cpu_time_s(&read("stat")).unwrap_or(0.0);
        }
    }
    sum
}

/// Returns the CPU time of a process, seconds; 0 if it does not exist.
pub fn process_cpu_s(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    cpu_time_s(&stat).unwrap_or(0.0)
}

/// Returns the resident set size of a process, bytes; 0 if it does not exist.
pub fn process_rss_bytes(pid: u32) -> u64 {
    let statm = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Returns the resident set size of this process, bytes.
pub fn rss_bytes() -> u64 {
    process_rss_bytes(std::process::id())
}

/// Returns the bytes received on the loopback device since boot.
pub fn loopback_bytes() -> u64 {
    let devices = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = devices
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"));
    let received = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    received.unwrap_or(0)
}

/// Line fitted to points by least squares.
#[derive(Clone, Copy, Debug)]
pub struct LineFit {
    /// Change of y per unit of x.
    pub slope: f64,
    /// Value of y at x = 0.
    pub intercept: f64,
    /// Coefficient of determination, R².
    pub r2: f64,
}

/// Fits a line to points, given as (x, y), by least squares.
pub fn fit_line(points: &[(f64, f64)]) -> LineFit {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let yy: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
    let slope = xy / xx;
    let r2 = if yy > 0.0 { xy * xy / (xx * yy) } else { 1.0 };
    LineFit {
        slope,
        intercept: mean_y - slope * mean_x,
        r2,
    }
}

/// Prints the points, given as (x, y), and the line fitted to them.
pub fn print_line_fit(name: &str, x_unit: &str, y_unit: &str, points: &[(f64, f64)]) {
    for (x, y) in points {
        println!("{name} {x} {x_unit}: {y:.3} {y_unit}");
    }
    let line = fit_line(points);
    println!(
        "{name} slope {:.4} {y_unit} per {x_unit}, base {:.3} {y_unit}, r2 {:.3}\n",
        line.slope, line.intercept, line.r2
    );
}
