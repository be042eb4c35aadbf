//! Measurement of the time from the crash of an entry until another entry accepts new jobs with ids
//! that the crashed entry coordinated.

use std::time::{Duration, Instant};

use anyhow::Result;
use serde_json::json;

use super::{ENTRY_COUNT, System};
use crate::caller;
use crate::local::ECHO;
use crate::platform::Faults;

/// Timeout of each job that probes whether the takeover is complete.
const JOB_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for a takeover.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between the restart of an entry and the next crash.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Kills `count` entries, one after another in turn, and returns for each the time until a new job
/// that it would have coordinated was complete, or `None` after 20 s. With `is_table_service_down`
/// the table service is down from before the kill until the measurement ends.
///
/// # Errors
/// Fails if the system does not start or the entries do not become ready again after a restart.
pub fn measure_takeovers(
    count: usize,
    is_table_service_down: bool,
) -> Result<Vec<Option<Duration>>> {
    let mut system = System::start()?;
    let mut takeover_times = Vec::new();
    for repetition in 0..count {
        std::thread::sleep(SETTLE_TIME);
        let killed_entry = repetition % ENTRY_COUNT;
        let entry_url = system.entries[(killed_entry + 1) % ENTRY_COUNT].url();
        system.platform.set_faults(Faults {
            down: is_table_service_down,
            ..Faults::default()
        });
        system.entries[killed_entry].process = None;
        let killed_at = Instant::now();
        takeover_times.push(wait_for_takeover(&entry_url, killed_entry, killed_at));
        system.platform.set_faults(Faults::default());
        system.restart_entry(killed_entry)?;
        system.wait_until_ready()?;
    }
    Ok(takeover_times)
}

/// Submits jobs that the killed entry would coordinate to the entry at `entry_url` until one is
/// complete; returns the time since the kill.
fn wait_for_takeover(entry_url: &str, killed_entry: usize, killed_at: Instant) -> Option<Duration> {
    while killed_at.elapsed() < TAKEOVER_TIMEOUT {
        let answer = caller::submit(
            entry_url,
            &caller::id_coordinated_by(killed_entry, ENTRY_COUNT),
            ECHO,
            &[json!({})],
            JOB_TIMEOUT,
        );
        if answer.is_ok_and(|answer| answer.status == 200) {
            return Some(killed_at.elapsed());
        }
    }
    None
}
