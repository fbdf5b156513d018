//! The datagrams between gateways, and the bounds within which they are
//! accepted.
//!
//! A [`PeerStatus`] contains its sender's full state, so a lost one is replaced by
//! the next. A [`PeerUpdate`] is sent immediately after a large request, since
//! otherwise all gateways would choose the same idle endpoint until the next status.
//!
//! Datagrams are not authenticated, so their values are bounded. They can change
//! load predictions, set the version of a session, halt or end a rollout, make this
//! gateway prefer other endpoints for some seconds, keep it from using failure domains
//! while it cannot read the log itself, slow it down at an endpoint for the time of a
//! warm-up, make it fetch a newer configuration, delay or refuse requests to plain
//! services, or hold back requests for some seconds whose content no recent answer had;
//! they never change what a request may do.

use std::net::SocketAddr;

use catalog::RolloutState;
use route::{DispatchNotice, DrainNotice, Evidence, RunKey, TrackedLoad};
use serde::{Deserialize, Serialize};
use store::LogPosition;

/// Maximum number of endpoints in one status.
pub(crate) const ENDPOINTS_MAX: usize = 48;

/// Maximum number of peers in one status.
pub(crate) const ADVERTISED_PEERS_MAX: usize = 16;

/// Maximum number of evacuated failure domains in one status.
pub(crate) const EVACUATED_MAX: usize = 16;

/// Maximum number of rollouts in one status.
pub(crate) const ROLLOUTS_MAX: usize = 2;

/// Maximum number of counts in the evidence on one rollout, two for each route.
pub(crate) const ROUTES_MAX: usize = 16;

/// Maximum number of dispatches, of sessions, and of draining endpoints in one
/// update.
pub(crate) const DISPATCHES_MAX: usize = 32;

/// Maximum number of endpoints, and of parts of a prompt, in one question.
const QUERIED_MAX: usize = 16;

/// Maximum number of limits in one datagram.
pub(crate) const LIMITS_MAX: usize = 64;

/// Maximum number of warm-ups in one datagram.
pub(crate) const WARMUPS_MAX: usize = 32;

/// Maximum number of components of a request that may be held responsible for a crash.
pub(crate) const COMPONENTS_MAX: usize = 32;

/// Maximum number of digests of one whole request.
pub(crate) const WHOLES_MAX: usize = 2;

/// Maximum age of a cut request when it is reported, ms.
pub(crate) const CUT_AGE_MAX_MS: u64 = 10_000;

/// Maximum evidence count that is accepted from one peer, so that one faulty
/// datagram cannot outweigh all other evidence.
pub(crate) const COUNT_MAX: u64 = 100_000;

/// Maximum token count that is accepted for one dispatch: a prompt of half a
/// million tokens, weighted by the pace of the largest model.
pub(crate) const TOKENS_MAX: u32 = 1_500_000;

/// A gateway's report on one rollout.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutReport {
    /// Digest of the service and the target, which identify the rollout: the
    /// position of its order changes if the log is restored from an older copy.
    pub rollout_digest: u64,
    /// Time since the order, ms; `None` if the start is unknown.
    pub elapsed_ms: Option<u64>,
    /// Evidence from the sender's own requests, by the key of [`route::Aspect`].
    pub evidence: Vec<(u64, Evidence)>,
    /// Whether the sender has halted the rollout, because of the evidence or of a
    /// peer's report.
    pub halted: bool,
    /// Whether the sender routes all requests to the new version.
    pub traffic_shifted: bool,
    /// The sender's requests in progress on other versions.
    pub old_running: u32,
    /// How the rollout ended, if it did and the log has lost the record of it.
    pub ended: Option<RolloutEnd>,
}

/// How a rollout ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RolloutEnd {
    /// The target serves all requests.
    Completed,
    /// The target is withdrawn.
    RolledBack,
}

impl RolloutEnd {
    /// Returns the end that a state stands for; `None` if the rollout is not over.
    pub(crate) fn of(state: RolloutState) -> Option<Self> {
        match state {
            RolloutState::Running => None,
            RolloutState::Completed => Some(RolloutEnd::Completed),
            RolloutState::RolledBack => Some(RolloutEnd::RolledBack),
        }
    }
}

impl From<RolloutEnd> for RolloutState {
    fn from(end: RolloutEnd) -> Self {
        match end {
            RolloutEnd::Completed => RolloutState::Completed,
            RolloutEnd::RolledBack => RolloutState::RolledBack,
        }
    }
}

/// A datagram between gateways, encoded by postcard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Datagram {
    /// The sender's full state.
    Status(PeerStatus),
    /// Requests and sessions since the last update.
    Update(PeerUpdate),
    /// Asks for the load of endpoints that the receiver tracks.
    LoadQuestion(LoadQuestion),
    /// Answers a [`LoadQuestion`].
    LoadAnswer(LoadAnswer),
    /// Tells of a run at an endpoint that the receiver tracks.
    LoadReport(LoadReport),
    /// Limits that endpoints named, or no longer name.
    Limits(Vec<LimitNotice>),
    /// Asks for a request to an endpoint that the receiver tracks.
    LimitQuestion(LimitQuestion),
    /// Answers a [`LimitQuestion`].
    LimitAnswer(LimitAnswer),
    /// Tells of a request that its endpoint cut off.
    Cut(CutReport),
    /// Tells that an endpoint seems to have crashed.
    Crashed(CrashNotice),
    /// Tells what is held back, or no longer is.
    Quarantine(QuarantineNotice),
    /// Tells of answers that show a suspicion to be wrong.
    Sound(SoundNotice),
    /// Tells of endpoints that are warming up.
    Warmups(Vec<WarmupNotice>),
}

