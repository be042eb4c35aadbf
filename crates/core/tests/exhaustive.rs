//! Exhaustive search of a small takeover for a task that starts under the old epoch after the new
//! one is in force, with the production code for leases, takeover and permits.
//!
//! Member 0 writes one change. Member 1 dispatches tasks under the old epoch as long as it can. A
//! third member may answer both. Messages may be delayed or lost, and any time may pass between two
//! steps. Time is counted in halves of a lease.

use std::time::Duration;

use ibisspool_core::control::{Member, Row};
use ibisspool_core::frame::Hello;
use ibisspool_core::lease::{EpochTracker, Lease};
use ibisspool_core::placement::Agent;
use ibisspool_core::settings::Timing;
use ibisspool_core::time::Monotonic;
use pathfinding::directed::bfs::bfs_reach;
use smallvec::SmallVec;

/// Half the length of a lease, the unit of time of the model.
const HALF_LEASE: Duration = Duration::from_millis(500);

/// The present. When time passes, all recorded times move into the past instead. Time 0 stands for
/// all times longer ago than a lease, which make no difference, so that there are finitely many
/// states.
const NOW: u8 = 3;

/// Most stamps that the dispatcher remembers.
const MAX_STAMPS: usize = 2;

/// The member that writes the change.
const WRITER: usize = 0;

/// The member that dispatches tasks under the old epoch.
const DISPATCHER: usize = 1;

/// Most members in a model.
const MAX_MEMBERS: usize = 3;

/// A deliberate fault in the protocol, which must lead to a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// One answer counts as the answers of so many members that the others are no majority.
    SingleAnswerAsBlockingSet,
    /// A change counts as in force without waiting for the leases to lapse.
    NoWaitForLeases,
    /// The agent starts tasks however old the permit is.
    NoPermitCheck,
    /// Orders carry the newest stamp, even if it arrived after the heartbeats of the lease were
    /// sent.
    NewestStampAsPermit,
    /// A lease starts when the answer to a heartbeat arrives, not when the heartbeat was sent.
    LeaseFromAnswerTime,
}

/// The system whose states are searched.
#[derive(Debug, Clone, Copy)]
struct Model {
    members: usize,
    mutant: Mutant,
}

/// A heartbeat of the dispatcher to another member. A lost heartbeat needs no state of its own: it
/// is one that the next heartbeat replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Heartbeat {
    Idle,
    Sent { sent: u8 },
    Answered { sent: u8 },
}

/// A state of the system: which members have adopted the change, what they have heard, and the
/// messages in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// When the writer wrote the change.
    written_at: Option<u8>,
    /// Whether each member has adopted the change.
    has_adopted: [bool; MAX_MEMBERS],
    /// Latest heartbeat of the dispatcher to each member.
    heartbeats: [Heartbeat; MAX_MEMBERS],
    /// When the latest heartbeat was sent that each member answered to the dispatcher.
    last_confirmed_at: [Option<u8>; MAX_MEMBERS],
    /// When the writer heard from each member that it has adopted the change.
    adoption_heard_at: [Option<u8>; MAX_MEMBERS],
    /// The stamp of the agent's report on its way to the dispatcher.
    stamp_in_flight: Option<u8>,
    /// The newest stamps at the dispatcher and when they arrived, oldest first.
    received_stamps: SmallVec<[(u8, u8); MAX_STAMPS]>,
    /// The permit of an order on its way to the agent.
    permit_in_flight: Option<u8>,
    /// The permit of a task that waits at the agent.
    queued_permit: Option<u8>,
    /// Whether the writer has counted the change as in force.
    in_force: bool,
    /// Whether a task has started under the old epoch after that.
    violated: bool,
}

/// Returns a time of the model as monotonic time.
fn mono(time: u8) -> Monotonic {
    Monotonic(0).plus(HALF_LEASE * u32::from(time))
}

