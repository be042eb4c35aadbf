//! Decoders never panic, whatever the bytes or the message; an invalid message is a typed error,
//! and a valid one is unchanged by decoding and encoding.

use bytes::Bytes;
use ibisspool_core::job::{Id, IdError};
use ibisspool_core::time::Wall;
use ibisspool_wire::decode::{self, Error};
use ibisspool_wire::encode;
use ibisspool_wire::generated::{
    Attempt, Dispatch, Empty, Order, Outcome, Outputs, Question, Refusal, Reply, Report, Submit,
    Task, outcome, question, reply,
};
use proptest::prelude::*;
use prost::Message;

const CASES_PER_PROPERTY: u32 = 512;

fn requested_id() -> Id {
    Id::new(Wall(1_000), [9; 10])
}

/// Bytes of a job id: mostly valid, else of the wrong length or not a UUID of version 7.
fn job_bytes() -> impl Strategy<Value = Bytes> {
    let valid = Just(Bytes::copy_from_slice(requested_id().as_bytes()));
    let any = prop::collection::vec(any::<u8>(), 0..20).prop_map(Bytes::from);
    prop_oneof![3 => valid, 1 => any]
}

fn task() -> impl Strategy<Value = Option<Task>> {
    prop::option::weighted(
        0.9,
        (job_bytes(), any::<u32>()).prop_map(|(job, index)| Task { job, index }),
    )
}

fn output() -> impl Strategy<Value = Bytes> {
    prop::collection::vec(any::<u8>(), 0..8).prop_map(Bytes::from)
}

fn end() -> impl Strategy<Value = Option<outcome::End>> {
    prop::option::weighted(
        0.9,
        prop_oneof![
            output().prop_map(outcome::End::Done),
            any::<String>().prop_map(outcome::End::Failed),
            any::<String>().prop_map(outcome::End::Unknown),
            (0..9_u32).prop_map(outcome::End::NotStarted),
            any::<u32>().prop_map(outcome::End::NotStarted),
        ],
    )
}

fn report() -> impl Strategy<Value = Report> {
    let outcome = (task(), end(), any::<u32>()).prop_map(|(task, end, attempt)| Outcome {
        task,
        attempt,
        end,
        ..Outcome::default()
    });
    (prop::collection::vec(outcome, 0..4), any::<u64>()).prop_map(|(outcomes, stamp_us)| Report {
        stamp_us,
        outcomes,
        ..Report::default()
    })
}

fn order() -> impl Strategy<Value = Order> {
    let dispatch =
        (task(), any::<String>(), any::<u64>()).prop_map(|(task, kind, timeout_ms)| Dispatch {
            task,
            kind,
            timeout_ms,
            ..Dispatch::default()
        });
    let query = (task(), any::<u32>()).prop_map(|(task, attempt)| Attempt { task, attempt });
    (
        prop::collection::vec(dispatch, 0..3),
        prop::collection::vec(query, 0..3),
        prop::collection::vec(task(), 0..3),
        any::<(u64, u64, Option<u64>)>(),
    )
        .prop_map(
            |(dispatches, queries, recalls, (epoch, acknowledged, permit_us))| Order {
                epoch,
                permit_us,
                dispatches,
                queries,
                recalls: recalls.into_iter().flatten().collect(),
                acknowledged,
                ..Order::default()
            },
        )
}

fn question() -> impl Strategy<Value = Question> {
    let submit = any::<(String, u64, bool)>().prop_map(|(kind, timeout_ms, idempotent)| Submit {
        kind,
        inputs: vec![Bytes::new()],
        timeout_ms,
        idempotent,
    });
    let verb = prop_oneof![
        submit.prop_map(question::Verb::Submit),
        Just(question::Verb::Get(Empty {})),
    ];
    (job_bytes(), prop::option::of(verb)).prop_map(|(job, verb)| Question { job, verb })
}

