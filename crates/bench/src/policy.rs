//! Simulation experiments: compares our policies with simpler baselines in each
//! situation, with the same seed, and prints the results as a table.

use std::{fs, path::Path};

use config::Gate;
use route::{BalancePolicy, CascadePolicy, Weights};
use serde_json::json;

use crate::{
    plot,
    sim::{Deployment, RunStats, Sim, Situation, Variant},
};

/// Virtual time of a run, ms.
const DURATION_MS: u64 = 360_000;

const COOPERATIVE: Deployment = Deployment {
    name: "cooperative",
    small_engines: 4,
    large_engines: 6,
    cross_domain_ms: 1,
    caller_ms: 1,
    requests_per_s: 22.0,
};

const PALERMO: Deployment = Deployment {
    name: "palermo",
    small_engines: 5,
    large_engines: 7,
    cross_domain_ms: 2,
    caller_ms: 3,
    requests_per_s: 25.0,
};

/// Returns our policies with the weights of a deployment.
fn our_policies(weights: Weights) -> Variant {
    Variant {
        name: "ours",
        balance: BalancePolicy::Predicted,
        cascade: CascadePolicy::Learned,
        gate: Gate::Sequential,
        retry_percent: 10,
        weights,
        fair_share: true,
    }
}

/// Returns all situations, each with the variants to compare in it.
fn experiments(ours: Variant) -> Vec<(Situation, Vec<Variant>)> {
    let round_robin = Variant {
        name: "round_robin",
        balance: BalancePolicy::RoundRobin,
        ..ours
    };
    let two_choice = Variant {
        name: "two_choice",
        balance: BalancePolicy::TwoChoice,
        ..ours
    };
    let always_large = Variant {
        name: "always_dear",
        cascade: CascadePolicy::Dearest,
        ..ours
    };
    let always_small_first = Variant {
        name: "always_cheap_first",
        cascade: CascadePolicy::Always,
        ..ours
    };
    let fixed_steps = Variant {
        name: "fixed_steps",
        gate: Gate::Fixed,
        ..ours
    };
    let no_budget = Variant {
        name: "no_budget",
        retry_percent: 1_000,
        ..ours
    };
    let no_fair_share = Variant {
        name: "no_share",
        fair_share: false,
        ..ours
    };
    let by_exposure = Variant {
        name: "by_exposure",
        weights: Weights::exposure(),
        ..ours
    };
    let by_latency = Variant {
        name: "by_latency",
        weights: Weights::latency(),
        ..ours
    };
    vec![
        (
            Situation::Steady,
            vec![
                ours,
                always_large,
                always_small_first,
                round_robin,
                two_choice,
            ],
        ),
        (Situation::Overload, vec![ours, no_fair_share]),
        (Situation::RoomLost, vec![ours, round_robin, no_budget]),
        (
            Situation::BadVersion,
            vec![ours, fixed_steps, by_exposure, by_latency],
        ),
        (Situation::BadForOneTeam, vec![ours, fixed_steps]),
        (
            Situation::BadSlowly,
            vec![ours, fixed_steps, by_exposure, by_latency],
        ),
        (Situation::BadRaterSilent, vec![ours, fixed_steps]),
        (
            Situation::GoodVersion,
            vec![ours, fixed_steps, by_exposure, by_latency],
        ),
        (Situation::Outage, vec![ours, no_budget]),
        (
            Situation::LaggingReports,
            vec![ours, round_robin, two_choice],
        ),
        (
            Situation::LaggingOneSlow,
            vec![ours, round_robin, two_choice],
        ),
        (
            Situation::PassRateShift,
            vec![
                ours,
                always_small_first,
                always_large,
                by_exposure,
                by_latency,
            ],
        ),
    ]
}

/// Row of the table.
struct Row {
    deployment: &'static str,
    situation: Situation,
    variant: &'static str,
    stats: RunStats,
}

