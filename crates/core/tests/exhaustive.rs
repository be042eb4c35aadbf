//! All behaviours of a small takeover, over the real lease, takeover and permit code.
//!
//! Member 0 writes one change. Member 1 dispatches under the old epoch as long as it can; a third
//! member may help either. Messages may be late or lost and each step may be late by any time.
//! Time is counted in halves of a lease.

use std::time::Duration;

use ibisspool_core::control::{Member, Row};
use ibisspool_core::frame::Hello;
use ibisspool_core::lease::{EpochTracker, Lease};
use ibisspool_core::placement::Agent;
use ibisspool_core::settings::Timing;
use ibisspool_core::time::Monotonic;
use pathfinding::directed::bfs::bfs_reach;
use smallvec::SmallVec;

/// Half a lease.
const UNIT: Duration = Duration::from_millis(500);

/// The present. Time 0 stands for all points longer ago than a lease, which are alike, so that
/// the states of runs of any length are finitely many.
const NOW: u8 = 3;

/// Stamps that the dispatcher remembers.
const STAMPS: usize = 2;

/// The member that writes the change, and the one that dispatches under the old epoch.
const WRITER: usize = 0;
const DISPATCHER: usize = 1;

/// Most members.
const MEMBERS: usize = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    OneAnswer,
    NoWait,
    NoPermitCheck,
    NewestStamp,
    LeaseFromAnswer,
}

#[derive(Debug, Clone, Copy)]
struct Model {
    members: usize,
    mutant: Mutant,
}

/// A heartbeat of the dispatcher to another member; a lost one is overtaken by the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Beat {
    Idle,
    Asked { sent: u8 },
    Answered { sent: u8 },
}

/// Members that have adopted the change, evidence they hold, and messages in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// When the writer wrote the change.
    written: Option<u8>,
    /// Which members have adopted the change.
    adopted: [bool; MEMBERS],
    /// Heartbeats of the dispatcher to each member.
    beats: [Beat; MEMBERS],
    /// When the question was sent that each member answered the dispatcher last.
    leases: [Option<u8>; MEMBERS],
    /// When the writer heard that each member has adopted the change.
    confirmed: [Option<u8>; MEMBERS],
    /// A stamp on its way to the dispatcher.
    frame: Option<u8>,
    /// The newest stamps at the dispatcher and when they came, oldest first.
    stamps: SmallVec<[(u8, u8); STAMPS]>,
    /// The permit of an order on its way to the agent.
    order: Option<u8>,
    /// The permit of a task that waits at the agent.
    queued: Option<u8>,
    in_force: bool,
    violated: bool,
}

fn at(time: u8) -> Monotonic {
    Monotonic(0).plus(UNIT * u32::from(time))
}

fn timing() -> Timing {
    Timing {
        lease_duration: UNIT * 2,
        lease_margin: Duration::ZERO,
        ..Timing::default()
    }
}

fn name(number: usize) -> String {
    format!("member-{number}")
}

impl Model {
    fn start() -> State {
        State {
            written: None,
            adopted: [false; MEMBERS],
            beats: [Beat::Idle; MEMBERS],
            leases: [None; MEMBERS],
            confirmed: [None; MEMBERS],
            frame: None,
            stamps: SmallVec::new(),
            order: None,
            queued: None,
            in_force: false,
            violated: false,
        }
    }

