//! The experiments: each situation under our decisions and under simpler
//! baselines, with the same seed, as one table.

use std::{fs, path::Path};

use config::Gate;
use route::{BalancePolicy, CascadePolicy, Weights};
use serde_json::json;

use crate::{
    plot,
    sim::{Deployment, Outcomes, Sim, Situation, Variant},
};

/// Scripted time of a run, ms.
const DURATION_MS: u64 = 360_000;

const COOPERATIVE: Deployment = Deployment {
    name: "cooperative",
    small: 4,
    large: 6,
    room_ms: 1,
    caller_ms: 1,
    rate: 22.0,
};

const PALERMO: Deployment = Deployment {
    name: "palermo",
    small: 5,
    large: 7,
    room_ms: 2,
    caller_ms: 3,
    rate: 25.0,
};

/// Our decisions, by what the deployment's user weighs most.
fn ours(weights: Weights) -> Variant {
    Variant {
        name: "ours",
        balance: BalancePolicy::Predicted,
        cascade: CascadePolicy::Learned,
        gate: Gate::Sequential,
        retry_percent: 10,
        weights,
        fair: true,
    }
}

/// Situations and the baselines that each is held against.
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
    let dearest = Variant {
        name: "always_dear",
        cascade: CascadePolicy::Dearest,
        ..ours
    };
    let always = Variant {
        name: "always_cheap_first",
        cascade: CascadePolicy::Always,
        ..ours
    };
    let fixed = Variant {
        name: "fixed_steps",
        gate: Gate::Fixed,
        ..ours
    };
    let no_budget = Variant {
        name: "no_budget",
        retry_percent: 1_000,
        ..ours
    };
    let unfair = Variant {
        name: "no_share",
        fair: false,
        ..ours
    };
    let exposure = Variant {
        name: "by_exposure",
        weights: Weights::exposure(),
        ..ours
    };
    let latency = Variant {
        name: "by_latency",
        weights: Weights::latency(),
        ..ours
    };
    vec![
        (
            Situation::Steady,
            vec![ours, dearest, always, round_robin, two_choice],
        ),
        (Situation::Overload, vec![ours, unfair]),
        (Situation::RoomLost, vec![ours, round_robin, no_budget]),
        (Situation::BadVersion, vec![ours, fixed, exposure, latency]),
        (Situation::BadForOneTeam, vec![ours, fixed]),
        (Situation::BadSlowly, vec![ours, fixed, exposure, latency]),
        (Situation::BadRaterSilent, vec![ours, fixed]),
        (Situation::GoodVersion, vec![ours, fixed, exposure, latency]),
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
            vec![ours, always, dearest, exposure, latency],
        ),
    ]
}

/// One line of the table.
struct Row {
    deployment: &'static str,
    situation: Situation,
    variant: &'static str,
    out: Outcomes,
}

/// Runs all experiments with a seed, prints the table, and writes JSON and
/// plots to a folder.
pub fn run(seed: u64, dir: &Path) {
    let mut rows = Vec::new();
    let plants = [
        (COOPERATIVE, Weights::exposure()),
        (PALERMO, Weights::latency()),
    ];
    for (plant, weights) in plants {
        for (situation, variants) in experiments(ours(weights)) {
            for variant in variants {
                let out = Sim::run(plant, situation, variant, DURATION_MS, seed);
                rows.push(Row {
                    deployment: plant.name,
                    situation,
                    variant: variant.name,
                    out,
                });
            }
        }
    }
    println!(
        "seed {seed}, {} s of scripted time a run",
        DURATION_MS / 1_000
    );
    print_table(&rows);
    print_aims(&rows);
    write(&rows, dir);
}

fn ms(out: &hdrhistogram::Histogram<u64>, quantile: f64) -> u64 {
    out.value_at_quantile(quantile)
}

/// Price of a thousand answers, euro.
fn euro_per_thousand(out: &Outcomes) -> f64 {
    out.cost_micros / out.answered.max(1) as f64 / 1_000.0
}

fn good_share(out: &Outcomes) -> f64 {
    out.good as f64 / out.answered.max(1) as f64
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
        let out = &row.out;
        println!(
            "{:<12} {:<15} {:<18} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7.3} {:>6.3} {:>5} {:>5} {:>6} {:>5.2}",
            row.deployment,
            format!("{:?}", row.situation),
            row.variant,
            ms(&out.first_ms, 0.5),
            ms(&out.first_ms, 0.95),
            ms(&out.first_ms, 0.99),
            ms(&out.whole_ms, 0.5),
            ms(&out.whole_ms, 0.95),
            ms(&out.whole_ms, 0.99),
            euro_per_thousand(out),
            good_share(out),
            out.refused,
            out.failed,
            out.exposed,
            out.amplification(),
        );
    }
    println!();
}

