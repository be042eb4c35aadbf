//! Time from an entry's death until another one takes new jobs of its ids.

use std::time::{Duration, Instant};

use anyhow::Result;
use serde_json::json;

use super::{ENTRIES, System};
use crate::caller;
use crate::local::ECHO;
use crate::platform::Faults;

/// Timeout of each job that is tried.
const TRY_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time that is waited for a takeover.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time between an entry's return and the next death.
const SETTLE: Duration = Duration::from_secs(4);

/// Kills each entry in turn and returns the times until a new job of its ids was answered whole,
/// `None` where that took longer than 20 s. `store_down` takes the table service down first.
///
/// # Errors
/// Fails if the system does not start or does not become ready again.
pub fn takeovers(count: usize, store_down: bool) -> Result<Vec<Option<Duration>>> {
    let mut system = System::start()?;
    let mut times = Vec::new();
    for number in 0..count {
        std::thread::sleep(SETTLE);
        let dead = number % ENTRIES;
        let url = system.entries[(dead + 1) % ENTRIES].url();
        system.platform.set_faults(Faults {
            down: store_down,
            ..Faults::default()
        });
        system.entries[dead].process = None;
        let begun = Instant::now();
        times.push(wait_for_job(&url, dead, begun));
        system.platform.set_faults(Faults::default());
        system.restart_entry(dead)?;
        system.wait_ready()?;
    }
    Ok(times)
}

fn wait_for_job(url: &str, dead: usize, begun: Instant) -> Option<Duration> {
    while begun.elapsed() < PATIENCE {
        let answer = caller::submit(
            url,
            &caller::id_coordinated_by(dead, ENTRIES),
            ECHO,
            &[json!({})],
            TRY_TIMEOUT,
        );
        if answer.is_ok_and(|answer| answer.status == 200) {
            return Some(begun.elapsed());
        }
    }
    None
}
