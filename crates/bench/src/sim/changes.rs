//! The initial configuration of a run, and changes to it.

use config::{
    Change, ChangeRecord, Config, ModelSpec, RolloutSpec, TeamSpec, VersionSpec,
};

use super::model::{Situation, Variant, team_name};

/// Applies a change as the record at `offset` of the log.
pub(super) fn apply_change(
    config: &mut Config,
    offset: u64,
    change_id: &str,
    expected_revision: u64,
    at_ms: u64,
    change: Change,
) {
    let record = ChangeRecord {
        change_id: change_id.to_owned(),
        expected_revision,
        at_ms,
        change,
        ..ChangeRecord::default()
    };
    config.apply(offset, &record.encode());
}

/// Returns a configuration with two models, ten teams and, if the situation calls
/// for it, a rollout.
pub(super) fn initial_config(variant: Variant, situation: Situation) -> Config {
    let mut config = Config::default();
    let mut put = |expected_revision: u64, change: Change| {
        let offset = config.offset;
        apply_change(
            &mut config,
            offset,
            &format!("c{offset}"),
            expected_revision,
            0,
            change,
        );
    };
    for model in ["small", "draft"] {
        let spec = |serving: &str| ModelSpec {
            name: model.into(),
            serving: serving.into(),
        };
        put(0, Change::Model(spec("")));
        for version in ["v1", "v2"] {
            let spec = VersionSpec {
                model: model.into(),
                version: version.into(),
                ..VersionSpec::default()
            };
            put(0, Change::Version(spec));
        }
        let revision = if model == "small" { 1 } else { 5 };
        put(revision, Change::Model(spec("v1")));
    }
    for team in 0..10 {
        put(
            0,
            Change::Team(TeamSpec {
                name: team_name(team),
                allowed: vec!["small".into(), "draft".into()],
                weight: 1,
                ..TeamSpec::default()
            }),
        );
    }
    let has_rollout = matches!(
        situation,
        Situation::BadVersion
            | Situation::BadForOneTeam
            | Situation::BadSlowly
            | Situation::BadRaterSilent
            | Situation::GoodVersion
    );
    if has_rollout {
        put(
            0,
            Change::Rollout(RolloutSpec {
                model: "draft".into(),
                to: "v2".into(),
                percents: vec![5, 25, 50, 100],
                gate: variant.gate,
                step_ms: 60_000,
            }),
        );
    }
    config
}