fn timing() -> Timing {
    Timing {
        lease_duration: HALF_LEASE * 2,
        lease_margin: Duration::ZERO,
        ..Timing::default()
    }
}

fn member_name(number: usize) -> String {
    format!("member-{number}")
}

impl Model {
    fn initial_state() -> State {
        State {
            written_at: None,
            has_adopted: [false; MAX_MEMBERS],
            heartbeats: [Heartbeat::Idle; MAX_MEMBERS],
            last_confirmed_at: [None; MAX_MEMBERS],
            adoption_heard_at: [None; MAX_MEMBERS],
            stamp_in_flight: None,
            received_stamps: SmallVec::new(),
            permit_in_flight: None,
            queued_permit: None,
            in_force: false,
            violated: false,
        }
    }

    /// Returns the control row before the change.
    fn row(self) -> Row {
        let member = |number| Member {
            name: member_name(number),
            incarnation: 1,
            address: String::new(),
            data_centre: String::new(),
        };
        Row {
            epoch: 1,
            members: (0..self.members).map(member).collect(),
            ..Row::default()
        }
    }

    /// Returns the start of the dispatcher's lease, `None` if it holds none.
    fn lease_start(self, state: &State) -> Option<Monotonic> {
        let mut lease = Lease::new();
        lease.record_row_read(mono(0));
        for (number, sent) in state.last_confirmed_at.iter().enumerate() {
            if let Some(sent) = sent {
                lease.confirm_by_peer(&member_name(number), mono(*sent));
            }
        }
        lease.confirmed_at(&member_name(DISPATCHER), &self.row(), &timing(), mono(NOW))
    }

    /// Returns the stamp that the dispatcher may send as the permit of an order.
    fn permit(self, state: &State, lease_start: Monotonic) -> Option<u8> {
        if self.mutant == Mutant::NewestStampAsPermit {
            return state
                .received_stamps
                .iter()
                .map(|(stamp, _arrived)| *stamp)
                .max();
        }
        let hello = Hello {
            agent: String::new(),
            data_centre: String::new(),
            slots: 1,
            kinds: Vec::new(),
            leaving: false,
        };
        let mut agent = Agent::new(hello, 1, 1, mono(0));
        for (stamp, arrived) in &state.received_stamps {
            agent.record_stamp(mono(*stamp), mono(*arrived));
        }
        let permit = agent.permit(lease_start)?;
        (0..=NOW).find(|time| mono(*time) == permit)
    }

    /// Returns whether the writer counts the change as in force.
    fn is_in_force(self, state: &State) -> bool {
        let Some(written) = state.written_at else {
            return false;
        };
        let mut takeover = EpochTracker::new();
        takeover.track(self.row(), &member_name(WRITER), mono(written));
        for (number, heard_at) in state.adoption_heard_at.iter().enumerate() {
            let heard_at = match self.mutant {
                Mutant::SingleAnswerAsBlockingSet => Some(written),
                _ => *heard_at,
            };
            if let Some(heard_at) = heard_at {
                takeover.record_confirmation(&member_name(number), 1, 2, mono(heard_at));
            }
        }
        let mut timing = timing();
        if self.mutant == Mutant::NoWaitForLeases {
            timing.lease_duration = Duration::ZERO;
        }
        takeover.drop_lapsed_epochs(&timing, mono(NOW));
        takeover.is_in_force(2)
    }

    /// Returns whether the agent may start a task with this permit now.
    fn is_permitted(self, permit: u8) -> bool {
        self.mutant == Mutant::NoPermitCheck
            || mono(NOW).since(mono(permit)) <= timing().lease_duration
    }

