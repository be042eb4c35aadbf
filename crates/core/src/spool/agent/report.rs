//! Connections to entries: when each entry gets a report, and how long its tasks may run.
//!
//! An entry that does not use this agent asks for reduced reporting, so that hundreds of agents do
//! not send their full rate of reports to tens of entries.

use std::time::Duration;

use super::super::log_line::{LogLine, key_label};
use super::super::message::{
    End, Kind, Load, Neighbourhood, Outcome, Report, RunNeighbours, ServerState, Share, Timestamp,
};
use super::{Action, Agent, ConnectionKey, Neighbours, Phase, Run, RunKey};
use crate::time::{Monotonic, Now};

/// Longest interval between two reports to an entry without reduced reporting. Entries dispatch no
/// task to an agent that was silent for most of `safety.entry_silence_limit`.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Longest interval between two reports to an entry with reduced reporting. They show that entry
/// that the server exists and roughly how busy it is.
const REDUCED_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest interval between two reports about a changed load, multiplied by the number of entries
/// without reduced reporting. The resulting 250 reports a second cost a VM with a sixth of a core
/// about 1% of a core.
const MIN_LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(4);

/// Share of the server's capacity by which the free CPU has to change to report it early to an
/// entry with reduced reporting. In a burst such an entry has to learn that the server is full.
const LARGE_CHANGE_SHARE: f64 = 1.0 / 3.0;

/// Share of `safety.entry_silence_limit` after which an agent that runs tasks of an entry sends it
/// a report to be echoed, so that the tasks need not stop.
const RENEWAL_SHARE: f64 = 0.45;

/// Number of mean tasks that fit into the free CPU of the server, below which the server counts as
/// almost full. Entries are told of each change of its load, as several of them may soon place
/// tasks there.
const ALMOST_FULL_BELOW_TASKS: f64 = 3.0;

/// Weight of the newest task in the mean CPU of tasks.
const TASK_CPU_WEIGHT: f64 = 0.05;

/// Upper bound on the open slots in a report; a higher number makes no difference to placement.
const MAX_REPORTED_SLOTS: u32 = 1_000;

/// State of a connection to an entry.
#[derive(Debug, Clone)]
pub(super) struct Connection {
    /// Name of the entry.
    pub entry: String,
    /// The entry counts as silent from then on, and its tasks are stopped.
    pub alive_until: Monotonic,
    /// Sequence number of the newest message received.
    pub last_sequence: u64,
    /// Outcomes for the next report.
    pub outcomes: Vec<Outcome>,
    pub last_report_at: Option<Monotonic>,
    /// State of the server as last reported; left out of a report while it is the same.
    pub last_server: Option<ServerState>,
    /// Timestamp of the last report before the one that told the profile in `last_server`. An entry
    /// that echoes no later one does not know that profile.
    pub outdated_stamp: Option<Timestamp>,
    pub last_load: Load,
    /// Whether the entry has asked for reduced reporting, since it does not use this agent.
    pub has_reduced_reporting: bool,
    /// Whether the entry has asked for what runs beside its tasks.
    pub wants_neighbours: bool,
    /// What ran beside tasks in `outcomes`, if the entry has asked for it.
    pub ended_neighbours: Vec<RunNeighbours>,
}

impl Agent {
    /// Adds a connection to an entry and sends the first report.
    pub fn add_connection(&mut self, entry: &str, now: Now) -> ConnectionKey {
        let key = self.connections.insert(Connection {
            entry: entry.to_owned(),
            alive_until: Monotonic(0),
            last_sequence: 0,
            outcomes: Vec::new(),
            last_report_at: None,
            last_server: None,
            outdated_stamp: None,
            last_load: Load::default(),
            has_reduced_reporting: false,
            wants_neighbours: false,
            ended_neighbours: Vec::new(),
        });
        let line = LogLine::new("Connected to an entry.")
            .with("entry", entry)
            .with("connection", key_label(key));
        self.log(line);
        self.send_report(key, self.load(now.mono), now.mono);
        key
    }

