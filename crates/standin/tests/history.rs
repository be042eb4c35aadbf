//! `history::find_violations` finds each kind of violation and reports none for correct answers.

use ibisspool_standin::history::{ReceivedAnswer, Violation, find_violations};
use serde_json::{Value, json};

fn inputs() -> Vec<Value> {
    vec![json!({"plot": 0}), json!({"plot": 1})]
}

fn answer_with(outputs: Option<Vec<Value>>, not_run: bool) -> ReceivedAnswer {
    let job = "job".to_owned();
    ReceivedAnswer {
        job,
        inputs: inputs(),
        outputs,
        not_run,
        reason: String::new(),
    }
}

fn starts(started_indices: &[u32]) -> Vec<(String, u32)> {
    started_indices
        .iter()
        .map(|index| ("job".to_owned(), *index))
        .collect()
}

fn violations_of(answer: ReceivedAnswer, started_indices: &[u32]) -> Vec<Violation> {
    let found = find_violations(&[answer], &starts(started_indices));
    found
        .into_iter()
        .map(|(violation, _job)| violation)
        .collect()
}

#[test]
fn complete_answer_with_one_start_per_task_has_no_violation() {
    assert_eq!(
        violations_of(answer_with(Some(inputs()), false), &[0, 1]),
        []
    );
}

#[test]
fn refusal_without_not_run_may_have_started_tasks() {
    assert_eq!(violations_of(answer_with(None, false), &[0]), []);
}

#[test]
fn task_started_twice_is_reported() {
    let found = violations_of(answer_with(Some(inputs()), false), &[0, 1, 0]);

    assert_eq!(found, [Violation::StartedTwice]);
}

#[test]
fn answer_with_missing_output_is_reported() {
    let found = violations_of(answer_with(Some(vec![json!({"plot": 0})]), false), &[0, 1]);

    assert_eq!(found, [Violation::WrongAnswer]);
}

#[test]
fn answer_with_outputs_in_wrong_order_is_reported() {
    let outputs = vec![json!({"plot": 1}), json!({"plot": 0})];

    assert_eq!(
        violations_of(answer_with(Some(outputs), false), &[0, 1]),
        [Violation::WrongAnswer]
    );
}

#[test]
fn refusal_with_not_run_after_a_start_is_reported() {
    assert_eq!(
        violations_of(answer_with(None, true), &[1]),
        [Violation::RanAfterAll]
    );
}

#[test]
fn complete_answer_with_task_that_never_started_is_reported() {
    assert_eq!(
        violations_of(answer_with(Some(inputs()), false), &[0]),
        [Violation::NeverStarted]
    );
}
