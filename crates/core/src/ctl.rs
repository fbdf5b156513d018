//! The operators' client, `currantbank ctl`.

use std::io::Read;

use admin::{
    AdminError, ApplyReply, ApplyRequest, AuditReply, AuditRequest, ListReply,
    OperatorClient, Outcome, StatusReply, change_to_proto,
};
use config::{Change, ObjectKey};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use crate::{
    exit::Exit,
    flags::{Action, CommonArgs, CtlArgs},
};

/// Environment variable with the operator's token.
const TOKEN_VARIABLE: &str = "CURRANTBANK_TOKEN";

/// Runs `currantbank ctl`.
pub fn run(args: &CtlArgs) -> Exit {
    if matches!(args.action, Action::Digest) {
        return print_token_digest(args.common.json);
    }
    let token = match read_token(&args.common) {
        Ok(token) => token,
        Err(message) => {
            eprintln!("currantbank: {message}");
            return Exit::Usage;
        }
    };
    let runtime =
        tokio::runtime::Runtime::new().expect("building a tokio runtime failed");
    let client = OperatorClient::new(args.common.entry, &token, args.common.timeout_ms);
    match runtime.block_on(execute(&client, args)) {
        Ok(exit) => exit,
        Err(err) => {
            eprintln!("currantbank: {err}");
            Exit::Failed
        }
    }
}

fn read_token(common: &CommonArgs) -> Result<String, String> {
    if let Some(file) = &common.token_file {
        let text = std::fs::read_to_string(file).map_err(|err| {
            format!("cannot read {} ({err}); check the path", file.display())
        })?;
        return Ok(text.lines().next().unwrap_or_default().trim().to_owned());
    }
    std::env::var(TOKEN_VARIABLE)
        .map_err(|_| format!("no token; set {TOKEN_VARIABLE} or use --token-file"))
}

fn print_token_digest(as_json: bool) -> Exit {
    let mut token = String::new();
    if std::io::stdin().read_to_string(&mut token).is_err() {
        eprintln!(
            "currantbank: cannot read the token; pass it on standard input as UTF-8 text"
        );
        return Exit::Failed;
    }
    let digest = hex::encode(Sha256::digest(token.trim_end_matches(['\r', '\n'])));
    if as_json {
        println!("{}", json!({"token_digest": digest}));
    } else {
        println!("{digest}");
    }
    Exit::Done
}

async fn execute(client: &OperatorClient, args: &CtlArgs) -> Result<Exit, AdminError> {
    let as_json = args.common.json;
    match &args.action {
        Action::Apply(change) => apply(client, &args.common, change).await,
        Action::List(kind) => {
            print_list(&client.list(kind).await?, as_json);
            Ok(Exit::Done)
        }
        Action::Status => {
            print_status(&client.status().await?, as_json);
            Ok(Exit::Done)
        }
        Action::Audit {
            who,
            object,
            since_ms,
            limit,
        } => {
            let request = AuditRequest {
                who: who.clone().into(),
                object: object.clone().into(),
                since_ms: *since_ms,
                limit: *limit,
            };
            print_audit(&client.audit(request).await?, as_json);
            Ok(Exit::Done)
        }
        Action::Digest => Ok(Exit::Done),
    }
}

/// Returns the current revision of an object, or 0 if it does not exist.
async fn current_revision(
    client: &OperatorClient,
    key: &ObjectKey,
) -> Result<u64, AdminError> {
    let text = key.to_string();
    let (kind, name) = text.split_once('/').unwrap_or((&text, ""));
    let listed = client.list(kind).await?;
    let found = listed.objects.iter().find(|object| object.name == name);
    Ok(found.map_or(0, |object| object.revision))
}

