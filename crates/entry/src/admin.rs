//! gRPC service for operators.

use std::sync::Arc;

use admin::{
    Admin, AdminServer, ApplyReply, ApplyRequest, AuditReply, AuditRequest, Instance,
    ListReply, ListRequest, Listed, Outcome, StatusReply, StatusRequest,
    change_from_proto,
};
use clock::Clock;
use config::{AuditFilter, ChangeRecord, Config, Object, Verdict};
use ingress::Connections;
use log::{error, info};
use serde::Serialize;
use sha2::{Digest, Sha256};
use store::CONFIG_STREAM;
use subtle::ConstantTimeEq;
use telemetry::Event;
use tokio::net::TcpListener;
use volo_grpc::{
    Request, Response, Status,
    server::{Server, ServiceBuilder},
};

use crate::{
    Entry, bounded_message::BoundedMessages, operator_listener::OperatorListener,
};

/// Maximum time to wait until a change is read back from the log, ms.
const READ_BACK_TIMEOUT_MS: u64 = 10_000;

/// Maximum interval at which a pending change is polled, ms.
const READ_BACK_POLL_INTERVAL_MS: u64 = 50;

/// Maximum number of calls in progress on one connection.
const CALLS_MAX: u32 = 32;

/// Maximum length of the headers of a call, bytes.
const HEADERS_MAX_BYTES: u32 = 16 * 1024;

/// Maximum length of a change id, bytes.
const CHANGE_ID_MAX_BYTES: usize = 128;

struct AdminService(Arc<Entry>);

/// Serves operators until the process exits.
pub(crate) fn spawn(entry: Arc<Entry>, listener: TcpListener) {
    let open_max = entry.shares.internal_connections();
    let connections = Connections::new(open_max, entry.node.clock.clone());
    let incoming = OperatorListener::new(listener, connections);
    let messages = BoundedMessages(entry.clone());
    let service = ServiceBuilder::new(AdminServer::new(AdminService(entry))).build();
    let server = Server::new()
        .http2_max_concurrent_streams(CALLS_MAX)
        .http2_max_header_list_size(HEADERS_MAX_BYTES)
        .layer_tower(messages)
        .add_service(service);
    tokio::spawn(async move {
        let shutdown = std::future::pending::<std::io::Result<()>>();
        if let Err(err) = server.run_with_shutdown(incoming, shutdown).await {
            error!("{}", Event::new("admin_failed").with("why", err));
        }
    });
}

impl AdminService {
    /// Returns the operator that owns the token. Tokens of teams are not
    /// accepted.
    // The error type is defined by the gRPC library.
    #[allow(clippy::result_large_err)]
    fn authenticate<T>(&self, request: &Request<T>) -> Result<String, Status> {
        let value = request.metadata().get("authorization");
        let value = value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        let token = value.strip_prefix("Bearer ").unwrap_or_default();
        let digest = hex::encode(Sha256::digest(token));
        let mut found = None;
        for operator in &self.0.node.settings.secrets.operators {
            let known = operator.token_digest.as_bytes();
            if bool::from(known.ct_eq(digest.as_bytes())) {
                found = Some(operator.name.clone());
            }
        }
        found.ok_or_else(|| {
            Status::unauthenticated(
                "the token belongs to no operator; set CURRANTBANK_TOKEN",
            )
        })
    }
}

impl Admin for AdminService {
    async fn apply(
        &self,
        request: Request<ApplyRequest>,
    ) -> Result<Response<ApplyReply>, Status> {
        let who = self.authenticate(&request)?;
        let message = request.into_inner();
        Ok(Response::new(apply(&self.0, &who, message).await))
    }

    async fn list(
        &self,
        request: Request<ListRequest>,
    ) -> Result<Response<ListReply>, Status> {
        self.authenticate(&request)?;
        let config = self.0.config();
        let kind = request.into_inner().kind;
        let objects = list(&config, &kind).ok_or_else(|| {
            Status::invalid_argument(
                "unknown kind; use team, model, version, cascade, rollout, service or placement",
            )
        })?;
        Ok(Response::new(ListReply {
            objects,
            config_offset: config.offset,
        }))
    }

