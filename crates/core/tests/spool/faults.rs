//! Injection of faults in processes, connections and backend servers, and the recovery from them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ibisspool_core::spool::agent::{Agent, Announcement, Profile};
use ibisspool_core::spool::entry::Entry;
use ibisspool_core::spool::job::Resources;
use ibisspool_core::spool::message::{AgentHello, Member};
use ibisspool_core::time::{Monotonic, Now};
use ibisspool_standin::executor::Executor;
use rand::Rng;

use super::{
    Event, Fault, Foreign, Kind, MS, Message, Mutant, Process, World, catalogue,
    incarnation_started_at,
};

/// Time after which an agent closes the connection to a silent entry.
const SILENT_CONNECTION_TIMEOUT_US: u64 = 1_200 * MS;

/// Sequence number of announcements of other writers, and what they tell of the server's clock. No
/// server of a run gets that far.
const FOREIGN_SEQUENCE: u64 = 4_000;
const FOREIGN_CLOCK_MS: u64 = 482_113;

/// Returns the name and address of an entry.
pub(super) fn entry_member(index: usize) -> Member {
    Member {
        name: format!("entry-{index}"),
        address: ([10, 0, 0, index as u8], 7_000).into(),
    }
}

impl World {
    pub(super) fn inject(&mut self, fault: Fault) {
        if self.trace_enabled {
            println!("{:10.2} {fault:?}", self.now_us as f64 / MS as f64);
        }
        match fault {
            Fault::KillEntry(index, restart_after_us) => {
                self.kill_process(Process::Entry(index), restart_after_us);
            }
            Fault::KillAgent(index, restart_after_us) => {
                self.kill_process(Process::Agent(index), restart_after_us);
            }
            Fault::PauseEntry(index, duration_us) => {
                self.entries[index].paused = true;
                for agent in 0..self.agents.len() {
                    let suspended_us = self.total_suspension_us(agent);
                    let event = Event::CloseSilentConnection {
                        agent,
                        entry: index,
                        suspended_us,
                    };
                    self.schedule_after(SILENT_CONNECTION_TIMEOUT_US, event);
                }
                self.schedule_after(duration_us, Event::ResumeProcess(Process::Entry(index)));
            }
            Fault::PauseAgent(index, duration_us) => {
                if !self.agents[index].paused {
                    self.agents[index].paused = true;
                    self.agents[index].paused_at = self.now_us;
                    self.schedule_after(duration_us, Event::ResumeProcess(Process::Agent(index)));
                }
            }
            Fault::Partition(entry, agent, duration_us, up, down) => {
                self.partitions.push((
                    entry,
                    agent,
                    self.now_us,
                    self.now_us + duration_us,
                    up,
                    down,
                ));
            }
            Fault::ResetConnection(entry, agent) => {
                let affected: Vec<u64> = self
                    .connections
                    .iter()
                    .filter(|(_id, c)| c.open && c.entry == entry && c.agent == agent)
                    .map(|(id, _c)| *id)
                    .collect();
                for id in affected {
                    self.break_connection(id);
                }
            }
            Fault::RestartServer(index) => {
                self.restart_server(index);
                let started_us = self.executors[index].started_us;
                self.incarnations[index] = incarnation_started_at(started_us);
                self.announce_server(index);
            }
            Fault::RestartServerUnderItsName(index, announced_after_us) => {
                self.restart_server(index);
                self.schedule_after(announced_after_us, Event::AnnounceOnce(index));
            }
            Fault::ReplaceServer(index, kind, cpu_millicores, keeps_name) => {
                self.replace_server(index, kind, cpu_millicores, keeps_name);
            }
            Fault::ForeignAnnouncement(index, foreign) => {
                self.announce_another_writer(index, foreign);
            }
            Fault::CrashServer(index, duration_us) => {
                self.break_server_connections(index);
                self.executors[index].running.clear();
                self.unreachable_until
                    .insert(index, self.now_us + duration_us);
                self.schedule_after(duration_us, Event::Fault(Fault::RestartServer(index)));
            }
            Fault::RefuseConnections(index, duration_us) => {
                self.break_server_connections(index);
                let until = self.refusing_until.entry(index).or_default();
                *until = (*until).max(self.now_us + duration_us);
            }
            Fault::GarbleLists(index, duration_us, percent) => {
                self.garbled_until
                    .insert(index, (self.now_us + duration_us, percent));
            }
            Fault::SlowServer(index, factor, duration_us) => {
                let usual = self.executors[index].run_time_factor;
                self.executors[index].run_time_factor = usual * factor as f64;
                self.schedule_after(duration_us, Event::RestoreSpeed(index, usual));
            }
            Fault::FailTasks(index, duration_us) => {
                self.failing_until.insert(index, self.now_us + duration_us);
            }
            Fault::StallTasks(index, duration_us) => {
                self.stalled_until.insert(index, self.now_us + duration_us);
            }
            Fault::StepWallClock(index, ms) => self.agents[index].wall_clock_offset_ms += ms,
            Fault::DrainServer(index) => {
                self.agents[index].ready = false;
                self.announce_server(index);
            }
        }
    }