    /// Returns the states that can follow in one step.
    fn successors(self, state: &State) -> Vec<State> {
        let is_over = state.has_adopted[DISPATCHER]
            && state.permit_in_flight.is_none()
            && state.queued_permit.is_none();
        if state.violated || is_over {
            return Vec::new();
        }
        let mut next = Vec::new();
        self.add_time_step(state, &mut next);
        self.add_membership_steps(state, &mut next);
        if !state.has_adopted[DISPATCHER] {
            self.add_heartbeat_steps(state, &mut next);
            add_stamp_steps(state, &mut next);
            self.add_dispatch_step(state, &mut next);
        }
        self.add_agent_steps(state, &mut next);
        next
    }

    /// Adds the step in which half a lease passes, after which the change may count as in force.
    fn add_time_step(self, state: &State, next: &mut Vec<State>) {
        let mut later = state.clone();
        later.shift_into_the_past();
        later.in_force |= self.is_in_force(&later);
        next.push(later);
    }

    /// Adds the steps in which the writer writes the change, another member adopts it, or the
    /// writer hears that a member has adopted it.
    fn add_membership_steps(self, state: &State, next: &mut Vec<State>) {
        for number in 0..self.members {
            let mut changed = state.clone();
            if number == WRITER {
                if state.written_at.is_some() {
                    continue;
                }
                changed.written_at = Some(NOW);
                changed.has_adopted[WRITER] = true;
            } else if state.written_at.is_some() && !state.has_adopted[number] {
                changed.has_adopted[number] = true;
                if number == DISPATCHER {
                    changed.drop_old_epoch_evidence();
                }
            } else if state.has_adopted[number] && state.adoption_heard_at[number].is_none() {
                changed.adoption_heard_at[number] = Some(NOW);
            } else {
                continue;
            }
            next.push(changed);
        }
    }

    /// Adds the steps in which the dispatcher sends a heartbeat or the answer to one is sent or
    /// arrives.
    fn add_heartbeat_steps(self, state: &State, next: &mut Vec<State>) {
        for to in (0..self.members).filter(|to| *to != DISPATCHER) {
            let mut sent_again = state.clone();
            sent_again.heartbeats[to] = Heartbeat::Sent { sent: NOW };
            next.push(sent_again);
            let mut changed = state.clone();
            match state.heartbeats[to] {
                Heartbeat::Sent { sent } if !state.has_adopted[to] => {
                    changed.heartbeats[to] = Heartbeat::Answered { sent };
                }
                Heartbeat::Answered { sent } => {
                    let confirmed_at = match self.mutant {
                        Mutant::LeaseFromAnswerTime => NOW,
                        _ => sent,
                    };
                    changed.heartbeats[to] = Heartbeat::Idle;
                    changed.last_confirmed_at[to] =
                        state.last_confirmed_at[to].max(Some(confirmed_at));
                }
                // A member that has adopted the change does not confirm the old epoch.
                Heartbeat::Sent { .. } | Heartbeat::Idle => continue,
            }
            next.push(changed);
        }
    }

    /// Adds the step in which the dispatcher sends a task, if its lease and a stamp allow that.
    fn add_dispatch_step(self, state: &State, next: &mut Vec<State>) {
        if state.permit_in_flight.is_none()
            && let Some(lease_start) = self.lease_start(state)
            && let Some(permit) = self.permit(state, lease_start)
        {
            let mut changed = state.clone();
            changed.permit_in_flight = Some(permit);
            next.push(changed);
        }
    }

    /// Adds the steps in which the agent queues the task of an order or starts a queued task.
    fn add_agent_steps(self, state: &State, next: &mut Vec<State>) {
        if let (Some(permit), None) = (state.permit_in_flight, state.queued_permit) {
            let mut changed = state.clone();
            changed.permit_in_flight = None;
            changed.queued_permit = Some(permit);
            next.push(changed);
        }
        if let Some(permit) = state.queued_permit {
            let mut changed = state.clone();
            changed.queued_permit = None;
            changed.violated = state.in_force && self.is_permitted(permit);
            next.push(changed);
        }
    }
}