    fn row(self) -> Row {
        let member = |number| Member {
            name: name(number),
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

    fn basis(self, state: &State) -> Option<Monotonic> {
        let mut lease = Lease::new();
        lease.record_row_read(at(0));
        for (number, sent) in state.leases.iter().enumerate() {
            if let Some(sent) = sent {
                lease.confirm_by_peer(&name(number), at(*sent));
            }
        }
        lease.confirmed_at(&name(DISPATCHER), &self.row(), &timing(), at(NOW))
    }

    fn permit(self, state: &State, basis: Monotonic) -> Option<u8> {
        if self.mutant == Mutant::NewestStamp {
            return state.stamps.iter().map(|(stamp, _came)| *stamp).max();
        }
        let hello = Hello {
            agent: String::new(),
            data_centre: String::new(),
            slots: 1,
            kinds: Vec::new(),
            leaving: false,
        };
        let mut agent = Agent::new(hello, 1, 1, at(0));
        for (stamp, came) in &state.stamps {
            agent.record_stamp(at(*stamp), at(*came));
        }
        let permit = agent.permit(basis)?;
        (0..=NOW).find(|time| at(*time) == permit)
    }

    fn is_in_force(self, state: &State) -> bool {
        let Some(written) = state.written else {
            return false;
        };
        let mut takeover = EpochTracker::new();
        takeover.track(self.row(), &name(WRITER), at(written));
        for (number, heard) in state.confirmed.iter().enumerate() {
            let heard = match self.mutant {
                Mutant::OneAnswer => Some(written),
                _ => *heard,
            };
            if let Some(heard) = heard {
                takeover.record_confirmation(&name(number), 1, 2, at(heard));
            }
        }
        let mut timing = timing();
        if self.mutant == Mutant::NoWait {
            timing.lease_duration = Duration::ZERO;
        }
        takeover.drop_lapsed_epochs(&timing, at(NOW));
        takeover.is_in_force(2)
    }

    fn is_permitted(self, permit: u8) -> bool {
        self.mutant == Mutant::NoPermitCheck || at(NOW).since(at(permit)) <= timing().lease_duration
    }

    fn successors(self, state: &State) -> Vec<State> {
        let over = state.adopted[DISPATCHER] && state.order.is_none() && state.queued.is_none();
        if state.violated || over {
            return Vec::new();
        }
        let mut next = Vec::new();
        self.time(state, &mut next);
        self.membership(state, &mut next);
        if !state.adopted[DISPATCHER] {
            self.heartbeats(state, &mut next);
            stamps(state, &mut next);
            self.dispatch(state, &mut next);
        }
        self.agent(state, &mut next);
        next
    }

    fn time(self, state: &State, next: &mut Vec<State>) {
        let mut later = state.clone();
        later.age();
        later.in_force |= self.is_in_force(&later);
        next.push(later);
    }

    /// Member 0 writes the change; the others adopt it and the writer hears of that at any time.
    fn membership(self, state: &State, next: &mut Vec<State>) {
        for number in 0..self.members {
            let mut changed = state.clone();
            if number == WRITER {
                if state.written.is_some() {
                    continue;
                }
                changed.written = Some(NOW);
                changed.adopted[WRITER] = true;
            } else if state.written.is_some() && !state.adopted[number] {
                changed.adopted[number] = true;
                if number == DISPATCHER {
                    changed.forget();
                }
            } else if state.adopted[number] && state.confirmed[number].is_none() {
                changed.confirmed[number] = Some(NOW);
            } else {
                continue;
            }
            next.push(changed);
        }
    }

    fn heartbeats(self, state: &State, next: &mut Vec<State>) {
        for to in (0..self.members).filter(|to| *to != DISPATCHER) {
            let mut again = state.clone();
            again.beats[to] = Beat::Asked { sent: NOW };
            next.push(again);
            let mut changed = state.clone();
            match state.beats[to] {
                Beat::Asked { sent } if !state.adopted[to] => {
                    changed.beats[to] = Beat::Answered { sent };
                }
                Beat::Answered { sent } => {
                    let counted = match self.mutant {
                        Mutant::LeaseFromAnswer => NOW,
                        _ => sent,
                    };
                    changed.beats[to] = Beat::Idle;
                    changed.leases[to] = state.leases[to].max(Some(counted));
                }
                // One that has adopted the change does not confirm the old epoch.
                Beat::Asked { .. } | Beat::Idle => continue,
            }
            next.push(changed);
        }
    }

    fn dispatch(self, state: &State, next: &mut Vec<State>) {
        if state.order.is_none()
            && let Some(basis) = self.basis(state)
            && let Some(permit) = self.permit(state, basis)
        {
            let mut changed = state.clone();
            changed.order = Some(permit);
            next.push(changed);
        }
    }

    fn agent(self, state: &State, next: &mut Vec<State>) {
        if let (Some(permit), None) = (state.order, state.queued) {
            let mut changed = state.clone();
            changed.order = None;
            changed.queued = Some(permit);
            next.push(changed);
        }
        if let Some(permit) = state.queued {
            let mut changed = state.clone();
            changed.queued = None;
            changed.violated = state.in_force && self.is_permitted(permit);
            next.push(changed);
        }
    }
}

impl State {
    /// Moves all points in time half a lease into the past.
    fn age(&mut self) {
        let age = |time: &mut u8| *time = time.saturating_sub(1);
        for beat in &mut self.beats {
            if let Beat::Asked { sent } | Beat::Answered { sent } = beat {
                age(sent);
            }
        }
        let times = [
            &mut self.written,
            &mut self.frame,
            &mut self.order,
            &mut self.queued,
        ];
        for time in times
            .into_iter()
            .chain(&mut self.leases)
            .chain(&mut self.confirmed)
            .flatten()
        {
            age(time);
        }
        for (stamp, came) in &mut self.stamps {
            age(stamp);
            age(came);
        }
    }

    /// Drops what the dispatcher held for the old epoch.
    fn forget(&mut self) {
        self.beats = [Beat::Idle; MEMBERS];
        self.leases = [None; MEMBERS];
        self.frame = None;
        self.stamps.clear();
    }
}

/// The agent sends a stamp, or one arrives; a lost one is overtaken by the next.
fn stamps(state: &State, next: &mut Vec<State>) {
    let mut again = state.clone();
    again.frame = Some(NOW);
    next.push(again);
    if let Some(stamp) = state.frame {
        let mut changed = state.clone();
        changed.frame = None;
        if changed.stamps.len() == STAMPS {
            changed.stamps.remove(0);
        }
        changed.stamps.push((stamp, NOW));
        next.push(changed);
    }
}

/// Returns the number of states and whether a violation is among them.
fn explore(members: usize, mutant: Mutant) -> (usize, bool) {
    let model = Model { members, mutant };
    let mut states = 0;
    for state in bfs_reach(Model::start(), |state| model.successors(state)) {
        states += 1;
        if state.violated {
            return (states, true);
        }
    }
    (states, false)
}

#[test]
fn two_members_never_start_a_task_under_the_old_epoch() {
    let (states, violated) = explore(2, Mutant::None);

    println!("2 members: {states} states");
    assert!(states > 0 && !violated);
}

#[test]
fn three_members_never_start_a_task_under_the_old_epoch() {
    let (states, violated) = explore(3, Mutant::None);

    println!("3 members: {states} states");
    assert!(states > 0 && !violated);
}

#[test]
fn one_answer_instead_of_a_blocking_set_is_found() {
    let (states, violated) = explore(3, Mutant::OneAnswer);

    println!("OneAnswer: found after {states} states");
    assert!(violated);
}

#[test]
fn a_change_in_force_before_the_leases_lapse_is_found() {
    let (states, violated) = explore(2, Mutant::NoWait);

    println!("NoWait: found after {states} states");
    assert!(violated);
}

#[test]
fn an_agent_without_the_permit_check_is_found() {
    let (states, violated) = explore(2, Mutant::NoPermitCheck);

    println!("NoPermitCheck: found after {states} states");
    assert!(violated);
}

#[test]
fn a_permit_newer_than_the_question_of_the_lease_is_found() {
    let (states, violated) = explore(2, Mutant::NewestStamp);

    println!("NewestStamp: found after {states} states");
    assert!(violated);
}

#[test]
fn a_lease_counted_from_the_answer_is_found() {
    let (states, violated) = explore(2, Mutant::LeaseFromAnswer);

    println!("LeaseFromAnswer: found after {states} states");
    assert!(violated);
}