async fn apply(
    client: &OperatorClient,
    common: &CommonArgs,
    change: &Change,
) -> Result<Exit, AdminError> {
    let expected_revision = match common.expect {
        Some(expected) => expected,
        None => current_revision(client, &change.object_key()).await?,
    };
    let generate_id = || format!("ctl-{:032x}", rand::random::<u128>());
    let change_id = common.change_id.clone().unwrap_or_else(generate_id);
    let request = ApplyRequest {
        change_id: change_id.clone().into(),
        expected_revision,
        change: Some(change_to_proto(change)),
    };
    let reply = match client.apply(request).await {
        Ok(reply) => reply,
        Err(AdminError::Unavailable(message)) => {
            eprintln!(
                "outcome unknown: {message}; repeat with --change-id {change_id}"
            );
            return Ok(Exit::Unknown);
        }
        Err(err) => return Err(err),
    };
    print_reply(&reply, &change.object_key(), &change_id, common.json);
    Ok(match reply.outcome {
        Outcome::ACCEPTED => Exit::Done,
        Outcome::CONFLICT => Exit::Conflict,
        Outcome::INVALID => Exit::Invalid,
        _ => Exit::Unknown,
    })
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::ACCEPTED => "accepted",
        Outcome::CONFLICT => "conflict",
        Outcome::INVALID => "invalid",
        _ => "unknown",
    }
}

fn print_reply(reply: &ApplyReply, object: &ObjectKey, change_id: &str, as_json: bool) {
    let outcome = outcome_name(reply.outcome);
    if as_json {
        let body = json!({
            "outcome": outcome,
            "object": object.to_string(),
            "revision": reply.revision,
            "offset": reply.offset,
            "change_id": change_id,
            "detail": reply.detail.as_str(),
        });
        println!("{body}");
        return;
    }
    match reply.outcome {
        Outcome::ACCEPTED => println!("accepted {object} revision={}", reply.revision),
        Outcome::UNKNOWN => {
            eprintln!("unknown {object}: {}", reply.detail);
            eprintln!("repeat with --change-id {change_id}");
        }
        _ => eprintln!("{outcome} {object}: {}", reply.detail),
    }
}

fn parse_or_null(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or(Value::Null)
}

fn print_list(reply: &ListReply, as_json: bool) {
    if as_json {
        let objects: Vec<Value> = reply
            .objects
            .iter()
            .map(|object| {
                json!({
                    "name": object.name.as_str(),
                    "revision": object.revision,
                    "value": parse_or_null(&object.json),
                })
            })
            .collect();
        println!(
            "{}",
            json!({"config_offset": reply.config_offset, "objects": objects})
        );
        return;
    }
    for object in &reply.objects {
        println!(
            "{} revision={} {}",
            object.name, object.revision, object.json
        );
    }
}

fn print_status(reply: &StatusReply, as_json: bool) {
    if as_json {
        let instances: Vec<Value> = reply
            .instances
            .iter()
            .map(|instance| {
                json!({
                    "instance": instance.instance.as_str(),
                    "role": instance.role.as_str(),
                    "room": instance.room.as_str(),
                    "config_offset": instance.config_offset,
                    "leaving": instance.leaving,
                    "heard_ms": instance.heard_ms,
                    "log_age_ms": instance.log_age_ms,
                    "takes_work": instance.takes_work,
                })
            })
            .collect();
        let body = json!({
            "config_offset": reply.config_offset,
            "digest": reply.digest.as_str(),
            "store": reply.store.as_str(),
            "bills_held": reply.bills_held,
            "claims_pending": reply.claims_pending,
            "instances": instances,
        });
        println!("{body}");
        return;
    }
    println!(
        "config_offset={} store={} bills_held={} claims_pending={}",
        reply.config_offset, reply.store, reply.bills_held, reply.claims_pending
    );
    for instance in &reply.instances {
        println!(
            "{} role={} room={} config_offset={} leaving={} takes_work={} heard_ms={} log_age_ms={}",
            instance.instance,
            instance.role,
            instance.room,
            instance.config_offset,
            instance.leaving,
            instance.takes_work,
            instance.heard_ms,
            instance.log_age_ms,
        );
    }
}

fn print_audit(reply: &AuditReply, as_json: bool) {
    for entry in &reply.entries {
        if as_json {
            let body = json!({
                "offset": entry.offset,
                "at_ms": entry.at_ms,
                "who": entry.who.as_str(),
                "change_id": entry.change_id.as_str(),
                "object": entry.object.as_str(),
                "verdict": entry.verdict.as_str(),
                "before": parse_or_null(&entry.before),
                "after": parse_or_null(&entry.after),
            });
            println!("{body}");
        } else {
            println!(
                "offset={} at_ms={} who={} object={} verdict={:?} before={} after={}",
                entry.offset,
                entry.at_ms,
                entry.who,
                entry.object,
                entry.verdict.as_str(),
                entry.before,
                entry.after,
            );
        }
    }
}