/// A request that its endpoint cut off, for the gateways that count crashes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CutReport {
    /// Digest of the service.
    pub service: u64,
    /// Digest of the endpoint's version.
    pub version: u64,
    /// Digest of the endpoint's id.
    pub endpoint: u64,
    /// Start time of the endpoint's incarnation, ms since the Unix epoch.
    pub born_ms: u64,
    /// Good answers of the sender from this service in the last
    /// [`route::CUT_RATE_WINDOW_MS`].
    pub answered: u32,
    /// Time since the request was cut off or given up, ms.
    pub age_ms: u64,
    /// Digests of the whole request, without those of recent good answers.
    pub wholes: Vec<u64>,
    /// Tells the request from others, also if they are alike as a whole.
    pub identity: u64,
    /// Digests of the components that other requests share, without those of recent good
    /// answers.
    pub shared: Vec<u64>,
}

/// An endpoint that seems to have crashed, for gateways that gave up requests there.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CrashNotice {
    /// Digest of the service.
    pub service: u64,
    /// Digest of the endpoint's id.
    pub endpoint: u64,
    /// Start time of the endpoint's incarnation, ms since the Unix epoch.
    pub born_ms: u64,
}

/// A set of components whose requests are held back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineNotice {
    /// Digest of the service.
    pub service: u64,
    /// Digests of the components.
    pub components: Vec<u64>,
    /// Digest of the version on which endpoints crashed.
    pub version: u64,
    /// Time for which they have been held back, ms.
    pub age_ms: u64,
    /// Whether they still are.
    pub state: QuarantineState,
}

/// Whether a set of components is held back.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuarantineState {
    /// Requests with all of them are held back.
    Held,
    /// They are served again.
    Lifted,
}

/// Components of requests that were answered well.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SoundNotice {
    /// Digest of the service.
    pub service: u64,
    /// Digests of the components.
    pub components: Vec<u64>,
}

/// The limit of an endpoint on the requests of all gateways.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitNotice {
    /// Digest of the endpoint's id.
    pub endpoint: u64,
    /// Thousandths of a request a second; `None` if the endpoint names none.
    pub milli_per_s: Option<u64>,
}

/// Asks whether one request may be sent to an endpoint that named a limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitQuestion {
    /// Number that the answer repeats.
    pub number: u64,
    /// The limit, which the receiver may not have heard of.
    pub limit: LimitNotice,
    /// Thousandths of a request a second at which the endpoint warms up, if it does.
    pub warmup_milli_per_s: Option<u64>,
}

/// An endpoint that is warming up.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WarmupNotice {
    /// Digest of the endpoint's id.
    pub endpoint: u64,
    /// Start time of the incarnation, ms since the Unix epoch.
    pub born_ms: u64,
    /// Time left, ms.
    pub left_ms: u64,
    /// Why the sender believes it.
    pub reason: WarmupReason,
}

/// Why a peer says that an endpoint is warming up.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WarmupReason {
    /// The endpoint said so in a response.
    Reported,
    /// It cannot be reached, or its failure domain was evacuated.
    Assumed,
    /// It answers again after it could not be reached.
    Returned,
}

/// Grants one request, or does not.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitAnswer {
    /// Number of the question.
    pub number: u64,
    /// Time after which to ask again, ms; zero if the request is granted.
    pub wait_ms: u32,
}

/// Asks for the load of endpoints before a request is sent to one of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadQuestion {
    /// Number that the answer repeats.
    pub number: u64,
    /// Digests of the endpoints' ids.
    pub endpoints: Vec<u64>,
    /// Salted digests of the shared parts of the request's prompt, in order.
    pub prefixes: Vec<u64>,
}

/// The load of endpoints that the sender tracks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadAnswer {
    /// Number of the question.
    pub number: u64,
    /// Load by digest of the endpoint's id.
    pub loads: Vec<(u64, TrackedLoad)>,
}

/// What happened to a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Digest of the endpoint's id.
    pub endpoint: u64,
    /// The run.
    pub key: RunKey,
    /// What happened.
    pub event: RunEvent,
}

/// An event in the life of a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunEvent {
    /// The request was sent to the endpoint.
    Started {
        /// Prompt tokens to process, scaled by the model's pace.
        tokens: u32,
        /// Salted digests of the shared parts of the prompt, in order.
        prefixes: Vec<u64>,
    },
    /// The endpoint has processed the prompt.
    PrefillEnded,
    /// The request ended.
    Ended,
}

