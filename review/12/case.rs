//! An executor starts again as another kind, while an entry is frozen. The entry wakes and sends a
//! task that requires the kind of before. It must not start on the kind of now.

#[path = "../stage-3/stage.rs"]
mod stage;

use std::thread;
use std::time::Duration;

use stage::Kind;

/// Time that the clients wait for their answers.
const BUDGET: Duration = Duration::from_secs(5);

/// Time from the job of two steps to the short one. The short one ends, and with it the entry
/// freezes, while the first step is at work.
const SHORT_JOB_SENT: Duration = Duration::from_millis(500);

/// Times since the freeze of the entry. The entry sends tasks to agents that it has heard of in the last
/// 0.32 s, and an idle agent reports every 0.2 s. The first step ends about 0.05 s after the freeze.
const EXECUTOR_DOWN: Duration = Duration::from_millis(90);
const EXECUTOR_UP: Duration = Duration::from_millis(150);
const ENTRY_WAKES: Duration = Duration::from_millis(280);

/// CPU of one task, in thousandths of a core.
const TASK_CPU: u64 = 1_600;

const TWO_STEPS: &str = "5c0e7a21d94b36f8";
const SHORT: &str = "7d1f8b32ea5c4709";

const KIND_A: Kind = Kind {
    label: "a",
    cpu_millicores: 16_000,
};
const KIND_B: Kind = Kind {
    label: "b",
    cpu_millicores: 16_000,
};

fn main() {
    let stage = stage::start_or_exit(2, &[KIND_B, KIND_A]);
    let steps = [
        (2, TASK_CPU, ",\"estimateMs\":600,\"requires\":\"a\""),
        (
            4,
            TASK_CPU,
            ",\"estimateMs\":600,\"requires\":\"b\",\"after\":[0]",
        ),
    ];
    let two_steps = stage::job("work 600", &steps);
    let short = stage::job(
        "work 50",
        &[(1, TASK_CPU, ",\"estimateMs\":50,\"requires\":\"b\"")],
    );
    stage.declare_job(TWO_STEPS, TASK_CPU);
    stage.declare_job(SHORT, TASK_CPU);

    thread::scope(|scope| {
        scope.spawn(|| stage.request(0, "POST", TWO_STEPS, &two_steps, BUDGET));
        thread::sleep(SHORT_JOB_SENT);
        stage.request(0, "POST", SHORT, &short, BUDGET);
        if stage::has_trouble() {
            let begun_at = stage.journal.now();
            let wait_until = |time: Duration| {
                let passed = stage.journal.now().saturating_sub(begun_at);
                thread::sleep(time.saturating_sub(passed));
            };
            stage.freeze(&stage.entries[0]);
            wait_until(EXECUTOR_DOWN);
            stage.executors[0].crash();
            wait_until(EXECUTOR_UP);
            stage.executors[0].restart(false, KIND_A);
            wait_until(ENTRY_WAKES);
            stage.thaw(&stage.entries[0]);
        }
    });
    let mut broken = Vec::new();
    for start in stage.starts() {
        let requires_b = !start.task.starts_with(TWO_STEPS) || !start.task.contains(".0.0.");
        if requires_b && start.label != "b" {
            broken.push(format!(
                "ROUTE: {} requires label b and starts on executor {} boot {}, of kind {}",
                start.task, start.executor, start.boot, start.label
            ));
        }
    }
    stage.finish(&broken);
}
