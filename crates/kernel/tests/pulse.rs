//! A [`Ticker`] ticks on time under load.

use std::cell::Cell;
use std::time::Duration;

use crossbeam::channel::unbounded;
use ibisspool_core::time::Monotonic;
use ibisspool_kernel::ticker::{Ticker, TickerEvent};

const INTERVAL: Duration = Duration::from_millis(10);
const STEP: Duration = Duration::from_millis(1);
const MESSAGES: u32 = 100;

#[test]
fn ticks_are_on_time_while_messages_are_always_queued() {
    let (sender, receiver) = unbounded();
    (0..MESSAGES).for_each(|number| sender.send(number).expect("the receiver is alive"));
    let clock = Cell::new(Monotonic(0));
    let now = || {
        clock.set(clock.get().plus(STEP));
        clock.get()
    };
    let mut ticker = Ticker::new(INTERVAL, Monotonic(0));

    let events: Vec<TickerEvent<u32>> = (0..MESSAGES)
        .map(|_step| ticker.next_event(&receiver, now))
        .collect();

    let ticks = events
        .iter()
        .filter(|event| **event == TickerEvent::Tick)
        .count();
    let expected_ticks = u128::from(MESSAGES) * STEP.as_millis() / INTERVAL.as_millis();
    assert_eq!(ticks as u128, expected_ticks);
}