/// Requests and sessions that are announced to the peers immediately.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerUpdate {
    /// Start time of the sender, ms since the Unix epoch.
    pub incarnation_ms: u64,
    /// Requests sent since the last update.
    pub dispatches: Vec<DispatchNotice>,
    /// Digests of a session's id and of its version.
    pub sessions: Vec<(u64, u64)>,
    /// Endpoints that told the sender that they are draining.
    pub draining: Vec<DrainNotice>,
}

/// Positions up to which a gateway has read the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogPositions {
    /// End of the operators' topic.
    pub operator: LogPosition,
    /// End of the endpoints' topic.
    pub endpoints: LogPosition,
}

/// A gateway's full state, sent periodically.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Start time of the sender, ms since the Unix epoch; distinguishes its
    /// incarnations.
    pub incarnation_ms: u64,
    /// Number of the status within the incarnation, from 1.
    pub sequence: u64,
    /// Version of the sender's configuration; zero for none.
    pub catalog_version: u64,
    /// Whether the sender can read the log, and so append records.
    pub can_read_log: bool,
    /// Whether the sender takes new callers.
    pub takes_callers: bool,
    /// Positions up to which the sender has read the log.
    pub log_positions: LogPositions,
    /// For each endpoint: digest of its id, number of the sender's requests in
    /// progress, and number of their prompt tokens not yet processed.
    pub endpoint_load: Vec<(u64, u32, u32)>,
    /// Reports on active rollouts.
    pub rollouts: Vec<RolloutReport>,
    /// Peers from which the sender recently received a status.
    pub peers: Vec<SocketAddr>,
    /// Digests of the failure domains that the operators' topic names as evacuated, up
    /// to the sender's position there.
    pub evacuated: Vec<u64>,
}

impl PeerStatus {
    /// Adds a request to the load of `endpoint`; the next status replaces the sum.
    pub(crate) fn add_load(&mut self, endpoint: u64, tokens: u32) {
        let rows = self.endpoint_load.len();
        let mut known = self.endpoint_load.iter_mut();
        match known.find(|(id, _, _)| *id == endpoint) {
            Some((_, count, sum)) => {
                *count = count.saturating_add(1);
                *sum = sum.saturating_add(tokens);
            }
            None if rows < ENDPOINTS_MAX => {
                self.endpoint_load.push((endpoint, 1, tokens));
            }
            None => {}
        }
    }

    fn is_within_bounds(&self) -> bool {
        self.endpoint_load.len() <= ENDPOINTS_MAX
            && self.rollouts.len() <= ROLLOUTS_MAX
            && self.peers.len() <= ADVERTISED_PEERS_MAX
            && self.evacuated.len() <= EVACUATED_MAX
            && self.rollouts.iter().all(is_within_bounds)
    }
}

/// Decodes a datagram; returns `None` if it is malformed or out of bounds.
pub fn decode_datagram(bytes: &[u8]) -> Option<Datagram> {
    let datagram: Datagram = postcard::from_bytes(bytes).ok()?;
    let sane = match &datagram {
        Datagram::Status(status) => status.is_within_bounds(),
        Datagram::Update(update) => {
            let mut tokens = update.dispatches.iter().map(|sent| sent.tokens);
            update.dispatches.len() <= DISPATCHES_MAX
                && update.sessions.len() <= DISPATCHES_MAX
                && update.draining.len() <= DISPATCHES_MAX
                && tokens.all(|tokens| tokens <= TOKENS_MAX)
        }
        Datagram::LoadQuestion(question) => {
            question.endpoints.len() <= QUERIED_MAX
                && question.prefixes.len() <= QUERIED_MAX
        }
        Datagram::LoadAnswer(answer) => answer.loads.len() <= QUERIED_MAX,
        Datagram::LoadReport(report) => match &report.event {
            RunEvent::Started { tokens, prefixes } => {
                *tokens <= TOKENS_MAX && prefixes.len() <= QUERIED_MAX
            }
            RunEvent::PrefillEnded | RunEvent::Ended => true,
        },
        Datagram::Limits(limits) => limits.len() <= LIMITS_MAX,
        Datagram::Warmups(notices) => notices.len() <= WARMUPS_MAX,
        Datagram::LimitQuestion(_) | Datagram::LimitAnswer(_) => true,
        Datagram::Crashed(_) => true,
        Datagram::Cut(report) => {
            report.shared.len() <= COMPONENTS_MAX
                && report.wholes.len() <= WHOLES_MAX
                && report.age_ms <= CUT_AGE_MAX_MS
        }
        Datagram::Quarantine(notice) => notice.components.len() <= COMPONENTS_MAX,
        Datagram::Sound(notice) => notice.components.len() <= COMPONENTS_MAX,
    };
    sane.then_some(datagram)
}

fn is_within_bounds(report: &RolloutReport) -> bool {
    let counts = |e: &Evidence| [e.new_good, e.new_bad, e.old_good, e.old_bad];
    let mut evidence = report.evidence.iter().flat_map(|(_, e)| counts(e));
    report.evidence.len() <= ROUTES_MAX && evidence.all(|count| count <= COUNT_MAX)
}
