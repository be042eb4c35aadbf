//! Which agents report often.
//!
//! Load pattern: tens of entries and hundreds of agents, where each entry has tasks at a few agents
//! at a time. An agent reports often to the entries that use it, and to those that keep it among
//! their own few; to the others it reports seldom. An entry that wants the room of a resting agent
//! wakes it first, so that it places nothing by an old report.

use std::sync::Arc;
use std::time::Duration;

use super::super::message::ServerState;
use super::super::note::LogLine;
use super::agents::Agent;
use super::{Entry, LinkKey};
use crate::time::Monotonic;

/// Agents of one service that report often to an entry even if it does not use them. A choice among
/// so many is about as good as one among all, and a deployment of up to twice the VMs of the smallest
/// is watched as a whole.
pub const WATCHED: usize = 24;

/// Time without a task of ours after which an agent may rest: a few usual run times.
const REST_AFTER: Duration = Duration::from_millis(600);

/// Time between two rounds that choose who rests.
const AGAIN: Duration = Duration::from_millis(200);

/// Age up to which the report of a resting agent says whether it is worth waking: one and a half
/// times the pause between its reports.
const KNOWN: Duration = Duration::from_millis(1_500);

/// Time for the answer of an agent that is woken: two hops of up to 3 ms within a region, and a slow
/// VM. Then its tasks look elsewhere.
const WAKE_PATIENCE: Duration = Duration::from_millis(15);

/// Cost of waking an agent in seconds, added to that of a task there: the answer takes 2 to 4 ms, and
/// a room known from an old report may be gone.
const WAKE: f64 = 0.010;

/// How often an agent reports to us.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Watch {
    /// Often.
    Close,
    /// Seldom.
    Resting,
    /// Asked at that time to report often again.
    Woken(Monotonic),
}

impl Agent {
    /// Returns whether the agent rests and is worth waking, or has just been woken.
    fn is_within_reach(&self, now: Monotonic) -> bool {
        match self.watch {
            Watch::Close => false,
            Watch::Resting => self.silence(now) < KNOWN,
            Watch::Woken(asked) => now.since(asked) < WAKE_PATIENCE,
        }
    }

    /// Returns whether the connection may be silent for longer than that of an agent in use.
    pub fn rests(&self) -> bool {
        self.watch == Watch::Resting
    }

    fn is_idle(&self, now: Monotonic) -> bool {
        self.sent == 0 && now.since(self.used) >= REST_AFTER
    }
}

impl Entry {
    /// Returns the server of an agent that takes tasks, and the extra cost of one there if the agent
    /// has to be woken; `None` if it cannot be had in time.
    pub(super) fn reach<'a>(
        &self,
        agent: &'a Agent,
        now: Monotonic,
    ) -> Option<(&'a ServerState, f64)> {
        let server = agent.server.as_ref().filter(|server| server.ready)?;
        let out_of_service = self
            .catalogue
            .as_ref()
            .is_some_and(|known| known.out_of_service.contains(&agent.data_centre));
        if out_of_service {
            None
        } else if self.is_fresh(agent, now) {
            Some((server, 0.0))
        } else {
            agent.is_within_reach(now).then_some((server, WAKE))
        }
    }

    /// Asks a resting agent for its load; its report leads to the next dispatch.
    pub(super) fn wake(&mut self, link: LinkKey, now: Monotonic) {
        let Some(agent) = self.agents.get_mut(link) else {
            return;
        };
        if agent.watch == Watch::Resting {
            agent.watch = Watch::Woken(now);
            agent.used = now;
            let note = LogLine::new("Woke an agent.")
                .with("agent", &agent.name)
                .with("heard_ms", agent.silence(now).as_millis())
                .with("free_cpu", agent.load.free.cpu_millicores);
            self.note(note);
            self.send(link, Vec::new(), Vec::new());
        }
    }

    /// Lets the agents rest that are not in use, but for a few of each service.
    pub(super) fn choose_watched(&mut self, now: Monotonic) {
        if now < self.watch_due {
            return;
        }
        self.watch_due = now.plus(AGAIN);
        let mut serving: Vec<(Arc<str>, u64, LinkKey)> = self
            .agents
            .iter()
            .filter_map(|(link, agent)| {
                let (server, _wake) = self.reach(agent, now)?;
                Some((Arc::clone(&server.service), agent.rank, link))
            })
            .collect();
        serving.sort_unstable();
        for service in serving.chunk_by(|a, b| a.0 == b.0) {
            for (place, (_service, _rank, link)) in service.iter().enumerate() {
                if place < self.watched {
                    self.wake(*link, now);
                } else if self.agents[*link].is_idle(now) {
                    self.let_rest(*link);
                }
            }
        }
    }

    fn let_rest(&mut self, link: LinkKey) {
        if let Some(agent) = self.agents.get_mut(link)
            && !agent.rests()
        {
            agent.watch = Watch::Resting;
            self.send(link, Vec::new(), Vec::new());
        }
    }
}