    /// Removes a closed connection and stops all tasks that came over it.
    pub fn remove_connection(&mut self, connection: ConnectionKey, now: Now) {
        let Some(closed) = self.connections.remove(connection) else {
            return;
        };
        let line = LogLine::warn("Lost the connection to an entry.")
            .with("entry", &closed.entry)
            .with("connection", key_label(connection));
        self.log(line);
        self.stop_runs_of_connection(connection, "connection lost", now);
        self.keep_neighbours_if_wanted(now.mono);
    }

    /// Sets whether an entry is told what runs beside its tasks.
    pub(super) fn set_wants_neighbours(
        &mut self,
        key: ConnectionKey,
        wants_neighbours: bool,
        now: Monotonic,
    ) {
        if let Some(connection) = self.connections.get_mut(key)
            && connection.wants_neighbours != wants_neighbours
        {
            connection.wants_neighbours = wants_neighbours;
            connection.ended_neighbours.clear();
            self.keep_neighbours_if_wanted(now);
        }
    }

    /// Begins or ceases to keep the kinds of the tasks here, by whether any entry asks for them.
    fn keep_neighbours_if_wanted(&mut self, now: Monotonic) {
        let is_wanted = self.connections.values().any(|c| c.wants_neighbours);
        if !is_wanted {
            self.neighbours = None;
        } else if self.neighbours.is_none() {
            let mut neighbours = Neighbours::default();
            for (key, run) in &self.runs {
                let cpu = run.start.needs.cpu_millicores;
                if run.phase == Phase::Queued {
                    neighbours.add_queued(key, Kind::OTHER, cpu);
                } else {
                    neighbours.add_running(key, cpu, now);
                }
            }
            self.neighbours = Some(neighbours);
        }
    }

    /// Removes a run from the kinds of the tasks here; returns the mean shares that the tasks
    /// beside it had.
    pub(super) fn remove_neighbour(&mut self, key: RunKey, now: Monotonic) -> Option<Vec<Share>> {
        let capacity = self.backend.as_ref().map_or(0, |backend| {
            backend.announced.profile().capacity.cpu_millicores
        });
        self.neighbours.as_mut()?.remove(key, capacity, now)
    }

