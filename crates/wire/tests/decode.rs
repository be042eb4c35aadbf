//! No bytes and no message make a decoder panic; a message that breaks a rule is a typed error.

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

const CASES: u32 = 512;

fn asked() -> Id {
    Id::new(Wall(1_000), [9; 10])
}

/// Bytes of a job id: right, of the wrong length, or of another version.
fn job() -> impl Strategy<Value = Bytes> {
    let right = Just(Bytes::copy_from_slice(asked().as_bytes()));
    let any = prop::collection::vec(any::<u8>(), 0..20).prop_map(Bytes::from);
    prop_oneof![3 => right, 1 => any]
}

fn task() -> impl Strategy<Value = Option<Task>> {
    prop::option::weighted(
        0.9,
        (job(), any::<u32>()).prop_map(|(job, index)| Task { job, index }),
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

fn submission() -> impl Strategy<Value = Question> {
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
    (job(), prop::option::of(verb)).prop_map(|(job, verb)| Question { job, verb })
}

fn answer() -> impl Strategy<Value = Reply> {
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
    (job(), prop::option::of(end)).prop_map(|(job, end)| Reply { job, end })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_bytes_make_a_decoder_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _report = Report::decode(bytes.as_slice()).map(decode::report);
        let _order = Order::decode(bytes.as_slice()).map(decode::order);
        let _question = Question::decode(bytes.as_slice()).map(decode::question);
        let _reply = Reply::decode(bytes.as_slice()).map(|reply| decode::reply(&asked(), reply));
    }

    #[test]
    fn no_cut_message_makes_a_decoder_panic(order in order(), report in report(), at in 0..200_usize) {
        let (order, report) = (order.encode_to_vec(), report.encode_to_vec());
        let _order = Order::decode(&order[..at.min(order.len())]).map(decode::order);
        let _report = Report::decode(&report[..at.min(report.len())]).map(decode::report);
    }

    #[test]
    fn a_report_is_refused_or_keeps_its_meaning(report in report()) {
        if let Ok(decoded) = decode::report(report.clone()) {
            prop_assert_eq!(encode::report(decoded), report);
        }
    }

    #[test]
    fn an_order_is_refused_or_keeps_its_meaning(order in order()) {
        if let Ok(decoded) = decode::order(order.clone()) {
            prop_assert_eq!(encode::order(decoded), order);
        }
    }

    #[test]
    fn a_question_is_refused_or_keeps_its_meaning(question in submission()) {
        if let Ok(decoded) = decode::question(question.clone()) {
            prop_assert_eq!(encode::question(decoded), question);
        }
    }

    #[test]
    fn a_reply_is_refused_or_about_the_job_that_was_asked(reply in answer()) {
        if decode::reply(&asked(), reply.clone()).is_ok() {
            prop_assert_eq!(reply.job.to_vec(), asked().as_bytes().to_vec());
        }
    }
}

fn outcome_of(task: Option<Task>, end: Option<outcome::End>) -> Report {
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

fn task_of(job: &[u8]) -> Task {
    Task {
        job: Bytes::copy_from_slice(job),
        index: 0,
    }
}

#[test]
fn each_broken_rule_is_its_own_error() {
    let id = *asked().as_bytes();
    let mut other_version = id;
    other_version[6] = 0x40;
    let failed = || Some(outcome::End::Failed(String::new()));
    let cases = [
        (outcome_of(None, failed()), Error::Missing("task")),
        (outcome_of(Some(task_of(&id)), None), Error::Missing("end")),
        (
            outcome_of(Some(task_of(&id[..15])), failed()),
            Error::Id(IdError::Syntax),
        ),
        (
            outcome_of(Some(task_of(&other_version)), failed()),
            Error::Id(IdError::Version),
        ),
        (
            outcome_of(Some(task_of(&id)), Some(outcome::End::NotStarted(0))),
            Error::Unknown("not_started"),
        ),
        (
            outcome_of(Some(task_of(&id)), Some(outcome::End::NotStarted(256 + 1))),
            Error::Unknown("not_started"),
        ),
    ];

    for (report, error) in cases {
        assert_eq!(decode::report(report).expect_err("a rule is broken"), error);
    }
}

#[test]
fn a_reply_about_another_job_is_refused() {
    let reply = Reply {
        job: Bytes::copy_from_slice(Id::new(Wall(2_000), [1; 10]).as_bytes()),
        end: Some(reply::End::Trace(Bytes::new())),
    };

    let refused = decode::reply(&asked(), reply);

    assert_eq!(
        refused.expect_err("it is another job's"),
        Error::Unknown("job")
    );
}
