//! Integration tests, by feature.
//!
//! Scenarios under `tests/scenarios` drive real processes through a small
//! command language; see `tests/util/script.rs`.  The other files test the
//! decision core and the public interfaces.

#[allow(dead_code, reason = "other test programs use the rest of the helpers")]
mod util;

mod admission;
mod bad_input;
mod body_account;
mod claim_book;
mod claims;
mod command_line;
mod configuration;
mod connection_table;
mod crash_ledger;
mod crashing_part;
mod crashing_request;
mod endless_answer;
mod endpoint_state;
mod evacuation;
mod events;
mod false_refusal;
mod gate;
mod gateway;
mod golden;
mod handover;
mod health;
mod keyed;
mod load_tracking;
mod odd_records;
mod operations;
mod outer_names;
mod owner;
mod owner_failure;
mod placing;
mod platform;
mod platform_wire;
mod quarantine;
mod request_limit;
mod restarts;
mod restored_log;
mod retry_budget;
mod retry_charges;
mod rollout;
mod routing;
mod scenarios;
mod sessions;
mod settings;
mod subset;
mod telemetry;
mod unframed_answer;
mod upgrade;
mod warmup;
mod wire;
