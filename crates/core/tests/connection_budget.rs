//! Which connections are closed when the budget of bytes or of connections is used up, and that
//! callers inside the limits are not.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use ibisspool_core::connection_budget::{
    ConnectionBudget, ConnectionKey, Limits, RATE_GRACE, Refused, retry_after,
};
use ibisspool_core::time::Monotonic;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const LIMITS: Limits = Limits {
    body_bytes: 1_000,
    connections: 8,
    min_body_rate: 64,
};

fn at(seconds: u64) -> Monotonic {
    Monotonic::default().plus(Duration::from_secs(seconds))
}

fn client(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

/// Opens a connection whose body of `bytes` arrives at once and has no end.
fn open_body(budget: &mut ConnectionBudget, from: u8, bytes: usize, now: u64) -> ConnectionKey {
    let key = budget.admit(client(from), at(now)).expect("there is room");
    budget
        .begin_body(key, at(now))
        .expect("the connection is open");
    budget
        .receive(key, bytes, bytes, at(now))
        .expect("there is room");
    key
}

#[test]
fn everything_is_let_in_up_to_the_limits() {
    let mut budget = ConnectionBudget::new(LIMITS);

    for number in 0..8 {
        open_body(&mut budget, number, 125, 0);
    }

    assert_eq!((budget.connections(), budget.bytes()), (8, 1_000));
}

#[test]
fn the_body_without_progress_for_longest_is_closed_first() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let stuck = open_body(&mut budget, 1, 400, 1);
    let moving = open_body(&mut budget, 1, 400, 0);
    budget
        .receive(moving, 1, 400, at(2))
        .expect("the buffer has room");

    let key = budget.admit(client(1), at(3)).expect("there is room");
    budget.receive(key, 300, 300, at(3)).expect("room is made");
    let closed = budget.take_closed();

    assert_eq!(closed.as_slice(), [stuck]);
    assert_eq!(budget.bytes(), 700);
}

#[test]
fn a_closed_connection_runs_nothing() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let stuck = open_body(&mut budget, 1, 900, 0);
    open_body(&mut budget, 1, 900, 1);

    assert_eq!(budget.begin_answer(stuck), Err(Refused));
    assert_eq!(budget.receive(stuck, 1, 901, at(2)), Err(Refused));
}

#[test]
fn a_whole_request_is_never_closed() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let answering: Vec<ConnectionKey> = (0..8)
        .map(|number| open_body(&mut budget, number, 125, 0))
        .collect();
    for key in &answering {
        budget.begin_answer(*key).expect("the connection is open");
    }

    assert_eq!(budget.admit(client(9), at(100)), Err(Refused));
    budget.close_slow_bodies(at(1_000));
    assert!(budget.take_closed().is_empty());
    // The buffer of a whole body counts until it is freed.
    assert_eq!(budget.bytes(), 1_000);
    budget.release(client(0), 125);
    assert_eq!(budget.bytes(), 875);
}

#[test]
fn a_single_body_above_the_budget_is_let_in_when_nothing_else_is_in_flight() {
    let mut budget = ConnectionBudget::new(LIMITS);

    open_body(&mut budget, 1, 5_000, 0);

    assert_eq!(budget.bytes(), 5_000);
}

#[test]
fn a_client_that_holds_most_is_cut_before_others() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let small = open_body(&mut budget, 1, 100, 0);
    let first_of_crowd = open_body(&mut budget, 2, 450, 1);
    open_body(&mut budget, 2, 450, 2);

    // The crowd cannot push out the older body of another client.
    let key = budget.admit(client(2), at(3)).expect("there is room");
    budget.receive(key, 300, 300, at(3)).expect("room is made");
    let closed = budget.take_closed();
    assert_eq!(closed.as_slice(), [first_of_crowd]);

    // Another client pushes out the crowd.
    let key = budget.admit(client(3), at(4)).expect("there is room");
    budget.receive(key, 200, 200, at(4)).expect("room is made");
    let closed = budget.take_closed();
    assert_eq!(closed.len(), 1);
    assert_eq!(budget.receive(small, 1, 100, at(5)), Ok(()));
}

#[test]
fn connections_that_never_sent_a_request_are_closed_before_idle_ones() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let idle = budget.admit(client(1), at(0)).expect("there is room");
    budget.begin_answer(idle).expect("the connection is open");
    budget.end_answer(idle, at(1));
    let silent: Vec<ConnectionKey> = (2..9)
        .map(|second| budget.admit(client(1), at(second)).expect("there is room"))
        .collect();

    budget.admit(client(1), at(10)).expect("room is made");
    let closed = budget.take_closed();

    assert_eq!(closed.as_slice(), [silent[0]]);
    assert_eq!(budget.connections(), 8);
}

#[test]
fn one_client_cannot_take_all_connections() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let other = budget.admit(client(1), at(0)).expect("there is room");
    for second in 1..100 {
        budget.admit(client(2), at(second)).expect("room is made");
        let closed = budget.take_closed();
        assert!(!closed.contains(&other));
    }
    assert_eq!(budget.begin_answer(other), Ok(0));
}

