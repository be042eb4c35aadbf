//! Reduces the rate at which agents report their load to entries that don't use them.
//!
//! Designed for tens of entries and hundreds of agents, where each entry has tasks at only a few
//! agents at a time. An agent reports frequently to each entry that has tasks there, and to each
//! entry that has it in its home share. To all other entries it reports at a reduced rate, since
//! the interval between two reports grows with the number of entries that get frequent ones. Before
//! an entry places tasks on an agent with reduced reports, the entry asks for frequent reports
//! again, so that no placement relies on an old load.

use std::sync::Arc;
use std::time::Duration;

use super::super::log_line::LogLine;
use super::super::message::ServerState;
use super::agents::Agent;
use super::{ConnectionKey, Entry};
use crate::time::Monotonic;

/// Number of agents of each service in the home share of an entry, which report frequently to it
/// even while it has no tasks there. A choice among this many is about as good as one among all
/// agents, and in a deployment of up to twice the smallest size all agents report frequently.
pub const DEFAULT_HOME_AGENTS: usize = 24;

/// Time without a task of this entry after which the reports of an agent outside the home share are
/// reduced. Such an agent is used only while the home share has no suitable one.
const REDUCE_AFTER_IDLE: Duration = Duration::from_millis(100);

/// Interval between two reviews of the report rates.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Age up to which a report at the reduced rate still tells whether the agent is worth asking for
/// frequent reports: one and a half times the interval of reduced reports.
const MAX_REDUCED_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Time in which an agent has to report after it was asked for frequent reports: two network hops
/// of up to 3 ms within a region, and a slow VM. After that its tasks are placed elsewhere.
const RESUME_TIMEOUT: Duration = Duration::from_millis(15);

/// Penalty for placing a task on an agent with reduced reports: the agent's next report takes 2 to
/// 4 ms, and the free capacity in an old report may be gone.
const RESUME_COST_SECONDS: f64 = 0.010;

/// How often an agent reports to this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReportRate {
    /// The agent reports frequently.
    Frequent,
    /// The agent reports at the reduced rate.
    Reduced,
    /// The agent was asked at this time to report frequently again, and has not reported since.
    Resuming(Monotonic),
}

impl Agent {
    /// Returns whether an agent without a fresh report can be expected to send one in time for a
    /// placement: its reduced report is recent enough, or it was asked just now.
    fn can_resume_in_time(&self, now: Monotonic) -> bool {
        match self.report_rate {
            ReportRate::Frequent => false,
            ReportRate::Reduced => self.time_since_report(now) < MAX_REDUCED_REPORT_AGE,
            ReportRate::Resuming(asked) => now.since(asked) < RESUME_TIMEOUT,
        }
    }

    /// Returns whether the agent reports at the reduced rate, so that a longer silence on its
    /// connection is normal.
    pub fn has_reduced_reporting(&self) -> bool {
        self.report_rate == ReportRate::Reduced
    }

    /// Returns whether the agent has had no task of this entry for a while.
    fn is_idle(&self, now: Monotonic) -> bool {
        self.dispatched_tasks == 0 && now.since(self.last_used_at) >= REDUCE_AFTER_IDLE
    }
}

impl Entry {
    /// Returns the backend server of an agent if it takes new tasks, and the penalty in seconds for
    /// an agent that first has to send a fresh report. `None` means that no task can be placed
    /// there now.
    pub(super) fn reachable_server<'a>(
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
        } else if self.has_current_load(agent, now) {
            Some((server, 0.0))
        } else {
            agent
                .can_resume_in_time(now)
                .then_some((server, RESUME_COST_SECONDS))
        }
    }

    /// Asks an agent with reduced reports to report frequently again. The agent's next report
    /// triggers a dispatch.
    pub(super) fn request_frequent_reports(&mut self, connection: ConnectionKey, now: Monotonic) {
        let Some(agent) = self.agents.get_mut(connection) else {
            return;
        };
        if agent.report_rate == ReportRate::Reduced {
            agent.report_rate = ReportRate::Resuming(now);
            agent.last_used_at = now;
            let line = LogLine::new("Asked an agent for frequent reports again.")
                .with("agent", &agent.name)
                .with("heard_ms", agent.time_since_report(now).as_millis())
                .with("free_cpu", agent.load.free.cpu_millicores);
            self.log(line);
            self.send_order(connection, Vec::new(), Vec::new());
        }
    }

    /// Determines the home share and reduces the reports of idle agents outside it. The home share
    /// are the `home_agents` agents of each service with the lowest rendezvous weights, so
    /// that different entries have different ones.
    pub(super) fn update_report_rates(&mut self, now: Monotonic) {
        if now < self.report_rates_due {
            return;
        }
        self.report_rates_due = now.plus(UPDATE_INTERVAL);
        let mut serving: Vec<(Arc<str>, u64, ConnectionKey)> = self
            .agents
            .iter()
            .filter_map(|(connection, agent)| {
                let (server, _resume_cost) = self.reachable_server(agent, now)?;
                Some((
                    Arc::clone(&server.service),
                    agent.rendezvous_weight,
                    connection,
                ))
            })
            .collect();
        serving.sort_unstable();
        for service in serving.chunk_by(|a, b| a.0 == b.0) {
            for (position, (_service, _weight, connection)) in service.iter().enumerate() {
                let is_home = position < self.home_agents;
                self.agents[*connection].is_home = is_home;
                if is_home {
                    self.request_frequent_reports(*connection, now);
                } else if self.agents[*connection].is_idle(now) {
                    self.reduce_reporting(*connection);
                }
            }
        }
    }

    pub(super) fn reduce_reporting(&mut self, connection: ConnectionKey) {
        if let Some(agent) = self.agents.get_mut(connection)
            && !agent.has_reduced_reporting()
        {
            agent.report_rate = ReportRate::Reduced;
            self.send_order(connection, Vec::new(), Vec::new());
        }
    }
}
