//! Which kinds of tasks run beside each other on the backend server.
//!
//! The agent is the only process that sees the tasks of all entries on its server. It adds up over
//! time the CPU of each kind, so that the mean share of a kind beside a task is the growth of one sum
//! from the start of the task to its end. A start or an end costs one step for each kind.

use slotmap::SecondaryMap;

use super::super::message::{Kind, Presence, Share};
use super::RunKey;
use crate::time::Monotonic;

/// Most kinds that are told apart. Tasks of further kinds count as [`Kind::OTHER`].
const MAX_KINDS: usize = 32;

/// Tasks of one kind.
#[derive(Debug, Clone, Copy)]
struct Usage {
    kind: Kind,
    /// Running and queued tasks.
    tasks: u32,
    /// CPU of the running and queued tasks in thousandths of a core.
    present_cpu: u64,
    /// CPU of the running tasks in thousandths of a core.
    running_cpu: u64,
    /// CPU of the running tasks added up over time, in thousandths of a core times microseconds.
    sum: u64,
}

/// A task whose kind is known.
#[derive(Debug, Clone)]
struct Stay {
    kind: Kind,
    cpu: u32,
    /// When the task started and the sums at that time; `None` while it is queued, and for a task
    /// that had started before the sums were kept.
    since: Option<(Monotonic, Vec<(Kind, u64)>)>,
    is_running: bool,
}

/// Kinds of the tasks on one backend server. Kept only while an entry asks for it.
#[derive(Debug, Clone, Default)]
pub(super) struct Neighbours {
    usages: Vec<Usage>,
    stays: SecondaryMap<RunKey, Stay>,
    summed_until: Monotonic,
}

impl Neighbours {
    /// Adds a task that waits for its start.
    pub fn add_queued(&mut self, key: RunKey, kind: Kind, cpu: u32) {
        let usage = self.usage_of(kind);
        usage.tasks += 1;
        usage.present_cpu += u64::from(cpu);
        let kind = usage.kind;
        self.stays.insert(
            key,
            Stay {
                kind,
                cpu,
                since: None,
                is_running: false,
            },
        );
    }

    /// Adds a task of an unknown kind that has started already.
    pub fn add_running(&mut self, key: RunKey, cpu: u32, now: Monotonic) {
        self.add_queued(key, Kind::OTHER, cpu);
        self.start(key, now);
        if let Some(stay) = self.stays.get_mut(key) {
            stay.since = None;
        }
    }

    /// Records that a task has been started.
    pub fn start(&mut self, key: RunKey, now: Monotonic) {
        self.advance(now);
        let Some(stay) = self.stays.get_mut(key) else {
            return;
        };
        let sums = self.usages.iter().map(|usage| (usage.kind, usage.sum));
        stay.since = Some((now, sums.collect()));
        stay.is_running = true;
        let (kind, cpu) = (stay.kind, u64::from(stay.cpu));
        self.usage_of(kind).running_cpu += cpu;
    }

    /// Removes a task; returns the mean shares of a server of `capacity` thousandths of a core that
    /// the tasks beside it had, `None` if they are not known for its whole run.
    pub fn remove(&mut self, key: RunKey, capacity: u32, now: Monotonic) -> Option<Vec<Share>> {
        self.advance(now);
        let stay = self.stays.remove(key)?;
        let usage = self.usage_of(stay.kind);
        usage.tasks -= 1;
        usage.present_cpu -= u64::from(stay.cpu);
        if stay.is_running {
            usage.running_cpu -= u64::from(stay.cpu);
        }
        let (started_at, sums) = stay.since?;
        let ran_us = now.since(started_at).as_micros() as u64;
        if ran_us == 0 || capacity == 0 {
            return None;
        }
        let whole = u64::from(capacity) * ran_us;
        let share_of = |usage: &Usage| {
            let at_start = sums.iter().find(|(kind, _sum)| *kind == usage.kind);
            let grown = usage.sum - at_start.map_or(0, |(_kind, sum)| *sum).min(usage.sum);
            let own = if usage.kind == stay.kind {
                u64::from(stay.cpu) * ran_us
            } else {
                0
            };
            let per_mille = (grown.saturating_sub(own) * 1_000 / whole).min(1_000) as u16;
            (per_mille > 0).then_some(Share {
                kind: usage.kind,
                per_mille,
            })
        };
        Some(self.usages.iter().filter_map(share_of).collect())
    }

    /// Returns the running and queued tasks by kind.
    pub fn present(&self) -> Vec<Presence> {
        let with_tasks = self.usages.iter().filter(|usage| usage.tasks > 0);
        with_tasks
            .map(|usage| Presence {
                kind: usage.kind,
                tasks: usage.tasks,
                cpu_millicores: usage.present_cpu.min(u64::from(u32::MAX)) as u32,
            })
            .collect()
    }

    fn advance(&mut self, now: Monotonic) {
        let elapsed_us = now.since(self.summed_until).as_micros() as u64;
        self.summed_until = self.summed_until.max(now);
        for usage in &mut self.usages {
            usage.sum += usage.running_cpu * elapsed_us;
        }
    }

    /// Returns the usage of a kind. A kind without tasks makes room for another one if there are too
    /// many; if all have tasks, the kind counts as [`Kind::OTHER`].
    fn usage_of(&mut self, kind: Kind) -> &mut Usage {
        let find = |usages: &[Usage], kind| usages.iter().position(|usage| usage.kind == kind);
        let kind = match find(&self.usages, kind) {
            None if kind != Kind::OTHER && !self.has_place() => Kind::OTHER,
            _ => kind,
        };
        let position = find(&self.usages, kind).unwrap_or_else(|| {
            self.usages.push(Usage {
                kind,
                tasks: 0,
                present_cpu: 0,
                running_cpu: 0,
                sum: 0,
            });
            self.usages.len() - 1
        });
        &mut self.usages[position]
    }

    /// Returns whether one more kind can be told apart, after a kind without tasks has made room. One
    /// place is left to [`Kind::OTHER`].
    fn has_place(&mut self) -> bool {
        let is_named = |usage: &Usage| usage.kind != Kind::OTHER;
        if self.usages.iter().filter(|usage| is_named(usage)).count() < MAX_KINDS - 1 {
            return true;
        }
        let unused = |usage: &Usage| is_named(usage) && usage.tasks == 0;
        let unused = self.usages.iter().position(unused);
        if let Some(position) = unused {
            self.usages.remove(position);
        }
        unused.is_some()
    }
}
