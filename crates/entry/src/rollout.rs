//! Drives roll-outs: each step is a record on the log, so that any entry goes
//! on where another stopped.

use std::{sync::Arc, time::Duration};

use clock::Clock;
use config::{Change, ChangeRecord, Config, RolloutAction, RolloutState};
use log::{info, warn};
use route::{GateDecision, GateSample, Weights};
use settings::Objective;
use store::CONFIG_STREAM;

use crate::{Entry, rate::Rated};

/// Time between two looks at the roll-outs, ms.
const LOOK_MS: u64 = 250;

/// Least rating of a good answer.
const GOOD_RATING: f64 = 0.5;

impl Entry {
    /// Counts a rating as evidence on its model's roll-out.
    pub(crate) fn take_rating(&self, model: &str, version: &str, rating: f64) {
        let config = self.config();
        let Some(rollout) = config.rollouts.get(model) else {
            return;
        };
        if !rollout.value.is_open() {
            return;
        }
        let input = GateSample {
            on_new: rollout.value.spec.to == version,
            good: rating >= GOOD_RATING,
            at: self.node.now(),
        };
        let key = (model.to_owned(), rollout.value.spec.to.clone());
        self.gates()
            .entry(key)
            .or_default()
            .record(input, &self.weights().gate);
    }

    /// Has an answer rated in the background while its model is rolled out.
    pub(crate) fn watch_rating(self: &Arc<Self>, rated: Rated) {
        let config = self.config();
        let open = config
            .rollouts
            .get(&rated.model)
            .is_some_and(|r| r.value.is_open());
        if !open || self.node.settings.entry.rater_address.is_none() {
            return;
        }
        let entry = self.clone();
        tokio::spawn(async move {
            if let Some(rating) = entry.rate(&rated).await {
                entry.take_rating(&rated.model, &rated.version, rating);
            }
        });
    }

    /// What the user weighs most, as numbers.
    pub(crate) fn weights(&self) -> Weights {
        match self.node.settings.process.objective {
            Objective::Exposure => Weights::exposure(),
            Objective::Latency => Weights::latency(),
        }
    }
}

/// Looks at the open roll-outs for ever.
pub(crate) async fn run(entry: Arc<Entry>) {
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        let config = entry.config();
        for (model, rollout) in &config.rollouts {
            if rollout.value.state != RolloutState::Running {
                // What stopped it must not count again once it is resumed.
                entry.gates().retain(|(of, _), _| of != model);
                continue;
            }
            let verdict = judge(&entry, &config, model);
            let (action, reason) = match verdict {
                GateDecision::Wait => continue,
                GateDecision::Advance => {
                    (RolloutAction::Advance, "the gate passed the step")
                }
                GateDecision::Halt => (RolloutAction::Halt, "the gate found it worse"),
            };
            publish(&entry, model, rollout.revision, action, reason).await;
        }
    }
}

fn judge(entry: &Entry, config: &Config, model: &str) -> GateDecision {
    let rollout = &config.rollouts[model].value;
    let key = (model.to_owned(), rollout.spec.to.clone());
    let gates = entry.gates();
    let gate = gates.get(&key).cloned().unwrap_or_default();
    let wall = entry.node.clock.wall();
    gate.decide(rollout, wall, entry.node.now(), &entry.weights().gate)
}

/// Appends the action.  Its change id is the same at every entry, and it
/// names the revision, so that two entries move a roll-out one step, not two.
async fn publish(
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
            entry.node.wait_for_config(offset + 1, LOOK_MS * 4).await;
        }
        Err(err) => warn!("event=rollout_unpublished model={model} why=\"{err}\""),
    }
}