    /// Replaces a backend server by one that has just started and knows nothing of before. Calls on
    /// their way to it reach the new one.
    fn restart_server(&mut self, index: usize) {
        self.break_server_connections(index);
        let executor = &self.executors[index];
        let (capacity, slowness) = (executor.capacity_cpu_millis, executor.run_time_factor);
        let rate = self.random.random_range(0.98..1.0);
        self.record_done_tasks();
        self.executors[index] = Executor::new(capacity, rate, slowness, self.now_us.max(2));
        self.agents[index].last_announcement = 0;
        self.agents[index].announcements_heard = 0;
    }

    /// Replaces a backend server by one of another kind.
    fn replace_server(&mut self, index: usize, kind: Kind, cpu_millicores: u32, keeps_name: bool) {
        self.restart_server(index);
        self.kinds[index] = kind;
        let executor = &mut self.executors[index];
        executor.capacity_cpu_millis = cpu_millicores;
        if !keeps_name {
            self.incarnations[index] = incarnation_started_at(executor.started_us);
        }
        // The agent may be suspended, and then gets no announcement.
        for delay in [0, 60, 150, 400, 900] {
            self.schedule_after(delay * MS, Event::AnnounceOnce(index));
        }
    }

    /// Delivers an announcement that is not the server's own.
    fn announce_another_writer(&mut self, index: usize, foreign: Foreign) {
        let own = self.own_announcement(index);
        let large = Profile {
            capacity: Resources {
                cpu_millicores: own.profile.capacity.cpu_millicores * 4,
                ..own.profile.capacity
            },
            ..own.profile.clone()
        };
        let other_service = Profile {
            service: Arc::from("another-service"),
            capacity: Resources::default(),
            labels: Vec::new(),
        };
        let announcement = match foreign {
            Foreign::OtherName => Announcement {
                incarnation: Arc::from("another-writer"),
                started_at_ms: self.now_us.max(3),
                profile: other_service,
                ..own
            },
            Foreign::OtherStart => Announcement {
                started_at_ms: self.now_us.max(3),
                profile: other_service,
                ..own
            },
            Foreign::NoStart => Announcement {
                started_at_ms: 0,
                clock_ms: FOREIGN_CLOCK_MS,
                sequence: FOREIGN_SEQUENCE,
                profile: large,
                ..own
            },
            Foreign::OtherCapacity if self.agents[index].announcements_heard == 0 => return,
            Foreign::OtherCapacity => Announcement {
                sequence: FOREIGN_SEQUENCE,
                profile: large,
                ..own
            },
            Foreign::AheadOfClock => Announcement {
                clock_ms: FOREIGN_CLOCK_MS,
                sequence: FOREIGN_SEQUENCE,
                ..own
            },
        };
        self.deliver_announcement(index, announcement);
    }