    /// Stops the runs that came over a connection. If the connection is closed, their outcomes will
    /// be reported to nobody.
    fn stop_runs_of_connection(
        &mut self,
        connection: ConnectionKey,
        reason: &'static str,
        now: Now,
    ) {
        let keys: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_key, run)| run.connection == Some(connection))
            .map(|(key, _run)| key)
            .collect();
        for key in keys {
            self.stop_run(key, End::Lost, reason, now);
            if !self.connections.contains_key(connection)
                && let Some(run) = self.runs.get_mut(key)
            {
                run.connection = None;
            }
        }
    }

    /// Stops the runs of entries that were silent for `safety.entry_silence_limit`.
    pub(super) fn stop_runs_of_silent_entries(&mut self, now: Now) {
        let silent: Vec<ConnectionKey> = self
            .connections
            .iter()
            .filter(|(_key, connection)| connection.alive_until <= now.mono)
            .map(|(key, _connection)| key)
            .collect();
        for connection in silent {
            self.stop_runs_of_connection(connection, "entry silent", now);
        }
    }

    pub(super) fn is_entry_alive(&self, run: &Run, now: Monotonic) -> bool {
        run.connection
            .and_then(|key| self.connections.get(key))
            .is_some_and(|connection| connection.alive_until > now)
    }

    /// Sends the reports that are due, and schedules those that a minimum interval holds back.
    pub(super) fn send_due_reports(&mut self, now: Monotonic) {
        let is_load_due = self.load_reports_due_at.is_some_and(|at| at <= now);
        if is_load_due {
            self.load_reports_due_at = None;
        }
        let load = self.load(now);
        let server = self.server_state();
        let min_interval = self.min_load_report_interval();
        let mut next_due: Option<Monotonic> = None;
        let keys: Vec<ConnectionKey> = self.connections.keys().collect();
        for key in keys {
            let connection = &self.connections[key];
            let age = connection.last_report_at.map(|at| now.since(at));
            let has_elapsed = |interval| age.is_none_or(|age| age >= interval);
            let is_server_new = server != connection.last_server;
            let (is_periodic, has_news) = if connection.has_reduced_reporting {
                let is_large = self.is_large_change(&connection.last_load, &load);
                (
                    has_elapsed(REDUCED_REPORT_INTERVAL),
                    (is_large || is_server_new) && has_elapsed(REPORT_INTERVAL),
                )
            } else {
                let is_relevant = is_load_due
                    && (is_server_new || self.affects_placement(&connection.last_load, &load));
                if is_relevant && !has_elapsed(min_interval) {
                    let due = connection.last_report_at.unwrap_or(now).plus(min_interval);
                    next_due = Some(next_due.map_or(due, |earliest| earliest.min(due)));
                }
                (
                    has_elapsed(REPORT_INTERVAL),
                    is_relevant && has_elapsed(min_interval),
                )
            };
            let needs_echo = self.needs_echo(key, now)
                && has_elapsed(self.safety.entry_silence_limit.mul_f64(RENEWAL_SHARE / 2.0));
            if is_periodic || has_news || needs_echo || !connection.outcomes.is_empty() {
                self.send_report(key, load, now);
            }
        }
        if let Some(due) = next_due {
            self.load_reports_due_at = Some(due);
        }
    }

    /// Returns the shortest interval between two reports to one entry that are only about a changed
    /// load. The interval grows with the number of entries, which bounds the total rate of an
    /// agent.
    fn min_load_report_interval(&self) -> Duration {
        let entries = self
            .connections
            .values()
            .filter(|connection| !connection.has_reduced_reporting)
            .count();
        MIN_LOAD_REPORT_INTERVAL * entries as u32
    }

    /// Returns whether an entry might place tasks differently if it knew the new load: the server
    /// has begun or ceased to accept tasks, has more room for tasks in the queue, or is or was
    /// almost full.
    fn affects_placement(&self, old: &Load, new: &Load) -> bool {
        let has_opened_or_closed = (old.open_slots == 0) != (new.open_slots == 0);
        let (old_free, new_free) = (old.free.cpu_millicores, new.free.cpu_millicores);
        let almost_full_below = self.mean_task_cpu * ALMOST_FULL_BELOW_TASKS;
        let is_room_relevant = (old_free < new_free && old.queued_cpu > 0)
            || f64::from(old_free.min(new_free)) < almost_full_below;
        has_opened_or_closed || (is_room_relevant && old_free != new_free)
    }

    /// Updates the mean CPU of tasks by that of a new one, in thousandths of a core.
    pub(super) fn record_task_cpu(&mut self, cpu_millicores: u32) {
        let cpu = f64::from(cpu_millicores);
        self.mean_task_cpu = if self.mean_task_cpu > 0.0 {
            self.mean_task_cpu + (cpu - self.mean_task_cpu) * TASK_CPU_WEIGHT
        } else {
            cpu
        };
    }

    fn is_large_change(&self, old: &Load, new: &Load) -> bool {
        let capacity = self.backend.as_ref().map_or(0, |backend| {
            backend.announced.profile().capacity.cpu_millicores
        });
        let change = old.free.cpu_millicores.abs_diff(new.free.cpu_millicores);
        f64::from(change) > f64::from(capacity) * LARGE_CHANGE_SHARE
            || (old.open_slots == 0) != (new.open_slots == 0)
    }

    /// Sets whether an entry has reduced reporting. An entry that ends it gets a report at once.
    pub(super) fn set_reduced_reporting(
        &mut self,
        key: ConnectionKey,
        is_reduced: bool,
        now: Monotonic,
    ) {
        if let Some(connection) = self.connections.get_mut(key) {
            let ends_reduction = connection.has_reduced_reporting && !is_reduced;
            connection.has_reduced_reporting = is_reduced;
            if ends_reduction {
                self.send_report(key, self.load(now), now);
            }
        }
    }

    /// Returns whether the entry at a connection has asked for reduced reporting. Such an entry
    /// itself sends few messages, so that the connection may be silent for longer.
    pub fn has_reduced_reporting(&self, key: ConnectionKey) -> bool {
        self.connections
            .get(key)
            .is_some_and(|connection| connection.has_reduced_reporting)
    }

    /// Returns whether the entry has running tasks here that would soon be stopped because the
    /// entry has not echoed a recent report.
    fn needs_echo(&self, key: ConnectionKey, now: Monotonic) -> bool {
        let connection = &self.connections[key];
        let renewal_limit = now.plus(self.safety.entry_silence_limit.mul_f64(1.0 - RENEWAL_SHARE));
        connection.alive_until <= renewal_limit
            && self
                .runs
                .values()
                .any(|run| run.connection == Some(key) && run.phase != Phase::Stopping)
    }

    fn load(&self, now: Monotonic) -> Load {
        let waiting = || self.runs.values().filter(|run| run.phase == Phase::Queued);
        let queued = waiting().fold(0, |sum: u32, run| {
            sum.saturating_add(run.start.needs.cpu_millicores)
        });
        let open = if self.is_accepting_tasks()
            && !self.has_overdue_stop(now)
            && self.unknown_runs.is_empty()
        {
            let slots = self
                .health
                .open_slots(self.started_run_count(), now)
                .min(MAX_REPORTED_SLOTS);
            slots.saturating_sub(waiting().count() as u32)
        } else {
            0
        };
        let free = waiting().fold(self.free_resources(), |free, run| {
            free.without(&run.start.needs)
        });
        Load {
            free,
            queued_cpu: queued,
            open_slots: open,
            slowdown: self.health.slowdown(now),
        }
    }

    /// Returns the state of the server for the entries, `None` while no server is known.
    fn server_state(&self) -> Option<ServerState> {
        self.backend.as_ref().map(|backend| ServerState {
            ready: self.is_accepting_tasks(),
            ..backend.reported_state()
        })
    }

    /// Returns whether an entry that echoes the timestamp `echo` knows the server's present profile.
    /// Only then has it compared its tasks with the service, the capacity and the labels that the
    /// server has now.
    pub(super) fn knows_profile(&self, key: ConnectionKey, echo: Option<Timestamp>) -> bool {
        self.connections.get(key).is_some_and(|connection| {
            self.has_told_profile(connection)
                && echo.is_some_and(|echo| connection.outdated_stamp < Some(echo))
        })
    }

    /// Returns whether the last report on a connection, or an earlier one that still holds, told the
    /// server's present profile.
    fn has_told_profile(&self, connection: &Connection) -> bool {
        self.backend
            .as_ref()
            .zip(connection.last_server.as_ref())
            .is_some_and(|(backend, told)| backend.announced.profile().is_told_by(told))
    }

    fn send_report(&mut self, key: ConnectionKey, load: Load, now: Monotonic) {
        let server = self.server_state();
        let has_read_run_lists = self.has_read_run_lists;
        let connection = &self.connections[key];
        let is_of_earlier_connection =
            |run: &Run| run.entry == connection.entry && run.connection != Some(key);
        let cleared = has_read_run_lists
            && self.unknown_runs.is_empty()
            && !self.runs.values().any(is_of_earlier_connection);
        let is_profile_new = !self.has_told_profile(&self.connections[key]);
        let connection = &mut self.connections[key];
        if is_profile_new {
            connection.outdated_stamp = connection.last_report_at.map(|at| Timestamp(at.0));
        }
        connection.last_report_at = Some(now);
        connection.last_load = load;
        let server = if server == connection.last_server {
            None
        } else {
            connection.last_server.clone_from(&server);
            server
        };
        let report = Report {
            sent_at: Timestamp(now.0),
            last_sequence_seen: connection.last_sequence,
            earlier_runs_cleared: cleared,
            server,
            load,
            outcomes: std::mem::take(&mut connection.outcomes),
        };
        let neighbourhood = connection
            .wants_neighbours
            .then(|| std::mem::take(&mut connection.ended_neighbours))
            .zip(self.neighbours.as_ref())
            .map(|(ended, neighbours)| Neighbourhood {
                present: neighbours.present(),
                ended,
            });
        self.actions
            .push(Action::Report(key, report, neighbourhood));
    }
}
