//! Which agent gets a task.
//!
//! Load pattern: servers of unlike speed at two thirds of their capacity and above, chosen by
//! several entries at once. The smallest expected end wins; an almost full server counts as worse,
//! because another entry may take its last room at the same moment.

use std::time::Duration;

use super::super::job::Resources;

/// Longest expected wait in an agent's own queue, enough to hide the way from the entry.
const LONGEST_QUEUE: Duration = Duration::from_millis(25);

/// Factor on an expected wait: other entries may send their tasks to the same queue.
const UNSURE: f64 = 12.0;

/// Cost of the last rooms of a server, in seconds: a collision with another entry there costs
/// about the rest of a short task.
const CROWDED: f64 = 0.050;

/// Rooms for tasks of this size below which a server counts as crowded.
const ROOMS: f64 = 3.0;

/// Cost in seconds of a server where the same task has failed before.
const TRIED: f64 = 1.0;

/// What is known of a candidate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// All that the server has.
    pub capacity: Resources,
    /// Room, less what was sent and is not yet in a report.
    pub free: Resources,
    /// What waits there needs, in thousandths of a core.
    pub queued: f64,
    /// Mean run time of a task there.
    pub mean_run: Duration,
    /// Run time there against the estimates.
    pub pace: f64,
    /// Whether the task has failed there before.
    pub tried: bool,
    /// How much longer the task takes there because its data is elsewhere.
    pub distance: f64,
}

/// What the task is like.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// What it needs.
    pub needs: Resources,
    /// Expected run time on a server of usual speed.
    pub run: Duration,
    /// Time until its last useful end.
    pub left: Duration,
}

/// What a candidate is worth.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Cost in seconds; the least wins.
    pub cost: f64,
    /// Expected wait for room there.
    pub wait: Duration,
}

/// Returns how long a task may wait where room is expected after `wait`. A task that meets a full
/// server although it was expected to be free goes back at once, with the server's true load.
pub fn patience(wait: Duration) -> Duration {
    /// Time in which a room becomes free on a server that has just filled up.
    const LEAST: Duration = Duration::from_millis(5);
    LEAST + wait * 2
}

/// Returns what a candidate is worth, `None` if it is of no use.
pub fn judge(candidate: &Candidate, demand: &Demand) -> Option<Choice> {
    if !candidate.capacity.can_hold(&demand.needs) {
        return None;
    }
    let needed = f64::from(demand.needs.cpu_millicores.max(1));
    let free = f64::from(candidate.free.cpu_millicores);
    let wait = if candidate.free.can_hold(&demand.needs) {
        0.0
    } else {
        (candidate.queued + needed) / f64::from(candidate.capacity.cpu_millicores.max(1))
            * candidate.mean_run.as_secs_f64()
    };
    if wait > LONGEST_QUEUE.as_secs_f64() {
        return None;
    }
    let run = demand.run.as_secs_f64() * candidate.pace * candidate.distance;
    if wait + run > demand.left.as_secs_f64() {
        return None;
    }
    let crowd = CROWDED * (1.0 - free / needed / ROOMS).max(0.0);
    let tried = if candidate.tried { TRIED } else { 0.0 };
    Some(Choice {
        cost: wait * UNSURE + run + crowd + tried,
        wait: Duration::from_secs_f64(wait),
    })
}
