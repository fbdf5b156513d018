//! Advances and halts rollouts. Each step is a record in the log, so any entry
//! can continue where another stopped.

use std::{sync::Arc, time::Duration};

use clock::Clock;
use config::{Change, ChangeRecord, Config, RolloutAction, RolloutState};
use log::{info, warn};
use route::{GateDecision, GateSample, Weights};
use settings::Objective;
use store::CONFIG_STREAM;

use crate::{Entry, rater::RatingInput};

/// Interval at which open rollouts are evaluated, ms.
const POLL_INTERVAL_MS: u64 = 250;

/// Minimum rating of a response that counts as good.
const GOOD_RATING_MIN: f64 = 0.5;

impl Entry {
    /// Records a rating in the gate of the model's open rollout, if there is one.
    pub(crate) fn record_rating(&self, model: &str, version: &str, rating: f64) {
        let config = self.config();
        let Some(rollout) = config.rollouts.get(model) else {
            return;
        };
        if !rollout.value.is_open() {
            return;
        }
        let sample = GateSample {
            on_new: rollout.value.spec.to == version,
            good: rating >= GOOD_RATING_MIN,
            at: self.node.now(),
        };
        let key = (model.to_owned(), rollout.value.spec.to.clone());
        self.rollout_gates()
            .entry(key)
            .or_default()
            .record(sample, &self.weights().gate);
    }

    /// Requests a rating in the background if the model has an open rollout.
    pub(crate) fn rate_in_background(self: &Arc<Self>, input: RatingInput) {
        let config = self.config();
        let open = config
            .rollouts
            .get(&input.model)
            .is_some_and(|r| r.value.is_open());
        if !open || self.node.settings.entry.rater_address.is_none() {
            return;
        }
        let entry = self.clone();
        tokio::spawn(async move {
            if let Some(rating) = entry.request_rating(&input).await {
                entry.record_rating(&input.model, &input.version, rating);
            }
        });
    }

    /// Cost weights for the configured objective.
    pub(crate) fn weights(&self) -> Weights {
        match self.node.settings.process.objective {
            Objective::Exposure => Weights::exposure(),
            Objective::Latency => Weights::latency(),
        }
    }
}

/// Evaluates the open rollouts periodically; never returns.
pub(crate) async fn run(entry: Arc<Entry>) {
    loop {
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        let config = entry.config();
        for (model, rollout) in &config.rollouts {
            if rollout.value.state != RolloutState::Running {
                // Discards the ratings that stopped the rollout, so that they
                // are not counted again after a resume.
                entry.rollout_gates().retain(|(key, _), _| key != model);
                continue;
            }
            let decision = gate_decision(&entry, &config, model);
            let (action, reason) = match decision {
                GateDecision::Wait => continue,
                GateDecision::Advance => {
                    (RolloutAction::Advance, "the gate passed the step")
                }
                GateDecision::Halt => (RolloutAction::Halt, "the gate found it worse"),
            };
            publish_action(&entry, model, rollout.revision, action, reason).await;
        }
    }
}

fn gate_decision(entry: &Entry, config: &Config, model: &str) -> GateDecision {
    let rollout = &config.rollouts[model].value;
    let key = (model.to_owned(), rollout.spec.to.clone());
    let gates = entry.rollout_gates();
    let gate = gates.get(&key).cloned().unwrap_or_default();
    let wall = entry.node.clock.wall();
    gate.decide(rollout, wall, entry.node.now(), &entry.weights().gate)
}

/// Appends the action to the log. The change id is the same at every entry and
/// contains the revision, so two entries together advance a rollout by one
/// step, not two.
async fn publish_action(
    entry: &Entry,
    model: &str,
    revision: u64,
    action: RolloutAction,
    reason: &str,
) {
    let record = ChangeRecord {
        change_id: format!("rollout-{model}-{revision}-{action:?}"),
        who: "rollout-gate".into(),
        at_ms: entry.node.clock.wall().0,
        expected_revision: revision,
        change: Change::RolloutControl {
            model: model.to_owned(),
            action,
            reason: reason.to_owned(),
        },
        ..ChangeRecord::default()
    };
    match entry
        .node
        .store
        .append(CONFIG_STREAM, &record.encode())
        .await
    {
        Ok(offset) => {
            info!("event=rollout model={model} action={action:?} offset={offset}");
            entry
                .node
                .wait_for_config(offset + 1, POLL_INTERVAL_MS * 4)
                .await;
        }
        Err(err) => warn!("event=rollout_unpublished model={model} why=\"{err}\""),
    }
}