/// Runs all experiments with a seed, prints the results, and writes `policy.json`
/// and plots to `dir`.
pub fn run(seed: u64, dir: &Path) {
    let mut rows = Vec::new();
    let deployments = [
        (COOPERATIVE, Weights::exposure()),
        (PALERMO, Weights::latency()),
    ];
    for (deployment, weights) in deployments {
        for (situation, variants) in experiments(our_policies(weights)) {
            for variant in variants {
                let stats = Sim::run(deployment, situation, variant, DURATION_MS, seed);
                rows.push(Row {
                    deployment: deployment.name,
                    situation,
                    variant: variant.name,
                    stats,
                });
            }
        }
    }
    println!(
        "seed {seed}, {} s of scripted time a run",
        DURATION_MS / 1_000
    );
    print_table(&rows);
    print_targets(&rows);
    write_results(&rows, dir);
}

fn quantile_ms(histogram: &hdrhistogram::Histogram<u64>, quantile: f64) -> u64 {
    histogram.value_at_quantile(quantile)
}

/// Returns the price of a thousand answers, euro.
fn euro_per_thousand(stats: &RunStats) -> f64 {
    stats.cost_micros / stats.answered.max(1) as f64 / 1_000.0
}

/// Returns the fraction of good answers.
fn good_share(stats: &RunStats) -> f64 {
    stats.good as f64 / stats.answered.max(1) as f64
}

fn print_table(rows: &[Row]) {
    println!(
        "{:<12} {:<15} {:<18} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>6} {:>5} {:>5} {:>6} {:>5}",
        "deployment",
        "situation",
        "variant",
        "first50",
        "first95",
        "first99",
        "whole50",
        "whole95",
        "whole99",
        "eur/1k",
        "good",
        "refus",
        "fail",
        "expos",
        "ampl"
    );
    for row in rows {
        let stats = &row.stats;
        println!(
            "{:<12} {:<15} {:<18} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7.3} {:>6.3} {:>5} {:>5} {:>6} {:>5.2}",
            row.deployment,
            format!("{:?}", row.situation),
            row.variant,
            quantile_ms(&stats.first_token_ms, 0.5),
            quantile_ms(&stats.first_token_ms, 0.95),
            quantile_ms(&stats.first_token_ms, 0.99),
            quantile_ms(&stats.total_ms, 0.5),
            quantile_ms(&stats.total_ms, 0.95),
            quantile_ms(&stats.total_ms, 0.99),
            euro_per_thousand(stats),
            good_share(stats),
            stats.refused,
            stats.failed,
            stats.exposed,
            stats.amplification(),
        );
    }
    println!();
}

fn find_stats<'a>(
    rows: &'a [Row],
    deployment: &str,
    situation: Situation,
    variant: &str,
) -> &'a RunStats {
    let found = rows.iter().find(|row| {
        row.deployment == deployment
            && row.situation == situation
            && row.variant == variant
    });
    &found.expect("the experiment was run").stats
}

/// Prints whether a value meets its target, which is an upper bound if `at_most`
/// is set and a lower bound otherwise.
fn print_target(deployment: &str, name: &str, value: f64, target: f64, at_most: bool) {
    let is_met = if at_most {
        value <= target
    } else {
        value >= target
    };
    let verdict = if is_met { "met" } else { "NOT MET" };
    let operator = if at_most { "<=" } else { ">=" };
    println!("{deployment}: {name}: {value:.2} (aim {operator} {target}) {verdict}");
}

