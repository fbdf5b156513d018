//! Decides what is held back, from the reports of all gateways and from good answers.

use std::{rc::Rc, time::Duration};

use clock::Millis;
use log::warn;
use route::{ComponentSet, CrashLedger, Grounds, Quarantine, digest_text};

use super::set_text;
use crate::{
    caller_request::CallerRequest,
    datagram::{Datagram, QuarantineNotice, QuarantineState, SoundNotice},
    state::Gateway,
};

/// Time in which reports on one crash are collected before they are evaluated, ms.
const COLLECT_MS: u64 = 20;

/// Maximum number of times that the crashes of a service are evaluated in a row.
const EVALUATIONS_MAX: usize = 4;

impl Gateway {
    /// Records that a request was answered well. `is_framed` is whether the answer told
    /// its own end; one that ended with its connection proves nothing.
    pub fn record_sound(&self, req: &CallerRequest, is_framed: bool) {
        let now = self.now();
        let service = digest_text(&req.service);
        let mut answered = self.quarantine.answered.borrow_mut();
        answered.entry(service).or_default().add(now);
        drop(answered);
        if !is_framed {
            return;
        }
        let mut sound = self.quarantine.sound.borrow_mut();
        sound.record(req.components.iter(), now);
        drop(sound);
        if let Some(ledger) = self.quarantine.ledgers.borrow_mut().get_mut(&service) {
            let shared = req.components.shared.iter();
            // Most requests are never seen again as a whole.
            let wholes = req.components.wholes().filter(|w| ledger.is_involved(**w));
            let components: Vec<u64> = shared.chain(wholes).copied().collect();
            for component in components {
                ledger.record_sound(component, now);
            }
        }
        let is_held = {
            let sets = self.quarantine.sets.borrow();
            let held = |set: &Quarantine| {
                req.components.iter().any(|c| set.components.contains(c))
            };
            sets.iter().any(held)
        };
        if is_held {
            let components: Vec<u64> = req.components.iter().copied().collect();
            self.object(service, &components, now);
        }
    }

    /// Tells the gateways that count crashes that answers with `components` were good.
    pub(super) fn object(&self, service: u64, components: &[u64], now: Millis) {
        let notice = SoundNotice {
            service,
            components: components.to_vec(),
        };
        self.tell_counters(service, &Datagram::Sound(notice.clone()), now);
        if self.is_counter(service, now) {
            self.record_sound_notice(&notice, now);
        }
    }

    /// Records that answers with the components of a notice were good.
    pub fn record_sound_notice(&self, notice: &SoundNotice, now: Millis) {
        if let Some(ledger) = self
            .quarantine
            .ledgers
            .borrow_mut()
            .get_mut(&notice.service)
        {
            for component in &notice.components {
                ledger.record_sound(*component, now);
            }
        }
        let disproved: Vec<Quarantine> = {
            let sets = self.quarantine.sets.borrow();
            let has = |set: &&Quarantine| {
                notice.components.iter().any(|c| set.components.contains(c))
            };
            sets.iter().filter(has).cloned().collect()
        };
        for set in disproved {
            self.lift(&set, "answered");
            let notice = QuarantineNotice {
                state: QuarantineState::Lifted,
                ..self.notice(&set)
            };
            self.tell_peers(&notice);
            let record = self.record_of(&set, true);
            self.forget_pending_lift(&set.components);
            self.quarantine.lifted.borrow_mut().push(record);
            self.quarantine.record_pending.notify_one();
        }
        // What remains of a set may be the cause.
        self.quarantine.reported.notify_one();
    }

    /// Decides what to hold back, from all reports.
    pub(super) fn evaluate_crashes(&self, now: Millis) {
        let services: Vec<u64> = {
            let mut ledgers = self.quarantine.ledgers.borrow_mut();
            ledgers.retain(|_, ledger| ledger.expire(now));
            ledgers.keys().copied().collect()
        };
        for service in services {
            // What is held back explains crashes, so that others may stand out.
            for _ in 0..EVALUATIONS_MAX {
                let suspects = self.suspects(service, now);
                if suspects.is_empty() {
                    break;
                }
                for suspect in suspects {
                    self.hold_suspect(service, suspect, now);
                }
            }
        }
    }

    pub(super) fn suspects(&self, service: u64, now: Millis) -> Vec<ComponentSet> {
        let sets = self.quarantine.sets.borrow();
        let held: Vec<&ComponentSet> = sets.iter().map(|set| &set.components).collect();
        let mut ledgers = self.quarantine.ledgers.borrow_mut();
        let Some(ledger) = ledgers.get_mut(&service) else {
            return Vec::new();
        };
        let sound = self.quarantine.sound.borrow();
        // Bounded, since the ledger does not record every answer once it is full.
        for _ in 0..EVALUATIONS_MAX {
            let suspects = ledger.suspects(&held, now);
            let proven: Vec<u64> = suspects
                .iter()
                .flatten()
                .copied()
                .filter(|component| sound.contains(component, now))
                .collect();
            if proven.is_empty() {
                return suspects;
            }
            for component in proven {
                ledger.record_sound(component, now);
            }
        }
        Vec::new()
    }

    pub(super) fn hold_suspect(
        &self,
        service: u64,
        components: ComponentSet,
        now: Millis,
    ) {
        let text = set_text(&components);
        let version = {
            let ledgers = self.quarantine.ledgers.borrow();
            let ledger = ledgers.get(&service);
            ledger
                .and_then(CrashLedger::last_version)
                .unwrap_or_default()
        };
        let mut sets = self.quarantine.sets.borrow_mut();
        let grounds = Grounds::Decided;
        if !sets.hold(service, components.clone(), version, grounds, 0, now) {
            self.stats.count("quarantined", "no_room");
            return;
        }
        let held = sets
            .find(|component| components.contains(component))
            .cloned();
        drop(sets);
        self.forget_pending_lift(&components);
        self.stats.count("quarantined", "decided");
        warn!(
            "event=quarantined service={} components={text} source=crashes",
            self.service_name(service)
        );
        if let Some(held) = held {
            self.tell_peers(&self.notice(&held));
        }
        self.quarantine.record_pending.notify_one();
    }
}

/// Evaluates crashes shortly after they were reported.
pub(crate) async fn evaluate(gateway: Rc<Gateway>) {
    loop {
        gateway.quarantine.reported.notified().await;
        tokio::time::sleep(Duration::from_millis(COLLECT_MS)).await;
        gateway.evaluate_crashes(gateway.now());
    }
}
