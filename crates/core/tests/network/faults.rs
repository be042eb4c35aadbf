//! Injected faults of processes, the network and the table, and changes by operators.

use rand::Rng;

use super::plan::{Mutant, pick_one};
use super::{DATA_CENTRES, Event, Input, ProcessState, SECOND_US, Simulation};
use ibisspool_core::time::Wall;

impl Simulation {
    /// Injects a random fault and schedules the next one.
    pub(super) fn inject_fault(&mut self) {
        let interval_us = self.plan.mean_fault_interval_us;
        let next = self.now_us + self.rng.random_range(interval_us / 5..interval_us * 2);
        self.schedule(next, Event::InjectFault);
        let number = self.rng.random_range(0..self.hosts.len());
        match self.rng.random_range(0..10) {
            0..=2 => self.pause_process(number),
            3 if self.plan.has_crashes => self.crash_process(number),
            4 | 5 => self.partition_network(),
            6..=9 if self.plan.mostly_partitions => self.partition_network(),
            6 if !self.links.is_empty() => self.break_random_link(),
            7 | 8 => self.change_table_availability(),
            _ => {}
        }
    }

    fn pause_process(&mut self, number: usize) {
        let until = self.now_us + self.rng.random_range(0..4 * SECOND_US);
        self.hosts[number].paused_until_us = until;
        self.log_event(number, "is paused until", &until);
    }

    /// Crashes a process: its connections break, requests that were forwarded to it fail, and it
    /// restarts later.
    pub(super) fn crash_process(&mut self, number: usize) {
        if matches!(self.hosts[number].state, ProcessState::Down) {
            return;
        }
        let process = self.process(number);
        self.log_event(number, "crashes", &());
        self.hosts[number].state = ProcessState::Down;
        let lost_links: Vec<u64> = self
            .links
            .iter()
            .filter(|(_link, state)| state.agent == process || state.entry == process)
            .map(|(link, _state)| *link)
            .collect();
        for link in lost_links {
            self.break_link(link);
        }
        let unanswered: Vec<_> = self
            .forwarded_calls
            .iter()
            .filter(|(_call, (_from, target, _waiter))| *target == number)
            .map(|(call, (from, ..))| (*call, *from))
            .collect();
        for (call, from) in unanswered {
            let at = self.now_us + self.rng.random_range(0..SECOND_US);
            self.schedule(
                at,
                Event::Deliver(from, Input::ForwardedAnswer { call, answer: None }),
            );
        }
        let max_downtime_us = *pick_one(
            &mut self.rng,
            &[SECOND_US / 10, SECOND_US, 3 * SECOND_US, 60 * SECOND_US],
        );
        let at = self.now_us + self.rng.random_range(0..max_downtime_us);
        self.schedule(at, Event::Restart(number));
    }

    /// Starts a process with a new incarnation and without any state. Agents of the mutant
    /// [`Mutant::AgentForgetsStarts`] restart under their old incarnation, so that entries do not
    /// notice.
    pub(super) fn restart_process(&mut self, number: usize) {
        let keeps_incarnation = self.plan.mutant == Some(Mutant::AgentForgetsStarts)
            && !self.is_entry(number)
            && self.hosts[number].incarnation != 0;
        let mono = self.rng.random_range(0..100 * SECOND_US);
        let host = &mut self.hosts[number];
        host.paused_until_us = self.now_us;
        if !keeps_incarnation {
            host.incarnation += 1 + number as u64 * 1_000;
            host.mono_offset_us = mono;
        }
        let process = self.process(number);
        let state = if self.is_entry(number) {
            self.new_entry(process)
        } else {
            self.new_agent(process)
        };
        self.hosts[number].state = state;
        self.log_event(number, "starts up", &());
        let at = self.now_us + self.rng.random_range(0..50_000);
        self.schedule(at, Event::Deliver(process, Input::Tick));
    }

    /// Partitions the network in two for a while. Some of the connections across break.
    fn partition_network(&mut self) {
        let until = self.now_us + self.rng.random_range(0..6 * SECOND_US);
        let count = self.hosts.len();
        let side: Vec<bool> = (0..count).map(|_host| self.rng.random_bool(0.5)).collect();
        self.log_event(
            0,
            "and the others are partitioned until, by side",
            &(until, &side),
        );
        for from in 0..count {
            for to in 0..count {
                if side[from] != side[to] {
                    self.partitioned_until_us.insert((from, to), until);
                }
            }
        }
        let crossing: Vec<u64> = self
            .links
            .iter()
            .filter(|(_link, l)| l.agent_open && side[l.agent.number] != side[l.entry.number])
            .map(|(link, _l)| *link)
            .collect();
        for link in crossing {
            if self.rng.random_bool(0.5) {
                self.break_link(link);
            }
        }
    }

    fn break_random_link(&mut self) {
        let open: Vec<u64> = self
            .links
            .iter()
            .filter(|(_link, state)| state.agent_open)
            .map(|(link, _state)| *link)
            .collect();
        if !open.is_empty() {
            let link = *pick_one(&mut self.rng, &open);
            self.break_link(link);
        }
    }

    /// Changes how often the table answers each entry, or all entries alike.
    fn change_table_availability(&mut self) {
        let is_same_for_all = self.rng.random_bool(0.5);
        let share_for_all = *pick_one(&mut self.rng, &[0.0, 0.5, 1.0]);
        for number in 0..self.plan.entries {
            let share = *pick_one(&mut self.rng, &[0.0, 0.3, 1.0, 1.0]);
            self.hosts[number].table_success_share = if is_same_for_all {
                share_for_all
            } else {
                share
            };
        }
        self.log_event(
            0,
            "and the other entries reach the table, if all alike, with probability",
            &(is_same_for_all, share_for_all),
        );
    }

    /// Writes an operator's change that takes a data centre out of service or brings it back.
    pub(super) fn write_operator_change(&mut self) {
        let data_centre = *pick_one(&mut self.rng, &DATA_CENTRES);
        let now = Wall(super::START_WALL_MS + self.now_us / 1_000);
        let (version, row) = &self.table;
        let mut row = row.with_operator_change("operator", now);
        if !row.data_centres_out.remove(data_centre) {
            row.data_centres_out.insert(data_centre.to_owned());
        }
        self.table = (version + 1, row.clone());
        self.log_event(0, "and the others see an operator write row", &row);
        self.checker.record_change(&row);
    }
}
