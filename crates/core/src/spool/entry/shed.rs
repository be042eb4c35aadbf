//! Selects waiting jobs that give way to a more urgent arrival.
//!
//! Designed for a burst of urgent jobs that arrives while jobs of lower priority wait. Only jobs of
//! which certainly nothing was sent may give way, the lowest priority first, and each queue keeps a
//! minimum share of the admitted work, so that none is starved.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::time::Monotonic;

/// Longest time that a job has waited when it gives way. A job that can't be served has to be
/// refused within 15 ms, so that its caller can turn elsewhere; the rest is for the answer.
const MAX_AGE: Duration = Duration::from_millis(10);

/// Share of the overall admitted share of the work below which no queue is pushed.
const MIN_SHARE: f64 = 0.5;

/// Time constant of [`AdmittedWork`], several times the longest usual job, so that a queue of few
/// jobs has a steady share.
const SHARE_SECONDS: f64 = 10.0;

/// Work below which a queue is forgotten, in thousandths of a core.
const MIN_REMEMBERED_CPU: f64 = 1.0;

/// A job that waits and of which certainly nothing was sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiting {
    /// Queue of the job.
    pub queue: Arc<str>,
    /// Priority of the queue; 0 is the highest.
    pub priority: u8,
    /// CPU that its tasks need, in thousandths of a core.
    pub cpu: f64,
    /// Time since the job was submitted.
    pub age: Duration,
}

/// Returns the positions of the jobs that may give way to an arrival of this priority, in the order
/// in which they do: the lowest priority first, then the newest.
pub fn select_shed(
    waiting: &[Waiting],
    priority: u8,
    work: &AdmittedWork,
    now: Monotonic,
) -> SmallVec<[usize; 8]> {
    let mut order: SmallVec<[usize; 8]> = (0..waiting.len())
        .filter(|&index| waiting[index].priority > priority && waiting[index].age <= MAX_AGE)
        .collect();
    order.sort_by_key(|&index| {
        (
            std::cmp::Reverse(waiting[index].priority),
            waiting[index].age,
        )
    });
    let mut taken: SmallVec<[(&Arc<str>, f64); 4]> = SmallVec::new();
    order.retain(|index| {
        let job = &waiting[*index];
        let position = taken.iter().position(|(queue, _cpu)| **queue == job.queue);
        let position = position.unwrap_or_else(|| {
            taken.push((&job.queue, 0.0));
            taken.len() - 1
        });
        let cpu = taken[position].1 + job.cpu;
        let may_lose = work.spare_cpu(&job.queue, now) >= cpu;
        if may_lose {
            taken[position].1 = cpu;
        }
        may_lose
    });
    order
}

#[derive(Debug, Clone, Copy, Default)]
struct QueueWork {
    offered_cpu: f64,
    admitted_cpu: f64,
}

/// CPU of the jobs that each queue offered and that were admitted lately. It decays, and a queue
/// without jobs is forgotten.
#[derive(Debug, Default)]
pub struct AdmittedWork {
    queues: HashMap<Arc<str>, QueueWork>,
    updated_at: Monotonic,
}

impl AdmittedWork {
    /// Records a new job.
    pub fn record_offer(&mut self, queue: &Arc<str>, cpu: f64, is_admitted: bool, now: Monotonic) {
        let factor = self.decay(now);
        self.updated_at = now;
        self.queues.retain(|_queue, work| {
            work.offered_cpu *= factor;
            work.admitted_cpu *= factor;
            work.offered_cpu > MIN_REMEMBERED_CPU
        });
        let work = self.queues.entry(Arc::clone(queue)).or_default();
        work.offered_cpu += cpu;
        if is_admitted {
            work.admitted_cpu += cpu;
        }
    }

    /// Records that an admitted job has given way.
    pub fn record_shed(&mut self, queue: &Arc<str>, cpu: f64) {
        if let Some(work) = self.queues.get_mut(queue) {
            work.admitted_cpu = (work.admitted_cpu - cpu).max(0.0);
        }
    }

    /// Returns how much admitted work the queue may lose without falling below its minimum share.
    pub fn spare_cpu(&self, queue: &Arc<str>, now: Monotonic) -> f64 {
        let Some(own) = self.queues.get(queue) else {
            return 0.0;
        };
        let sum = |part: fn(&QueueWork) -> f64| self.queues.values().map(part).sum::<f64>();
        let offered = sum(|work| work.offered_cpu);
        let admitted = sum(|work| work.admitted_cpu);
        let min_cpu = own.offered_cpu * MIN_SHARE * admitted / offered.max(MIN_REMEMBERED_CPU);
        (own.admitted_cpu - min_cpu).max(0.0) * self.decay(now)
    }

    fn decay(&self, now: Monotonic) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / SHARE_SECONDS).exp()
    }
}
