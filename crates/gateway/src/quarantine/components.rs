//! What is known of a request and may be the cause of crashes.

use std::rc::Rc;

use clock::Millis;
use http::{HeaderValue, Method};
use platform::Prompt;
use route::{digest_bytes, digest_pair, digest_text};

use crate::datagram::{COMPONENTS_MAX, CrashNotice, WHOLES_MAX};

/// Digests of what is known of a request and may be the cause of crashes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Components {
    /// The request as a whole, without the description of its prompt.
    pub whole: u64,
    /// The same with all parts of the prompt.
    pub with_prompt: u64,
    /// The parts of its prompt that other requests share.
    pub shared: Vec<u64>,
}

impl Components {
    pub fn wholes(&self) -> impl Iterator<Item = &u64> {
        let with_prompt = (self.with_prompt != self.whole).then_some(&self.with_prompt);
        std::iter::once(&self.whole).chain(with_prompt)
    }

    pub fn iter(&self) -> impl Iterator<Item = &u64> {
        self.wholes().chain(&self.shared)
    }

    pub fn contains(&self, component: &u64) -> bool {
        self.iter().any(|known| known == component)
    }
}

/// A request as it was sent to an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct RequestTrace {
    /// Digest of the service.
    pub service: u64,
    /// Digest of the endpoint's version.
    pub version: u64,
    /// Digest of the endpoint's id.
    pub endpoint: u64,
    /// Start time of the endpoint's incarnation, ms since the Unix epoch.
    pub born_ms: u64,
    /// What the request held.
    pub components: Rc<Components>,
    /// When it was cut off or given up.
    pub at: Millis,
}

impl RequestTrace {
    pub fn crash_notice(&self) -> CrashNotice {
        CrashNotice {
            service: self.service,
            endpoint: self.endpoint,
            born_ms: self.born_ms,
        }
    }
}

/// What a request is recognized by when it comes again, with another id.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestContent<'a> {
    pub service: &'a str,
    pub method: &'a Method,
    /// Path and query.
    pub target: &'a str,
    /// Name of the caller's team, if it is known.
    pub team: Option<&'a HeaderValue>,
    pub body: &'a [u8],
    pub prompt: &'a Prompt,
}

impl RequestContent<'_> {
    /// Returns the digests of what may be the cause of crashes.
    pub fn components(&self) -> Components {
        let service = digest_text(self.service);
        let whole = digest_pair(service, self.digest());
        let parts = self.prompt.parts.iter();
        let with_prompt = parts.fold(whole, |all, part| digest_pair(all, part.id));
        let shared = self
            .prompt
            .shared_parts()
            .iter()
            .take(COMPONENTS_MAX - WHOLES_MAX);
        Components {
            whole,
            with_prompt,
            shared: shared.map(|part| digest_pair(service, part.id)).collect(),
        }
    }

    fn digest(&self) -> u64 {
        let team = self.team.map_or(0, |team| digest_bytes(team.as_bytes()));
        let head = digest_text(self.method.as_str());
        let head = digest_pair(head, digest_text(self.target));
        digest_pair(digest_pair(head, team), digest_bytes(self.body))
    }
}
