//! The plan of a job against a direct search of its steps, for drawn jobs.

use std::time::Duration;

use ibisspool_core::spool::entry::plan::Plan;
use ibisspool_core::spool::job::{Resources, Step};
use proptest::prelude::*;
use smallvec::SmallVec;

/// Steps with up to three tasks, some without any, that depend on drawn earlier ones, some twice.
fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0u32..4, 1u64..50, prop::collection::vec(any::<u16>(), 0..6));
    prop::collection::vec(step, 1..12).prop_map(|drawn| {
        let numbered = drawn.into_iter().enumerate();
        numbered
            .map(|(number, (tasks, millis, after))| {
                let earlier = after.iter().filter(|_before| number > 0);
                step_with(
                    tasks,
                    millis,
                    earlier.map(|before| before % number as u16).collect(),
                )
            })
            .collect()
    })
}

fn step_with(task_count: u32, millis: u64, depends_on: SmallVec<[u16; 4]>) -> Step {
    Step {
        task_count,
        needs: Resources::default(),
        estimate: Duration::from_millis(millis),
        depends_on,
        label: None,
        rack: None,
        max_tasks_per_server: None,
    }
}

/// Returns the longest chain among the steps from `first` on, by the ends of all earlier ones.
fn longest_chain(steps: &[Step], first: usize) -> Duration {
    let mut ends = vec![Duration::ZERO; steps.len()];
    for (number, step) in steps.iter().enumerate().skip(first) {
        let before = step
            .depends_on
            .iter()
            .map(|&before| ends[usize::from(before)]);
        ends[number] = before.max().unwrap_or_default() + step.estimate;
    }
    ends.into_iter().max().unwrap_or_default()
}

fn is_ready(steps: &[Step], left: &[u32], step: usize) -> bool {
    let depends_on = &steps[step].depends_on;
    depends_on
        .iter()
        .all(|&before| left[usize::from(before)] == 0)
}

proptest! {
    #[test]
    fn longest_chains_are_those_of_a_direct_search(steps in steps()) {
        let plan = Plan::new(&steps, |step| step.estimate);

        for first in 0..steps.len() {
            prop_assert_eq!(plan.longest_chain(first as u16), longest_chain(&steps, first));
        }
        prop_assert_eq!(plan.longest_chain(steps.len() as u16), Duration::ZERO);
    }

    #[test]
    fn a_step_starts_once_all_that_it_depends_on_have_ended(
        steps in steps(),
        order in prop::collection::vec(any::<prop::sample::Index>(), 40),
    ) {
        let mut plan = Plan::new(&steps, |step| step.estimate);
        let mut left: Vec<u32> = steps.iter().map(|step| step.task_count).collect();
        let mut blocked: Vec<bool> = (0..steps.len())
            .map(|step| !is_ready(&steps, &left, step))
            .collect();
        for (step, blocked) in blocked.iter().enumerate() {
            prop_assert_eq!(plan.is_blocked(step as u16), *blocked);
        }

        for index in order {
            let running: Vec<usize> = (0..steps.len())
                .filter(|&step| !blocked[step] && left[step] > 0)
                .collect();
            if running.is_empty() {
                break;
            }
            let step = *index.get(&running);
            left[step] -= 1;
            let mut unblocked = plan.complete_task(step as u16).to_vec();
            unblocked.sort_unstable();
            let expected: Vec<u16> = (0..steps.len())
                .filter(|&step| blocked[step] && is_ready(&steps, &left, step))
                .map(|step| step as u16)
                .collect();
            prop_assert_eq!(&unblocked, &expected);
            for step in expected {
                blocked[usize::from(step)] = false;
            }
        }
    }
}