    async fn status(
        &self,
        request: Request<StatusRequest>,
    ) -> Result<Response<StatusReply>, Status> {
        self.authenticate(&request)?;
        Ok(Response::new(status(&self.0)))
    }

    async fn audit(
        &self,
        request: Request<AuditRequest>,
    ) -> Result<Response<AuditReply>, Status> {
        self.authenticate(&request)?;
        let message = request.into_inner();
        let filter = AuditFilter {
            who: &message.who,
            object: &message.object,
            since_ms: message.since_ms,
            limit: message.limit as usize,
        };
        let trail = self.0.config().audit();
        let entries =
            filter
                .select(&trail)
                .into_iter()
                .map(|entry| admin::AuditEntry {
                    offset: entry.offset,
                    at_ms: entry.at_ms,
                    who: entry.who.clone().into(),
                    change_id: entry.change_id.clone().into(),
                    object: entry.object.clone().into(),
                    verdict: entry.verdict.clone().into(),
                    before: entry.before.clone().into(),
                    after: entry.after.clone().into(),
                });
        Ok(Response::new(AuditReply {
            entries: entries.collect(),
        }))
    }
}

fn invalid(detail: &str) -> ApplyReply {
    ApplyReply {
        outcome: Outcome::INVALID,
        detail: detail.to_owned().into(),
        ..ApplyReply::default()
    }
}

/// Appends a change and waits for its verdict. The verdict is reached when the
/// record is read back, so an append with an unknown result is looked up by its
/// change id.
async fn apply(entry: &Entry, who: &str, message: ApplyRequest) -> ApplyReply {
    let change_id = message.change_id.to_string();
    if change_id.is_empty() || change_id.len() > CHANGE_ID_MAX_BYTES {
        return invalid("the change id must be 1 to 128 bytes long; choose another");
    }
    let Some(change) = &message.change else {
        return invalid("the request contains no change; set exactly one");
    };
    let change = match change_from_proto(change) {
        Ok(change) => change,
        Err(err) => return invalid(&err.to_string()),
    };
    let object = change.object_key();
    if let Some(verdict) = entry.config().verdict_of(&change_id) {
        return reply(entry, verdict, &object);
    }
    let record = ChangeRecord {
        change_id: change_id.clone(),
        who: who.to_owned(),
        at_ms: entry.node.clock.wall().0,
        expected_revision: message.expected_revision,
        change,
        ..ChangeRecord::default()
    };
    let appended = entry
        .node
        .store
        .append(CONFIG_STREAM, &record.encode())
        .await;
    let event = Event::new("change")
        .with("who", who)
        .with("change_id", &change_id)
        .with("object", &object)
        .with("appended", appended.is_ok());
    info!("{event}");
    if let Err(err) = &appended
        && !err.outcome_unknown()
    {
        return ApplyReply {
            outcome: Outcome::UNKNOWN,
            detail: format!(
                "{err}; nothing was changed, send it again with the same id"
            )
            .into(),
            ..ApplyReply::default()
        };
    }
    match await_verdict(entry, &change_id).await {
        Some(verdict) => reply(entry, verdict, &object),
        None => ApplyReply {
            outcome: Outcome::UNKNOWN,
            detail:
                "the change was not read back in time; send it again with the same id"
                    .into(),
            ..ApplyReply::default()
        },
    }
}

async fn await_verdict(entry: &Entry, change_id: &str) -> Option<Verdict> {
    let until = entry.node.now().plus(READ_BACK_TIMEOUT_MS);
    let mut watch = entry.node.view.watch();
    loop {
        if let Some(verdict) = entry.config().verdict_of(change_id) {
            return Some(verdict);
        }
        if entry.node.now() >= until {
            return None;
        }
        let poll_interval =
            std::time::Duration::from_millis(READ_BACK_POLL_INTERVAL_MS);
        let _ = tokio::time::timeout(poll_interval, watch.changed()).await;
    }
}

