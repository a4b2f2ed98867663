//! Updates about parts of prompts and requests that crash endpoints, exchanged between all daemons.

use celeryknot_core::endpoint_updates::{EndpointUpdate, Observation};
use celeryknot_core::{DurationMs, MemberName, MonotonicMs};

use super::Fleet;
use crate::message::{Message, SuspectUpdate};

/// Interval at which a neighbour gets the latest updates again, as messages may be lost.
const REFRESH_INTERVAL: DurationMs = DurationMs(10_000);

impl Fleet {
    /// Records an update about a part of prompts or a request, and sends it to all daemons.
    pub fn observe_suspect(&mut self, now: MonotonicMs, update: EndpointUpdate) {
        if self.suspect_updates.observe(update) {
            self.send_suspect_updates(now);
        }
    }

    /// Takes the updates about parts of prompts and requests that peers have sent.
    pub fn take_suspect_updates(&mut self) -> Vec<EndpointUpdate> {
        std::mem::take(&mut self.received_suspect_updates)
    }

    pub(super) fn receive_suspect_updates(&mut self, now: MonotonicMs, updates: &[SuspectUpdate]) {
        // The oldest first, as their sender recorded them.
        for update in updates.iter().rev() {
            let update = decode(now, update);
            if self.suspect_updates.observe(update) {
                self.received_suspect_updates.push(update);
            }
        }
        self.send_suspect_updates(now);
    }

    /// Sends each neighbour the updates that it may not have; what exceeds the budget waits for
    /// the next tick.
    pub(super) fn send_suspect_updates(&mut self, now: MonotonicMs) {
        if self.suspect_updates.is_empty() {
            return;
        }
        let version = self.suspect_updates.version();
        let due: Vec<(MemberName, u64)> = self
            .links
            .iter_mut()
            .filter_map(|(name, link)| {
                if now >= link.next_suspect_refresh_at {
                    link.next_suspect_refresh_at = now + REFRESH_INTERVAL;
                    link.suspect_updates_sent = 0;
                }
                (link.suspect_updates_sent < version)
                    .then(|| (name.clone(), link.suspect_updates_sent))
            })
            .collect();
        for (name, sent) in due {
            let updates = self.suspect_updates.after(now, sent);
            let updates: Vec<_> = updates.iter().filter_map(|it| encode(now, it)).collect();
            if !updates.is_empty() && !self.send(now, &name, Message::SuspectUpdates(updates)) {
                return;
            }
            if let Some(link) = self.links.get_mut(&name) {
                link.suspect_updates_sent = version;
            }
        }
    }
}

fn encode(now: MonotonicMs, update: &EndpointUpdate) -> Option<SuspectUpdate> {
    let (suspect, is_answer) = match update.observation {
        Observation::CrashedOn { suspect } => (suspect, false),
        Observation::Answered { suspect } => (suspect, true),
        Observation::Load { .. }
        | Observation::Unreachable
        | Observation::Leaving
        | Observation::BeganStream { .. }
        | Observation::RateLimit { .. }
        | Observation::HoldsPrompt { .. } => return None,
    };
    Some(SuspectUpdate {
        suspect,
        endpoint: update.endpoint,
        is_answer,
        age: now - update.at,
    })
}

fn decode(now: MonotonicMs, update: &SuspectUpdate) -> EndpointUpdate {
    let suspect = update.suspect;
    EndpointUpdate {
        endpoint: update.endpoint,
        observation: match update.is_answer {
            true => Observation::Answered { suspect },
            false => Observation::CrashedOn { suspect },
        },
        at: MonotonicMs(now.0.saturating_sub(update.age.0)),
    }
}
