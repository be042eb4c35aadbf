//! What a backend server announces about itself, and which announcements the agent believes.
//!
//! Any process can send an announcement that names the server's incarnation and its start. Two things
//! tell the server's own from others. The server's clock, which its answers to polls tell too, bounds
//! when an announcement can have been made. And an incarnation keeps its service, capacity and labels
//! until its end.

use std::sync::Arc;
use std::time::Duration;

use super::super::job::Resources;
use super::super::message::ServerState;
use super::super::safety::SLOWEST_CLOCK_RATE;
use crate::time::Monotonic;

/// How far an announcement may be ahead of the server's clock as the agent knows it, which covers
/// rounding and an agent whose own clock is slow.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(100);

/// How often and for how long another profile has to be announced, and the known one never, before the
/// agent takes it over.
#[derive(Debug, Clone, Copy)]
struct Threshold {
    announcements: u32,
    time: Duration,
}

/// Threshold if the known profile was announced once, and so may be the false one. The time is longer
/// than the interval between two announcements of a server.
const RIVAL_OF_SINGLE: Threshold = Threshold {
    announcements: 3,
    time: Duration::from_secs(2),
};

/// Threshold if the known profile was repeated. The time allows for several lost announcements.
const RIVAL_OF_REPEATED: Threshold = Threshold {
    announcements: 5,
    time: Duration::from_secs(6),
};

/// What an incarnation of a backend server keeps until its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Profile {
    /// Service that the server offers.
    pub service: Arc<str>,
    /// Total resources of the server.
    pub capacity: Resources,
    /// Labels of the server, such as its rack.
    pub labels: Vec<String>,
}

impl Profile {
    /// Returns whether an entry that was told `state` knows this profile.
    pub(super) fn is_told_by(&self, state: &ServerState) -> bool {
        self.service == state.service
            && self.capacity == state.capacity
            && self.labels == state.labels
    }
}

/// State that a backend server announces about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the incarnation. The server refuses start requests that name another one.
    pub incarnation: Arc<str>,
    /// Wall clock time of the server's start in milliseconds; another one is another incarnation.
    pub started_at_ms: u64,
    /// Time on the server's clock in milliseconds, the clock on which leases end.
    pub clock_ms: u64,
    /// Number of the announcement, rising within one incarnation.
    pub sequence: u64,
    /// What stays the same for the life of the incarnation.
    pub profile: Profile,
    /// Whether the server accepts new tasks; false while it drains.
    pub ready: bool,
}

impl Announcement {
    /// Returns the key by which the announcements of one incarnation are ordered. The sequence number
    /// alone would let one false announcement with a high number shut out all later ones; the clock
    /// can be compared with the server's answers.
    pub(super) fn order_key(&self) -> (u64, u64) {
        (self.clock_ms, self.sequence)
    }
}

/// Why the agent does not believe an announcement that names the known incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Doubt {
    /// A newer announcement has arrived before.
    Outdated,
    /// The server's clock does not show that time yet.
    AheadOfClock,
    /// The incarnation has announced another service, capacity or labels before.
    Contradiction,
}

/// A reading of the server's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ClockReading {
    /// What the clock showed, in milliseconds.
    pub clock_ms: u64,
    /// When the agent sent the request that was answered with it.
    pub requested_at: Monotonic,
    /// When the agent handled the answer.
    pub received_at: Monotonic,
}

impl ClockReading {
    /// Returns the least that the server's clock shows at `now`: it read that much before the answer
    /// arrived, and may be slow.
    pub fn earliest(&self, now: Monotonic) -> Duration {
        Duration::from_millis(self.clock_ms)
            + now.since(self.received_at).mul_f64(SLOWEST_CLOCK_RATE)
    }

    /// Returns whether the server's clock can show `clock_ms` at `now`: it was read after the request
    /// was sent.
    pub fn allows(&self, clock_ms: u64, now: Monotonic) -> bool {
        let latest = Duration::from_millis(self.clock_ms) + now.since(self.requested_at);
        Duration::from_millis(clock_ms) <= latest + CLOCK_TOLERANCE
    }
}

