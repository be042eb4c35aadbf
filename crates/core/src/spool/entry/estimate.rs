//! Expected run times: what callers declare, corrected by what was seen.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Weight of one run in a queue's mean.
const WEIGHT: f64 = 0.05;

/// Weight of the declared time against the queue's mean. Declared times are off by 40%, and the
/// work of one queue's tasks varies by as much, so both say about the same.
const DECLARED: f64 = 0.5;

/// Run time of a queue's tasks before any was declared or seen.
const UNKNOWN: Duration = Duration::from_millis(200);

/// Mean run times by queue.
#[derive(Debug)]
pub struct Estimates {
    means: HashMap<Arc<str>, f64>,
    /// Mean over the tasks of all queues, in seconds.
    mean: f64,
}

impl Default for Estimates {
    fn default() -> Self {
        Self {
            means: HashMap::new(),
            mean: UNKNOWN.as_secs_f64(),
        }
    }
}

impl Estimates {
    /// Notes a run on a server of known pace.
    pub fn learn(&mut self, queue: &Arc<str>, ran: Duration, pace: f32) {
        let usual = ran.as_secs_f64() / f64::from(pace.max(0.1));
        let mean = self.means.entry(Arc::clone(queue)).or_insert(usual);
        *mean += (usual - *mean) * WEIGHT;
        self.mean += (usual - self.mean) * WEIGHT;
    }

    /// Returns the mean run time of a task on a server of usual speed.
    pub fn mean_run(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Returns the expected run time on a server of usual speed.
    pub fn expect(&self, queue: &Arc<str>, declared: Duration) -> Duration {
        match self.means.get(queue) {
            Some(&mean) if declared.is_zero() => Duration::from_secs_f64(mean),
            Some(&mean) => {
                let mixed = declared.as_secs_f64() * DECLARED + mean * (1.0 - DECLARED);
                Duration::from_secs_f64(mixed)
            }
            None if declared.is_zero() => UNKNOWN,
            None => declared,
        }
    }
}

/// A server this many times slower than the median is in trouble and says nothing of the usual.
const TROUBLE: f32 = 2.5;

/// Returns the run time on a server of mean speed against the estimates, without the servers in
/// trouble; 1 if none is known.
pub fn usual_pace<P>(paces: P) -> f64
where
    P: Iterator<Item = f32>,
{
    let mut known: Vec<f32> = paces.filter(|pace| *pace > 0.0).collect();
    known.sort_by(f32::total_cmp);
    let Some(&median) = known.get(known.len() / 2) else {
        return 1.0;
    };
    known.retain(|pace| *pace <= median * TROUBLE);
    let speeds: f32 = known.iter().map(|pace| 1.0 / pace).sum();
    known.len() as f64 / f64::from(speeds)
}