    /// Ends the lease renewals that wait at a backend server without an answer.
    fn break_server_connections(&mut self, index: usize) {
        let boot = self.agents[index].boot;
        for id in self.arrived_renewals(index) {
            if let Some(renewal) = self.agents[index].open_renewals.remove(&id) {
                let delay = self.random.random_range(100..2_000);
                self.fail_renewal(index, boot, renewal, false, delay);
            }
        }
    }

    /// Kills a process and starts it again after `restart_after_us`. In half of the cases the
    /// other ends of its connections aren't told, as after a loss of power.
    pub(super) fn kill_process(&mut self, process: Process, restart_after_us: u64) {
        let affected: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_id, c)| c.open)
            .filter(|(_id, c)| {
                process == Process::Entry(c.entry) || process == Process::Agent(c.agent)
            })
            .map(|(id, _c)| *id)
            .collect();
        match process {
            Process::Entry(index) => {
                let jobs: Vec<(usize, u32)> =
                    self.entries[index].open_jobs.values().copied().collect();
                let entry = &mut self.entries[index];
                entry.entry = None;
                entry.inbox.clear();
                entry.open_jobs.clear();
                entry.connection_ids.clear();
                for (job, attempt) in jobs {
                    if self.random.random_bool(0.7) {
                        self.send_answer(job, attempt, None);
                    }
                }
            }
            Process::Agent(index) => {
                let agent = &mut self.agents[index];
                agent.agent = None;
                agent.inbox.clear();
                agent.connection_ids.clear();
                agent.open_renewals.clear();
                agent.renews_lease = false;
            }
        }
        let is_power_loss = self.random.random_bool(0.5);
        for id in affected {
            if !is_power_loss {
                self.break_connection(id);
            }
        }
        self.schedule_after(restart_after_us.max(10 * MS), Event::StartProcess(process));
    }

    /// Breaks a connection. Each end whose process still runs learns of the break after the usual
    /// network delay.
    pub(super) fn break_connection(&mut self, id: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.open = false;
        }
        self.send_message(id, true, Message::Disconnected(id));
        self.send_message(id, false, Message::Disconnected(id));
    }

    /// Starts a process unless it runs already.
    pub(super) fn start_process(&mut self, process: Process) {
        let now = Now {
            mono: Monotonic(self.now_us + 1),
            wall: self.wall_clock(process),
        };
        match process {
            Process::Entry(index) => {
                let me = entry_member(index);
                let all: Vec<Member> = (0..self.scenario.entries).map(entry_member).collect();
                let mut safety = self.safety;
                if self.scenario.mutant == Some(Mutant::RetryOrphansAtOnce) {
                    safety.entry_silence_limit = Duration::from_millis(1);
                    safety.unconfirmed_stop_limit = Duration::from_millis(1);
                    safety.lease = Duration::from_millis(1);
                }
                let mut entry = Entry::new(me, safety, self.random.random())
                    .with_home_agents(self.scenario.home_agents)
                    .with_policy(self.scenario.policy)
                    .with_shedding(self.scenario.sheds_waiting);
                if self.scenario.separates_interfering {
                    entry = entry.with_separation();
                }
                entry.add_known_entries(&all);
                let started = Now {
                    mono: Monotonic(1),
                    ..now
                };
                let catalogue_after_us = self.scenario.catalogue_after_us;
                if catalogue_after_us == 0 {
                    entry.apply_newer_catalogue(Arc::new(catalogue()), "test", started);
                }
                let process_state = &mut self.entries[index];
                if process_state.entry.is_none() {
                    process_state.started_us = self.now_us;
                    process_state.entry = Some(entry);
                    process_state.boot += 1;
                    process_state.paused = false;
                    let boot = process_state.boot;
                    if catalogue_after_us > 0 {
                        let event = Event::FirstCatalogue { entry: index, boot };
                        self.schedule_after(catalogue_after_us, event);
                    }
                }
            }
            Process::Agent(index) => {
                let hello = AgentHello {
                    name: format!("agent-{index}"),
                    data_centre: "a".to_owned(),
                };
                let mut safety = self.safety;
                if self.scenario.mutant == Some(Mutant::IgnoreSilence) {
                    safety.entry_silence_limit *= 20;
                }
                let process_state = &mut self.agents[index];
                if process_state.agent.is_none() {
                    process_state.agent = Some(
                        Agent::new(hello, safety, now).with_policy(self.scenario.agent_policy),
                    );
                    process_state.boot += 1;
                    process_state.paused = false;
                    process_state.past_suspensions_us = 0;
                    process_state.announcements_heard = 0;
                    let boot = process_state.boot;
                    for entry in 0..self.scenario.entries {
                        self.schedule_after(
                            5 * MS,
                            Event::Dial {
                                agent: index,
                                entry,
                            },
                        );
                    }
                    if boot == 1 {
                        self.schedule_after(10 * MS, Event::Announce(index));
                    }
                }
            }
        }
    }

    /// Returns how long an agent has been suspended in total, including a suspension that is not
    /// over.
    fn total_suspension_us(&self, agent: usize) -> u64 {
        let process_state = &self.agents[agent];
        let current_us = if process_state.paused {
            self.now_us - process_state.paused_at
        } else {
            0
        };
        process_state.past_suspensions_us + current_us
    }

    /// Closes the connection between an agent and a paused entry once the agent was awake long
    /// enough to notice the silence.
    pub(super) fn close_silent_connection(
        &mut self,
        agent: usize,
        entry: usize,
        suspended_us: u64,
    ) {
        let suspended_since = self.total_suspension_us(agent).saturating_sub(suspended_us);
        if !self.entries[entry].paused {
            return;
        }
        if suspended_since == 0 {
            self.inject(Fault::ResetConnection(entry, agent));
        } else {
            let event = Event::CloseSilentConnection {
                agent,
                entry,
                suspended_us: suspended_us + suspended_since,
            };
            self.schedule_after(suspended_since, event);
        }
    }

    /// Resumes a paused process and handles the events that arrived meanwhile.
    pub(super) fn resume_process(&mut self, process: Process) {
        let inbox = match process {
            Process::Entry(index) => {
                self.entries[index].paused = false;
                std::mem::take(&mut self.entries[index].inbox)
            }
            Process::Agent(index) => {
                let agent = &mut self.agents[index];
                agent.paused = false;
                agent.past_suspensions_us += self.now_us - agent.paused_at;
                std::mem::take(&mut agent.inbox)
            }
        };
        self.handle_inbox(inbox);
    }

    /// Handles the events that arrived while a process was paused. Events of one connection keep
    /// their order, but a process may read its connections in any order.
    fn handle_inbox(&mut self, inbox: Vec<Event>) {
        let mut sources: Vec<(EventSource, VecDeque<Event>)> = Vec::new();
        for event in inbox {
            let source = EventSource::of(&event);
            let known = sources.iter_mut().find(|(known, _events)| *known == source);
            match known {
                Some((_source, events)) if source != EventSource::Independent => {
                    events.push_back(event);
                }
                _ => sources.push((source, VecDeque::from([event]))),
            }
        }
        while !sources.is_empty() {
            let index = self.random.random_range(0..sources.len());
            match sources[index].1.pop_front() {
                Some(event) => self.handle_event(event),
                None => drop(sources.swap_remove(index)),
            }
        }
    }
}

/// What a queued event came from, to keep the order of events within each source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EventSource {
    Connection(u64),
    Caller(usize),
    /// An event with a connection of its own, which may be handled in any order.
    Independent,
}

impl EventSource {
    fn of(event: &Event) -> Self {
        match event {
            Event::Submit { job, .. } | Event::CallerClosed { job, .. } => Self::Caller(*job),
            Event::Deliver { message, .. } => match message {
                Message::Report(id, ..)
                | Message::Order(id, ..)
                | Message::Connected(id)
                | Message::Disconnected(id) => Self::Connection(*id),
                Message::StartAnswer(..)
                | Message::StopAnswer(..)
                | Message::Listing(..)
                | Message::RenewalFailed(..)
                | Message::RenewalMisdirected(..)
                | Message::RenewalFenced => Self::Independent,
            },
            _ => Self::Independent,
        }
    }
}
