//! The check of a history finds each broken promise.

use ibisspool_standin::history::{Broken, Told, check};
use serde_json::{Value, json};

fn inputs() -> Vec<Value> {
    vec![json!({"plot": 0}), json!({"plot": 1})]
}

fn told(outputs: Option<Vec<Value>>, not_run: bool) -> Told {
    let job = "job".to_owned();
    Told {
        job,
        inputs: inputs(),
        outputs,
        not_run,
        reason: String::new(),
    }
}

fn starts(indices: &[u32]) -> Vec<(String, u32)> {
    indices
        .iter()
        .map(|index| ("job".to_owned(), *index))
        .collect()
}

fn broken(answer: Told, indices: &[u32]) -> Vec<Broken> {
    let found = check(&[answer], &starts(indices));
    found.into_iter().map(|(rule, _job)| rule).collect()
}

#[test]
fn whole_answer_with_one_start_each_keeps_every_promise() {
    assert_eq!(broken(told(Some(inputs()), false), &[0, 1]), []);
}

#[test]
fn refusal_that_does_not_say_not_run_may_have_started() {
    assert_eq!(broken(told(None, false), &[0]), []);
}

#[test]
fn second_start_is_found() {
    let found = broken(told(Some(inputs()), false), &[0, 1, 0]);

    assert_eq!(found, [Broken::StartedTwice]);
}

#[test]
fn partial_answer_is_found() {
    let found = broken(told(Some(vec![json!({"plot": 0})]), false), &[0, 1]);

    assert_eq!(found, [Broken::WrongAnswer]);
}

#[test]
fn crossed_answer_is_found() {
    let outputs = vec![json!({"plot": 1}), json!({"plot": 0})];

    assert_eq!(
        broken(told(Some(outputs), false), &[0, 1]),
        [Broken::WrongAnswer]
    );
}

#[test]
fn untrue_not_run_is_found() {
    assert_eq!(broken(told(None, true), &[1]), [Broken::RanAfterAll]);
}

#[test]
fn answer_without_a_start_is_found() {
    assert_eq!(
        broken(told(Some(inputs()), false), &[0]),
        [Broken::NeverStarted]
    );
}