fn reply() -> impl Strategy<Value = Reply> {
    let refusal = (any::<String>(), any::<String>()).prop_map(|(reason, ran)| Refusal {
        reason,
        ran,
        ..Refusal::default()
    });
    let end = prop_oneof![
        prop::collection::vec(output(), 0..3)
            .prop_map(|outputs| reply::End::Complete(Outputs { outputs })),
        refusal.prop_map(reply::End::Refused),
        output().prop_map(reply::End::Trace),
    ];
    (job_bytes(), prop::option::of(end)).prop_map(|(job, end)| Reply { job, end })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES_PER_PROPERTY,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _report = Report::decode(bytes.as_slice()).map(decode::report);
        let _order = Order::decode(bytes.as_slice()).map(decode::order);
        let _question = Question::decode(bytes.as_slice()).map(decode::question);
        let _reply = Reply::decode(bytes.as_slice()).map(|reply| decode::reply(&requested_id(), reply));
    }

    #[test]
    fn decoding_truncated_messages_never_panics(order in order(), report in report(), length in 0..200_usize) {
        let (order, report) = (order.encode_to_vec(), report.encode_to_vec());
        let _order = Order::decode(&order[..length.min(order.len())]).map(decode::order);
        let _report = Report::decode(&report[..length.min(report.len())]).map(decode::report);
    }

    #[test]
    fn report_is_rejected_or_unchanged_by_decode_and_encode(report in report()) {
        if let Ok(decoded) = decode::report(report.clone()) {
            prop_assert_eq!(encode::report(decoded), report);
        }
    }

    #[test]
    fn order_is_rejected_or_unchanged_by_decode_and_encode(order in order()) {
        if let Ok(decoded) = decode::order(order.clone()) {
            prop_assert_eq!(encode::order(decoded), order);
        }
    }

    #[test]
    fn question_is_rejected_or_unchanged_by_decode_and_encode(question in question()) {
        if let Ok(decoded) = decode::question(question.clone()) {
            prop_assert_eq!(encode::question(decoded), question);
        }
    }

    #[test]
    fn reply_is_rejected_or_about_the_requested_job(reply in reply()) {
        if decode::reply(&requested_id(), reply.clone()).is_ok() {
            prop_assert_eq!(reply.job.to_vec(), requested_id().as_bytes().to_vec());
        }
    }
}

fn report_with_outcome(task: Option<Task>, end: Option<outcome::End>) -> Report {
    let outcome = Outcome {
        task,
        end,
        ..Outcome::default()
    };
    Report {
        outcomes: vec![outcome],
        ..Report::default()
    }
}

fn task_of_job(job: &[u8]) -> Task {
    Task {
        job: Bytes::copy_from_slice(job),
        index: 0,
    }
}

#[test]
fn each_kind_of_invalid_report_has_its_own_error() {
    let id = *requested_id().as_bytes();
    let mut other_version = id;
    other_version[6] = 0x40;
    let failed = || Some(outcome::End::Failed(String::new()));
    let cases = [
        (report_with_outcome(None, failed()), Error::Missing("task")),
        (
            report_with_outcome(Some(task_of_job(&id)), None),
            Error::Missing("end"),
        ),
        (
            report_with_outcome(Some(task_of_job(&id[..15])), failed()),
            Error::Id(IdError::Syntax),
        ),
        (
            report_with_outcome(Some(task_of_job(&other_version)), failed()),
            Error::Id(IdError::Version),
        ),
        (
            report_with_outcome(Some(task_of_job(&id)), Some(outcome::End::NotStarted(0))),
            Error::Unknown("not_started"),
        ),
        (
            report_with_outcome(
                Some(task_of_job(&id)),
                Some(outcome::End::NotStarted(256 + 1)),
            ),
            Error::Unknown("not_started"),
        ),
    ];

    for (report, error) in cases {
        assert_eq!(
            decode::report(report).expect_err("the report is invalid"),
            error
        );
    }
}

#[test]
fn reply_about_another_job_is_rejected() {
    let reply = Reply {
        job: Bytes::copy_from_slice(Id::new(Wall(2_000), [1; 10]).as_bytes()),
        end: Some(reply::End::Trace(Bytes::new())),
    };

    let decoded = decode::reply(&requested_id(), reply);

    assert_eq!(
        decoded.expect_err("the reply is about another job"),
        Error::Unknown("job")
    );
}