impl State {
    /// Moves all recorded times half a lease into the past.
    fn shift_into_the_past(&mut self) {
        let age = |time: &mut u8| *time = time.saturating_sub(1);
        for heartbeat in &mut self.heartbeats {
            if let Heartbeat::Sent { sent } | Heartbeat::Answered { sent } = heartbeat {
                age(sent);
            }
        }
        let times = [
            &mut self.written_at,
            &mut self.stamp_in_flight,
            &mut self.permit_in_flight,
            &mut self.queued_permit,
        ];
        for time in times
            .into_iter()
            .chain(&mut self.last_confirmed_at)
            .chain(&mut self.adoption_heard_at)
            .flatten()
        {
            age(time);
        }
        for (stamp, arrived) in &mut self.received_stamps {
            age(stamp);
            age(arrived);
        }
    }

    /// Drops what the dispatcher knew under the old epoch.
    fn drop_old_epoch_evidence(&mut self) {
        self.heartbeats = [Heartbeat::Idle; MAX_MEMBERS];
        self.last_confirmed_at = [None; MAX_MEMBERS];
        self.stamp_in_flight = None;
        self.received_stamps.clear();
    }
}

/// Adds the steps in which the agent sends a report with its stamp or the report arrives. A lost
/// report is one that the next report replaces.
fn add_stamp_steps(state: &State, next: &mut Vec<State>) {
    let mut sent_again = state.clone();
    sent_again.stamp_in_flight = Some(NOW);
    next.push(sent_again);
    if let Some(stamp) = state.stamp_in_flight {
        let mut changed = state.clone();
        changed.stamp_in_flight = None;
        if changed.received_stamps.len() == MAX_STAMPS {
            changed.received_stamps.remove(0);
        }
        changed.received_stamps.push((stamp, NOW));
        next.push(changed);
    }
}

/// Searches all reachable states up to the first violation. Returns the number of states found and
/// whether there is a violation.
fn explore(members: usize, mutant: Mutant) -> (usize, bool) {
    let model = Model { members, mutant };
    let mut states = 0;
    for state in bfs_reach(Model::initial_state(), |state| model.successors(state)) {
        states += 1;
        if state.violated {
            return (states, true);
        }
    }
    (states, false)
}

#[test]
fn with_two_members_no_task_starts_under_the_old_epoch() {
    let (states, violated) = explore(2, Mutant::None);

    println!("2 members: {states} states");
    assert!(states > 0 && !violated);
}

#[test]
fn with_three_members_no_task_starts_under_the_old_epoch() {
    let (states, violated) = explore(3, Mutant::None);

    println!("3 members: {states} states");
    assert!(states > 0 && !violated);
}

#[test]
fn counting_one_answer_as_a_blocking_set_is_caught() {
    let (states, violated) = explore(3, Mutant::SingleAnswerAsBlockingSet);

    println!("SingleAnswerAsBlockingSet: caught after {states} states");
    assert!(violated);
}

#[test]
fn change_counted_as_in_force_before_the_leases_lapse_is_caught() {
    let (states, violated) = explore(2, Mutant::NoWaitForLeases);

    println!("NoWaitForLeases: caught after {states} states");
    assert!(violated);
}

#[test]
fn agent_without_a_check_of_the_permit_is_caught() {
    let (states, violated) = explore(2, Mutant::NoPermitCheck);

    println!("NoPermitCheck: caught after {states} states");
    assert!(violated);
}

#[test]
fn permit_newer_than_the_heartbeats_of_the_lease_is_caught() {
    let (states, violated) = explore(2, Mutant::NewestStampAsPermit);

    println!("NewestStampAsPermit: caught after {states} states");
    assert!(violated);
}

#[test]
fn lease_counted_from_the_answer_is_caught() {
    let (states, violated) = explore(2, Mutant::LeaseFromAnswerTime);

    println!("LeaseFromAnswerTime: caught after {states} states");
    assert!(violated);
}