fn find<'a>(
    rows: &'a [Row],
    deployment: &str,
    situation: Situation,
    variant: &str,
) -> &'a Outcomes {
    let found = rows.iter().find(|row| {
        row.deployment == deployment
            && row.situation == situation
            && row.variant == variant
    });
    &found.expect("the experiment was run").out
}

fn aim(deployment: &str, name: &str, value: f64, bound: f64, at_most: bool) {
    let met = if at_most {
        value <= bound
    } else {
        value >= bound
    };
    let word = if met { "met" } else { "NOT MET" };
    let sign = if at_most { "<=" } else { ">=" };
    println!("{deployment}: {name}: {value:.2} (aim {sign} {bound}) {word}");
}

fn print_aims(rows: &[Row]) {
    for deployment in [COOPERATIVE.name, PALERMO.name] {
        let get = |situation, variant| find(rows, deployment, situation, variant);
        let steady = get(Situation::Steady, "ours");
        let dear = get(Situation::Steady, "always_dear");
        let cost = euro_per_thousand(steady) / euro_per_thousand(dear);
        aim(deployment, "cost over always dear", cost, 0.70, true);
        let p95 = ms(&steady.whole_ms, 0.95) as f64 / ms(&dear.whole_ms, 0.95) as f64;
        aim(deployment, "p95 whole over always dear", p95, 1.1, true);
        for situation in [
            Situation::BadVersion,
            Situation::BadForOneTeam,
            Situation::BadSlowly,
        ] {
            let ours = get(situation, "ours").exposed as f64;
            let fixed = get(situation, "fixed_steps").exposed.max(1) as f64;
            aim(
                deployment,
                &format!("exposure {situation:?} over fixed steps"),
                ours / fixed,
                0.25,
                true,
            );
        }
        for situation in [Situation::LaggingReports, Situation::LaggingOneSlow] {
            let lag = |variant| ms(&get(situation, variant).first_ms, 0.99) as f64;
            aim(
                deployment,
                &format!("p99 first, round robin over ours, {situation:?}"),
                lag("round_robin") / lag("ours"),
                1.5,
                false,
            );
            aim(
                deployment,
                &format!("p99 first, ours over two choice, {situation:?}"),
                lag("ours") / lag("two_choice"),
                1.0,
                true,
            );
        }
        let outage = get(Situation::Outage, "ours").amplification();
        aim(
            deployment,
            "attempts a request in an outage",
            outage,
            1.1,
            true,
        );
        let others = |situation| ms(&get(situation, "ours").others_ms, 0.95) as f64;
        aim(
            deployment,
            "others' p95 in an overload over a steady day",
            others(Situation::Overload) / others(Situation::Steady),
            1.2,
            true,
        );
    }
}

fn write(rows: &[Row], dir: &Path) {
    if let Err(err) = fs::create_dir_all(dir) {
        println!(
            "cannot write to {} ({err}); give another --out",
            dir.display()
        );
        return;
    }
    let list: Vec<_> = rows
        .iter()
        .map(|row| {
            let out = &row.out;
            json!({
                "deployment": row.deployment,
                "situation": format!("{:?}", row.situation),
                "variant": row.variant,
                "first_p50_ms": ms(&out.first_ms, 0.5),
                "first_p95_ms": ms(&out.first_ms, 0.95),
                "first_p99_ms": ms(&out.first_ms, 0.99),
                "whole_p50_ms": ms(&out.whole_ms, 0.5),
                "whole_p95_ms": ms(&out.whole_ms, 0.95),
                "whole_p99_ms": ms(&out.whole_ms, 0.99),
                "others_whole_p95_ms": ms(&out.others_ms, 0.95),
                "euro_per_thousand": euro_per_thousand(out),
                "good_share": good_share(out),
                "answered": out.answered,
                "refused": out.refused,
                "failed": out.failed,
                "exposed": out.exposed,
                "exposed_span_ms": out.exposed_span_ms,
                "amplification": out.amplification(),
                "wasted_tokens": out.wasted_tokens,
                "tokens": out.tokens,
            })
        })
        .collect();
    let text = serde_json::to_string_pretty(&list).expect("a report always encodes");
    let _ = fs::write(dir.join("policy.json"), text);
    for situation in [Situation::Overload, Situation::Outage, Situation::RoomLost] {
        let series: Vec<_> = rows
            .iter()
            .filter(|row| {
                row.deployment == COOPERATIVE.name && row.situation == situation
            })
            .map(|row| (row.variant, &row.out.per_second))
            .collect();
        let file = dir.join(format!("{situation:?}.svg").to_lowercase());
        if let Err(why) =
            plot::answers_per_second(&file, &format!("{situation:?}"), &series)
        {
            println!("no plot of {situation:?}: {why}");
        }
    }
    println!("written to {}", dir.display());
}
