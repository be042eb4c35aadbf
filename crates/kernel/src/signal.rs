//! Signals that stop a process.

use std::thread;

use anyhow::{Context, Result};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Exit code after a second signal: 128 and the number of SIGINT, as shells report it.
const INTERRUPTED_EXIT_CODE: i32 = 130;

/// Calls `stop` on another thread at the first SIGTERM or SIGINT. A second signal ends the process
/// at once.
///
/// # Errors
/// Fails if the system refuses the signal handlers.
pub fn on_stop_signal<F>(stop: F) -> Result<()>
where
    F: FnOnce() + Send + 'static,
{
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).context("cannot install the signal handlers")?;
    thread::spawn(move || {
        let mut received = signals.forever();
        if received.next().is_some() {
            stop();
        }
        if received.next().is_some() {
            std::process::exit(INTERRUPTED_EXIT_CODE);
        }
    });
    Ok(())
}
