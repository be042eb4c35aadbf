//! Faults of processes, the network and the table, and changes by operators.

use rand::Rng;

use super::plan::{Mutant, pick};
use super::{DATA_CENTRES, Event, Input, Network, SECOND, State};
use ibisspool_core::time::Wall;

impl Network {
    /// Causes a fault and plans the next one.
    pub(super) fn fault(&mut self) {
        let calm = self.plan.calm;
        let next = self.now + self.rng.random_range(calm / 5..calm * 2);
        self.at(next, Event::Fault);
        let number = self.rng.random_range(0..self.hosts.len());
        match self.rng.random_range(0..10) {
            0..=2 => self.pause(number),
            3 if self.plan.crashes => self.crash(number),
            4 | 5 => self.cut(),
            6..=9 if self.plan.partitions => self.cut(),
            6 if !self.links.is_empty() => self.break_any_link(),
            7 | 8 => self.trouble_table(),
            _ => {}
        }
    }

    fn pause(&mut self, number: usize) {
        let until = self.now + self.rng.random_range(0..4 * SECOND);
        self.hosts[number].paused_until = until;
        self.log(number, "is paused until", &until);
    }

    pub(super) fn crash(&mut self, number: usize) {
        if matches!(self.hosts[number].state, State::Down) {
            return;
        }
        let process = self.process(number);
        self.log(number, "crashes", &());
        self.hosts[number].state = State::Down;
        let lost: Vec<u64> = self
            .links
            .iter()
            .filter(|(_link, state)| state.agent == process || state.entry == process)
            .map(|(link, _state)| *link)
            .collect();
        for link in lost {
            self.break_link(link);
        }
        let unanswered: Vec<_> = self
            .calls
            .iter()
            .filter(|(_call, (_from, target, _waiter))| *target == number)
            .map(|(call, (from, ..))| (*call, *from))
            .collect();
        for (call, from) in unanswered {
            let at = self.now + self.rng.random_range(0..SECOND);
            self.at(at, Event::To(from, Input::Reply { call, answer: None }));
        }
        let back = *pick(
            &mut self.rng,
            &[SECOND / 10, SECOND, 3 * SECOND, 60 * SECOND],
        );
        let at = self.now + self.rng.random_range(0..back);
        self.at(at, Event::Restart(number));
    }

    /// Starts a process with a new incarnation that knows nothing.
    pub(super) fn restart(&mut self, number: usize) {
        let same = self.plan.mutant == Some(Mutant::ForgetfulLedger)
            && !self.is_entry(number)
            && self.hosts[number].incarnation != 0;
        let mono = self.rng.random_range(0..100 * SECOND);
        let host = &mut self.hosts[number];
        host.paused_until = self.now;
        if !same {
            host.incarnation += 1 + number as u64 * 1_000;
            host.mono = mono;
        }
        let process = self.process(number);
        let state = if self.is_entry(number) {
            self.new_entry(process)
        } else {
            self.new_agent(process)
        };
        self.hosts[number].state = state;
        self.log(number, "starts", &());
        let at = self.now + self.rng.random_range(0..50_000);
        self.at(at, Event::To(process, Input::Tick));
    }

    /// Cuts the network in two for a while.
    fn cut(&mut self) {
        let until = self.now + self.rng.random_range(0..6 * SECOND);
        let count = self.hosts.len();
        let side: Vec<bool> = (0..count).map(|_host| self.rng.random_bool(0.5)).collect();
        self.log(0, "is in a cut", &(until, &side));
        for from in 0..count {
            for to in 0..count {
                if side[from] != side[to] {
                    self.cuts.insert((from, to), until);
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

    fn break_any_link(&mut self) {
        let open: Vec<u64> = self
            .links
            .iter()
            .filter(|(_link, state)| state.agent_open)
            .map(|(link, _state)| *link)
            .collect();
        if !open.is_empty() {
            let link = *pick(&mut self.rng, &open);
            self.break_link(link);
        }
    }

    /// Changes how well the table answers each entry, or all of them.
    fn trouble_table(&mut self) {
        let same = self.rng.random_bool(0.5);
        let for_all = *pick(&mut self.rng, &[0.0, 0.5, 1.0]);
        for number in 0..self.plan.entries {
            let share = *pick(&mut self.rng, &[0.0, 0.3, 1.0, 1.0]);
            self.hosts[number].table = if same { for_all } else { share };
        }
        self.log(0, "and the others have the table", &(same, for_all));
    }

    /// An operator takes a data centre out or brings it back.
    pub(super) fn operate(&mut self) {
        let data_centre = *pick(&mut self.rng, &DATA_CENTRES);
        let now = Wall(super::WALL + self.now / 1_000);
        let (version, row) = &self.table;
        let mut row = row.with_operator_change("operator", now);
        if !row.data_centres_out.remove(data_centre) {
            row.data_centres_out.insert(data_centre.to_owned());
        }
        self.table = (version + 1, row.clone());
        self.log(0, "sees the operator write", &row);
        self.checks.written(&row);
    }
}
