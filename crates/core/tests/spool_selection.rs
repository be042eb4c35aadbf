//! The choice among agents that many entries make at the same time.

use std::time::Duration;

use ibisspool_core::spool::entry::selection::{Knowledge, Rating, select};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const TIME_LEFT: Duration = Duration::from_millis(100);

const DRAWS: u64 = 1_000;

fn rating(cost_ms: u32, free_tasks: f64, knowledge: Knowledge) -> Rating {
    Rating {
        cost_seconds: f64::from(cost_ms) / 1_000.0,
        free_tasks,
        knowledge,
    }
}

/// Returns how often each rating is selected by entries with different random numbers.
fn count_selections(ratings: &[Rating]) -> Vec<u64> {
    let mut counts = vec![0; ratings.len()];
    for seed in 0..DRAWS {
        let mut random = SmallRng::seed_from_u64(seed);
        if let Some(position) = select(ratings, TIME_LEFT, &mut random) {
            counts[position] += 1;
        }
    }
    counts
}

#[test]
fn nothing_is_selected_without_agents() {
    assert!(count_selections(&[]).is_empty());
}

#[test]
fn entries_spread_over_agents_that_end_the_task_in_time() {
    let ratings = [50, 51, 52, 53].map(|cost_ms| rating(cost_ms, 2.0, Knowledge::Home));

    let counts = count_selections(&ratings);

    let fair_share = DRAWS / 4;
    assert!(
        counts
            .iter()
            .all(|&count| count.abs_diff(fair_share) < fair_share / 2),
        "{counts:?}"
    );
}

#[test]
fn an_agent_with_more_free_capacity_is_selected_more_often() {
    let ratings = [
        rating(50, 1.0, Knowledge::Home),
        rating(50, 3.0, Knowledge::Home),
    ];

    let counts = count_selections(&ratings);

    assert!(counts[1] > counts[0] * 2, "{counts:?}");
}

#[test]
fn the_home_share_is_used_while_it_ends_the_task_in_time() {
    let ratings = [
        rating(60, 0.5, Knowledge::Home),
        rating(40, 5.0, Knowledge::Current),
        rating(40, 5.0, Knowledge::Outdated),
    ];

    assert_eq!(count_selections(&ratings), [DRAWS, 0, 0]);
}

#[test]
fn an_agent_outside_the_home_share_is_used_if_the_home_share_is_too_slow() {
    let ratings = [
        rating(90, 5.0, Knowledge::Home),
        rating(50, 1.0, Knowledge::Current),
        rating(40, 5.0, Knowledge::Outdated),
    ];

    assert_eq!(count_selections(&ratings), [0, DRAWS, 0]);
}

#[test]
fn the_fastest_agents_are_used_if_none_ends_the_task_with_a_margin() {
    let ratings = [
        rating(90, 1.0, Knowledge::Outdated),
        rating(120, 5.0, Knowledge::Home),
    ];

    assert_eq!(count_selections(&ratings), [DRAWS, 0]);
}