/// A profile that contradicts the known one of the same incarnation.
#[derive(Debug, Clone)]
struct Rival {
    profile: Profile,
    first_announced_at: Monotonic,
    /// Number of announcements, none of the known profile between them.
    announcements: u32,
}

/// What the known incarnation of the backend server has announced.
#[derive(Debug, Clone)]
pub(super) struct Announced {
    profile: Profile,
    is_ready: bool,
    /// Order key of the newest announcement that was believed, `None` if the incarnation has not
    /// announced itself yet.
    newest: Option<(u64, u64)>,
    /// Whether the profile has been announced more than once.
    is_repeated: bool,
    rival: Option<Rival>,
}

impl Announced {
    /// Returns the state after the first announcement of an incarnation.
    pub fn new(announcement: Announcement) -> Self {
        Self {
            newest: Some(announcement.order_key()),
            profile: announcement.profile,
            is_ready: announcement.ready,
            is_repeated: false,
            rival: None,
        }
    }

    /// Returns the state of an incarnation that has not announced itself. `profile` is that of the
    /// incarnation before, and no task starts until the server has announced its own.
    pub fn unannounced(profile: Profile) -> Self {
        Self {
            profile,
            is_ready: false,
            newest: None,
            is_repeated: false,
            rival: None,
        }
    }

    pub fn profile(&self) -> &Profile {
        &self.profile
    }

    /// Returns whether the server accepts new tasks. It gets none while two profiles of which neither
    /// was repeated contradict each other.
    pub fn is_ready(&self) -> bool {
        self.is_ready && (self.is_repeated || self.rival.is_none())
    }

    /// Records that the server has deregistered, which holds until its next announcement.
    pub fn record_deregistration(&mut self) {
        self.is_ready = false;
    }

    /// Applies an announcement of the known incarnation. `clock` is the last reading of the server's
    /// clock.
    ///
    /// # Errors
    /// Returns why the announcement is not believed. The server then counts as before.
    pub fn record(
        &mut self,
        announcement: Announcement,
        clock: Option<ClockReading>,
        now: Monotonic,
    ) -> Result<(), Doubt> {
        let is_ahead = |clock_ms| clock.is_some_and(|reading| !reading.allows(clock_ms, now));
        if is_ahead(announcement.clock_ms) {
            return Err(Doubt::AheadOfClock);
        }
        let is_first = self.newest.is_none();
        if !is_first && announcement.profile != self.profile {
            self.challenge(&announcement.profile, now)?;
        }
        let order_key = announcement.order_key();
        // One that was believed by a false reading of the clock makes no other outdated.
        let newest = self.newest.filter(|(clock_ms, _)| !is_ahead(*clock_ms));
        if newest.is_some_and(|newest| order_key < newest) {
            return Err(Doubt::Outdated);
        }
        self.is_repeated = !is_first;
        self.rival = None;
        self.newest = Some(order_key);
        self.profile = announcement.profile;
        self.is_ready = announcement.ready;
        Ok(())
    }

    /// Records that the incarnation was announced with another profile than the known one. One of the
    /// two is false: that which the server does not repeat.
    ///
    /// # Errors
    /// Fails until `profile` has reached the threshold.
    fn challenge(&mut self, profile: &Profile, now: Monotonic) -> Result<(), Doubt> {
        let threshold = if self.is_repeated {
            RIVAL_OF_REPEATED
        } else {
            RIVAL_OF_SINGLE
        };
        let rival = match &mut self.rival {
            Some(rival) if rival.profile == *profile => rival,
            other => other.insert(Rival {
                profile: profile.clone(),
                first_announced_at: now,
                announcements: 0,
            }),
        };
        rival.announcements += 1;
        let has_reached_threshold = rival.announcements >= threshold.announcements
            && now.since(rival.first_announced_at) >= threshold.time;
        if has_reached_threshold {
            Ok(())
        } else {
            Err(Doubt::Contradiction)
        }
    }
}