fn print_targets(rows: &[Row]) {
    for deployment in [COOPERATIVE.name, PALERMO.name] {
        let get = |situation, variant| find_stats(rows, deployment, situation, variant);
        let steady = get(Situation::Steady, "ours");
        let always_large = get(Situation::Steady, "always_dear");
        let cost_ratio = euro_per_thousand(steady) / euro_per_thousand(always_large);
        print_target(deployment, "cost over always dear", cost_ratio, 0.70, true);
        let p95_ratio = quantile_ms(&steady.total_ms, 0.95) as f64
            / quantile_ms(&always_large.total_ms, 0.95) as f64;
        print_target(
            deployment,
            "p95 whole over always dear",
            p95_ratio,
            1.1,
            true,
        );
        for situation in [
            Situation::BadVersion,
            Situation::BadForOneTeam,
            Situation::BadSlowly,
        ] {
            let ours = get(situation, "ours").exposed as f64;
            let fixed_steps = get(situation, "fixed_steps").exposed.max(1) as f64;
            print_target(
                deployment,
                &format!("exposure {situation:?} over fixed steps"),
                ours / fixed_steps,
                0.25,
                true,
            );
        }
        for situation in [Situation::LaggingReports, Situation::LaggingOneSlow] {
            let p99_ms = |variant| {
                quantile_ms(&get(situation, variant).first_token_ms, 0.99) as f64
            };
            print_target(
                deployment,
                &format!("p99 first, round robin over ours, {situation:?}"),
                p99_ms("round_robin") / p99_ms("ours"),
                1.5,
                false,
            );
            print_target(
                deployment,
                &format!("p99 first, ours over two choice, {situation:?}"),
                p99_ms("ours") / p99_ms("two_choice"),
                1.0,
                true,
            );
        }
        let amplification = get(Situation::Outage, "ours").amplification();
        print_target(
            deployment,
            "attempts a request in an outage",
            amplification,
            1.1,
            true,
        );
        let others_p95_ms = |situation| {
            quantile_ms(&get(situation, "ours").other_teams_ms, 0.95) as f64
        };
        print_target(
            deployment,
            "others' p95 in an overload over a steady day",
            others_p95_ms(Situation::Overload) / others_p95_ms(Situation::Steady),
            1.2,
            true,
        );
    }
}

/// Writes `policy.json` and the plots to `dir`; prints failures instead of
/// returning them.
fn write_results(rows: &[Row], dir: &Path) {
    if let Err(err) = fs::create_dir_all(dir) {
        println!(
            "cannot write to {} ({err}); give another --out",
            dir.display()
        );
        return;
    }
    let entries: Vec<_> = rows
        .iter()
        .map(|row| {
            let stats = &row.stats;
            json!({
                "deployment": row.deployment,
                "situation": format!("{:?}", row.situation),
                "variant": row.variant,
                "first_p50_ms": quantile_ms(&stats.first_token_ms, 0.5),
                "first_p95_ms": quantile_ms(&stats.first_token_ms, 0.95),
                "first_p99_ms": quantile_ms(&stats.first_token_ms, 0.99),
                "whole_p50_ms": quantile_ms(&stats.total_ms, 0.5),
                "whole_p95_ms": quantile_ms(&stats.total_ms, 0.95),
                "whole_p99_ms": quantile_ms(&stats.total_ms, 0.99),
                "others_whole_p95_ms": quantile_ms(&stats.other_teams_ms, 0.95),
                "euro_per_thousand": euro_per_thousand(stats),
                "good_share": good_share(stats),
                "answered": stats.answered,
                "refused": stats.refused,
                "failed": stats.failed,
                "exposed": stats.exposed,
                "exposed_span_ms": stats.exposed_span_ms,
                "amplification": stats.amplification(),
                "wasted_tokens": stats.wasted_tokens,
                "tokens": stats.tokens,
            })
        })
        .collect();
    let json =
        serde_json::to_string_pretty(&entries).expect("JSON values always serialize");
    let _ = fs::write(dir.join("policy.json"), json);
    for situation in [Situation::Overload, Situation::Outage, Situation::RoomLost] {
        let series: Vec<_> = rows
            .iter()
            .filter(|row| {
                row.deployment == COOPERATIVE.name && row.situation == situation
            })
            .map(|row| (row.variant, &row.stats.per_second))
            .collect();
        let file = dir.join(format!("{situation:?}.svg").to_lowercase());
        if let Err(err) =
            plot::plot_answers_per_second(&file, &format!("{situation:?}"), &series)
        {
            println!("no plot of {situation:?}: {err}");
        }
    }
    println!("written to {}", dir.display());
}
