//! A client cancels its job while it runs. After that no task of the job may start.

#[path = "../stage-3/stage.rs"]
mod stage;

use std::thread;
use std::time::Duration;

use stage::Kind;

/// Time that the client waits for its answer, which the route's timeout allows.
const BUDGET: Duration = Duration::from_secs(20);

/// Time from the sending of the job until it is cancelled.
const CANCEL_AFTER: Duration = Duration::from_millis(1_000);

/// Time after the acknowledgement of a cancel from which on no task of the job starts (`cancel_ms`).
const CANCEL_BOUND: Duration = Duration::from_millis(3_000);

const ID: &str = "5c0e7a21d94b36f8";

fn main() {
    let kind = Kind {
        label: "a",
        cpu_millicores: 16_000,
    };
    let stage = stage::start_or_exit(2, &[kind.clone(), kind]);
    let steps = [
        (2, 1_600, ",\"estimateMs\":5000"),
        (2, 1_600, ",\"estimateMs\":5000,\"after\":[0]"),
    ];
    let body = stage::job("work 5000", &steps);
    stage.declare_job(ID, 1_600);

    let mut acknowledged_at = None;
    thread::scope(|scope| {
        scope.spawn(|| stage.request(0, "POST", ID, &body, BUDGET));
        if stage::has_trouble() {
            thread::sleep(CANCEL_AFTER);
            let status = stage.request(0, "DELETE", ID, "", Duration::from_secs(1));
            if (200..300).contains(&status) || status == 410 {
                acknowledged_at = Some(stage.journal.now());
            }
        }
    });
    let mut broken = Vec::new();
    if let Some(acknowledged_at) = acknowledged_at {
        let late = |start: &&stage::Start| start.at > acknowledged_at + CANCEL_BOUND;
        for start in stage.starts().iter().filter(late) {
            broken.push(format!(
                "UNASKED: {} starts on executor {} {:.3} s after the acknowledgement of the cancel",
                start.task,
                start.executor,
                (start.at - acknowledged_at).as_secs_f64()
            ));
        }
    }
    stage.finish(&broken);
}
