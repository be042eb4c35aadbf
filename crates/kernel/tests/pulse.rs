//! Ticks go on under load.

use std::cell::Cell;
use std::time::Duration;

use crossbeam::channel::unbounded;
use ibisspool_core::time::Mono;
use ibisspool_kernel::ticker::{Ticker, TickerEvent};

const EVERY: Duration = Duration::from_millis(10);
const STEP: Duration = Duration::from_millis(1);
const MESSAGES: u32 = 100;

#[test]
fn messages_that_never_cease_do_not_hold_up_ticks() {
    let (sender, receiver) = unbounded();
    (0..MESSAGES).for_each(|number| sender.send(number).expect("the receiver is alive"));
    let clock = Cell::new(Mono(0));
    let now = || {
        clock.set(clock.get().plus(STEP));
        clock.get()
    };
    let mut ticker = Ticker::new(EVERY, Mono(0));

    let nexts: Vec<TickerEvent<u32>> = (0..MESSAGES)
        .map(|_step| ticker.next_event(&receiver, now))
        .collect();

    let ticks = nexts
        .iter()
        .filter(|next| **next == TickerEvent::Tick)
        .count();
    let next_tick = u128::from(MESSAGES) * STEP.as_millis() / EVERY.as_millis();
    assert_eq!(ticks as u128, next_tick);
}
