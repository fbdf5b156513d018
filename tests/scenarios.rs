//! Runs each scenario under `tests/scenarios` with its own set of processes.

use std::{path::Path, sync::Arc};

use tokio::sync::Mutex;

use crate::util::script::Script;

async fn run_scenario(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/scenarios")
        .join(name);
    let script = Arc::new(Mutex::new(Script::new().await));
    datadriven::walk_async(path.to_str().expect("a UTF-8 path"), move |mut file| {
        let script = script.clone();
        async move {
            file.run_async(move |case| {
                let script = script.clone();
                async move { script.lock().await.run(&case).await }
            })
            .await;
            file
        }
    })
    .await;
}

/// Defines one test for each scenario file.
macro_rules! scenarios {
    ($($name:ident)*) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                run_scenario(stringify!($name)).await;
            }
        )*
    };
}

scenarios! {
    allowed_only
    at_most_once_ack_lost
    at_most_once_agent_dies
    at_most_once_entry_dies
    at_most_once_holder_paused
    at_most_once_log_down
    at_most_once_race
    at_most_once_repeat
    billing_ack_lost
    billing_agent_dies
    billing_both_die
    billing_entry_dies
    billing_outage
    billing_retries
    capacity
    cascade
    config_ack_lost
    config_cold_start
    config_cut_off
    config_newer_record
    config_race
    config_retention
    config_snapshot_torn
    graceful_agent
    graceful_entry
    leaving_endpoint
    log_slow
    not_run_frozen_agent
    not_run_silent_connection
    orders
    orders_rate_limited
    path
    regression_echoed_news
    regression_entry_count
    regression_silent_neighbour
    regression_stale_service_connection
    rollout_halts
    session_keeps_version
    session_race
    withdrawn_modes
    withdrawn_restart_in_outage
    withdrawn_stale_entry
}