#[test]
fn a_slow_body_within_the_rate_is_kept_and_one_below_it_closed() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let fast_enough = open_body(&mut budget, 1, 64, 0);
    let too_slow = open_body(&mut budget, 1, 64, 0);
    for second in 1..=60 {
        budget
            .receive(fast_enough, 64, 64, at(second))
            .expect("the connection is open");
    }

    budget.close_slow_bodies(Monotonic::default().plus(RATE_GRACE));
    let before = budget.take_closed();
    budget.close_slow_bodies(at(60));
    let after = budget.take_closed();

    assert!(before.is_empty());
    assert_eq!(after.as_slice(), [too_slow]);
}

#[test]
fn a_load_balancer_whose_connections_wait_for_answers_gets_another_one() {
    let mut budget = ConnectionBudget::new(LIMITS);
    for _connection in 0..5 {
        let key = budget.admit(client(1), at(0)).expect("there is room");
        budget.begin_answer(key).expect("the connection is open");
    }
    let silent: Vec<ConnectionKey> = (1..4)
        .map(|second| budget.admit(client(2), at(second)).expect("there is room"))
        .collect();

    budget.admit(client(1), at(10)).expect("room is made");

    assert_eq!(budget.take_closed().as_slice(), [silent[0]]);
}

#[test]
fn connections_that_were_removed_before_a_refusal_are_still_named() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let whole = open_body(&mut budget, 1, 800, 0);
    budget.begin_answer(whole).expect("the connection is open");
    let unfinished = open_body(&mut budget, 1, 100, 1);
    let key = budget.admit(client(1), at(2)).expect("there is room");

    let received = budget.receive(key, 500, 500, at(2));

    assert_eq!(received, Err(Refused));
    assert_eq!(budget.take_closed().as_slice(), [unfinished]);
}

#[test]
fn all_bytes_are_released_when_connections_end() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let unfinished = open_body(&mut budget, 1, 100, 0);
    let whole = open_body(&mut budget, 1, 200, 0);
    let bytes = budget.begin_answer(whole).expect("the connection is open");

    budget.remove(unfinished);
    budget.remove(whole);
    budget.release(client(1), bytes);

    assert_eq!((budget.bytes(), budget.connections()), (0, 0));
}

/// Guards against a single body inside the limits that is refused while stalled ones hold the budget:
/// its client alone exceeds an equal share and has nothing else to give up.
#[test]
fn a_large_body_is_let_in_beside_stalled_ones_of_other_clients() {
    let mut budget = ConnectionBudget::new(LIMITS);
    for number in 1..5 {
        open_body(&mut budget, number, 240, 0);
    }

    let key = budget.admit(client(9), at(9)).expect("there is room");
    budget
        .begin_body(key, at(9))
        .expect("the connection is open");
    let received = budget.receive(key, 260, 260, at(9));

    assert_eq!(received, Ok(()));
    assert_eq!(budget.take_closed().len(), 1);
}

/// Guards against an ordinary caller whose new connection is closed before its request was read,
/// while connections that were served long ago stay open.
#[test]
fn an_idle_connection_that_was_served_goes_before_a_fresh_one() {
    let mut budget = ConnectionBudget::new(LIMITS);
    for _ in 0..8 {
        let key = budget.admit(client(1), at(0)).expect("there is room");
        budget.begin_answer(key).expect("the connection is open");
        budget.end_answer(key, at(1));
    }

    let first = budget.admit(client(1), at(9)).expect("room is made");
    budget.admit(client(1), at(9)).expect("room is made");

    assert!(!budget.take_closed().contains(&first));
}

/// Guards against served connections of a load balancer that are closed for stalled ones of others.
#[test]
fn stalled_connections_go_before_served_ones_of_the_largest_client() {
    let mut budget = ConnectionBudget::new(LIMITS);
    for _ in 0..4 {
        let key = budget.admit(client(1), at(0)).expect("there is room");
        budget.begin_answer(key).expect("the connection is open");
        budget.end_answer(key, at(1));
    }
    let stalled: Vec<ConnectionKey> = (2..6)
        .map(|number| budget.admit(client(number), at(2)).expect("there is room"))
        .collect();

    budget.admit(client(7), at(9)).expect("room is made");

    assert_eq!(budget.take_closed().as_slice(), [stalled[0]]);
}

#[test]
fn retry_delays_are_spread_over_whole_seconds() {
    const CALLERS: usize = 4_000;
    let mut random = SmallRng::seed_from_u64(1);

    let mut returns: BTreeMap<Duration, usize> = BTreeMap::new();
    for _caller in 0..CALLERS {
        *returns.entry(retry_after(&mut random)).or_default() += 1;
    }

    let seconds: Vec<u64> = returns.keys().map(Duration::as_secs).collect();
    assert_eq!(seconds, [1, 2, 3, 4]);
    assert!(returns.keys().all(|delay| delay.subsec_nanos() == 0));
    // No second gets more than a third of the callers.
    assert!(returns.values().all(|count| *count < CALLERS / 3));
}