fn reply(entry: &Entry, verdict: Verdict, object: &config::ObjectKey) -> ApplyReply {
    let revision = entry.config().revision(object);
    match verdict {
        Verdict::Accepted { revision: accepted } => ApplyReply {
            outcome: Outcome::ACCEPTED,
            offset: accepted - 1,
            detail: "".into(),
            revision: accepted,
        },
        Verdict::Rejected(err @ config::ChangeError::Stale { .. }) => ApplyReply {
            outcome: Outcome::CONFLICT,
            detail: err.to_string().into(),
            revision,
            ..ApplyReply::default()
        },
        Verdict::Rejected(err) => ApplyReply {
            outcome: Outcome::INVALID,
            detail: err.to_string().into(),
            revision,
            ..ApplyReply::default()
        },
        Verdict::Duplicate(earlier) => reply(entry, *earlier, object),
        Verdict::Snapshot | Verdict::Skipped | Verdict::UnsupportedVersion => {
            ApplyReply {
                outcome: Outcome::UNKNOWN,
                detail: "this entry cannot read the record as a change; upgrade it"
                    .into(),
                ..ApplyReply::default()
            }
        }
    }
}

fn list(config: &Config, kind: &str) -> Option<Vec<Listed>> {
    fn listed<T>(name: &str, object: &Object<T>) -> Listed
    where
        T: Serialize,
    {
        let json = serde_json::to_string(&object.value).unwrap_or_default();
        Listed {
            name: name.to_owned().into(),
            revision: object.revision,
            json: json.into(),
        }
    }
    Some(match kind {
        "team" => config
            .teams
            .iter()
            .map(|(name, e)| listed(name, e))
            .collect(),
        "model" => config
            .models
            .iter()
            .map(|(name, e)| listed(name, e))
            .collect(),
        "cascade" => config
            .cascades
            .iter()
            .map(|(name, e)| listed(name, e))
            .collect(),
        "rollout" => config
            .rollouts
            .iter()
            .map(|(name, e)| listed(name, e))
            .collect(),
        "service" => config
            .services
            .iter()
            .map(|(name, e)| listed(name, e))
            .collect(),
        "placement" => config
            .placements
            .iter()
            .map(|(name, e)| listed(name, e))
            .collect(),
        "version" => config
            .versions
            .iter()
            .flat_map(|(model, all)| {
                all.iter()
                    .map(move |(v, e)| listed(&format!("{model}@{v}"), e))
            })
            .collect(),
        _ => return None,
    })
}

fn status(entry: &Entry) -> StatusReply {
    let now = entry.node.now();
    let config = entry.config();
    let own = entry.node.hello();
    let mut instances = vec![instance(&own, 0, false)];
    let runners = entry.runners();
    for (_, peer) in entry.node.peers().iter() {
        let name = &peer.hello.instance;
        let takes_work = runners.takes_work(name, now, entry.pick_settings.silence_ms);
        instances.push(instance(
            &peer.hello,
            now.since(peer.last_seen_at),
            takes_work,
        ));
    }
    drop(runners);
    StatusReply {
        config_offset: config.offset,
        digest: config.digest().into(),
        instances,
        store: entry.node.health().as_str().into(),
        bills_held: entry.node.bills().len() as u64,
        claims_pending: entry.node.claims.pending() as u64,
    }
}

fn instance(hello: &wire::Hello, heard_ms: u64, takes_work: bool) -> Instance {
    let is_agent = !hello.endpoint.is_empty();
    Instance {
        instance: hello.instance.clone().into(),
        role: if is_agent {
            "agent".into()
        } else {
            "entry".into()
        },
        room: hello.failure_domain.clone().into(),
        config_offset: hello.config_offset,
        leaving: hello.draining,
        heard_ms,
        log_age_ms: hello.log_age_ms,
        takes_work,
    }
}
