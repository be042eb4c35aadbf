//! The decisions beside simpler ones, load pattern by load pattern.
//!
//! Each pattern is played with the product's policy and with two baselines: any server with room, and
//! the one with the most room, both of which take every job on. The product's has to serve what the
//! users ask for on days with trouble, and more than either baseline.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "spool/load.rs"]
mod load;
#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "spool/world.rs"]
mod world;

use std::time::Duration;

use ibisspool_core::spool::entry::Policy;
use ibisspool_core::spool::entry::placement::{Candidate, Demand, Score};
use load::{Load, SECOND, by_queue, measure, steady};
use world::{Fault, MS};

/// Mean worth that the users ask for on days with trouble (Edafos, grown).
const TARGET: f64 = 0.82;

/// Least share of any kind of job in time: the users' floor for kinds of jobs on such days.
const FLOOR: f64 = 0.46;

/// Difference between two policies that four seeds do not tell apart.
const NOISE: f64 = 0.01;

/// Part of the time in which jobs come and some server is known, if all start again at 3 s: servers
/// announce themselves every 1.5 s, at 3.0 s to nobody, and jobs come from 0.5 to 8 s.
const PART_WITH_SERVERS: f64 = 1.0 - 1.5 / 7.5;

/// A server with room costs nothing; all others are of no use.
fn any_with_room(candidate: &Candidate, demand: &Demand) -> Option<Score> {
    candidate.free.fits(&demand.needs).then_some(Score {
        cost_seconds: 0.0,
        expected_wait: Duration::ZERO,
    })
}

/// The emptiest server wins.
fn most_room(candidate: &Candidate, demand: &Demand) -> Option<Score> {
    any_with_room(candidate, demand).map(|choice| Score {
        cost_seconds: -f64::from(candidate.free.cpu),
        ..choice
    })
}

/// A load between two of its seconds, on one queue or all.
fn burst(base: f64, from: u64, to: u64, factor: f64, queue: Option<usize>) -> Load {
    let mut load = steady(base);
    load.phases.push((from, to, factor, queue));
    load
}

fn with_faults<I>(mut load: Load, faults: I) -> Load
where
    I: IntoIterator<Item = (u64, Fault)>,
{
    load.faults.extend(faults);
    load
}

/// The VMs of a rack lose power at a time, and come back three seconds later.
fn lost_rack(at: u64) -> Vec<(u64, Fault)> {
    let servers = [3, 4, 5];
    let lost = servers.map(|server| (at * SECOND, Fault::KillAgent(server, 3 * SECOND)));
    let empty = servers.map(|server| (at * SECOND, Fault::Reborn(server)));
    lost.into_iter().chain(empty).collect()
}

fn flapping() -> Vec<(u64, Fault)> {
    let lives = (0..7).flat_map(|life| [2, 7, 12].map(|server| (life, server)));
    lives
        .map(|(life, server)| (2 * SECOND + life * 600 * MS, Fault::Reborn(server)))
        .collect()
}

fn all_restart() -> Vec<(u64, Fault)> {
    let at = 3 * SECOND;
    let entries = (0..4).map(|entry| (at, Fault::KillEntry(entry, 300 * MS)));
    let agents = (0..18).map(|agent| (at, Fault::KillAgent(agent, 300 * MS)));
    let servers = (0..18).map(|server| (at, Fault::Reborn(server)));
    entries.chain(agents).chain(servers).collect()
}

/// Patterns with the part of their work that the servers can do at all.
fn patterns() -> Vec<(&'static str, Load, f64)> {
    let on = |servers: [usize; 2], fault: fn(usize, u64) -> Fault| {
        servers.map(|server| (2 * SECOND, fault(server, 3 * SECOND)))
    };
    let slow = |server, time| Fault::Slow(server, 6, time);
    vec![
        ("burst of one kind", burst(0.7, 2, 5, 2.0, Some(2)), 1.0),
        ("burst of all, 1.2", burst(0.75, 2, 5, 1.2, None), 1.0),
        (
            "burst of all, 1.8",
            burst(0.75, 2, 5, 1.8, None),
            1.0 / 1.15,
        ),
        (
            "burst and a lost rack",
            with_faults(burst(0.65, 2, 5, 1.3, None), lost_rack(2)),
            1.0,
        ),
        (
            "slow servers",
            with_faults(steady(0.65), on([1, 4], slow)),
            1.0,
        ),
        (
            "servers that fail all and say that they are well",
            with_faults(steady(0.65), on([1, 5], Fault::Err)),
            1.0,
        ),
        (
            "servers on which all stands still",
            with_faults(steady(0.65), on([1, 5], Fault::Hang)),
            1.0,
        ),
        (
            "servers that flap",
            with_faults(steady(0.65), flapping()),
            1.0,
        ),
        (
            "jobs that can never be done",
            Load {
                poison: (2, 5, 0.3),
                ..steady(0.7)
            },
            1.0,
        ),
        (
            "callers that leave",
            Load {
                leaving: (2, 6, 0.4),
                ..steady(0.7)
            },
            1.0,
        ),
        (
            "all start again",
            with_faults(steady(0.65), all_restart()),
            PART_WITH_SERVERS,
        ),
        (
            "most callers at one entry",
            Load {
                skew: 0.6,
                ..steady(0.7)
            },
            1.0,
        ),
    ]
}

#[test]
fn the_decisions_serve_more_than_simpler_ones_under_every_pattern() {
    let policies = [
        ("product", Policy::default()),
        (
            "any room",
            Policy {
                score: any_with_room,
                admit: |_backlog, _slack| Ok(()),
            },
        ),
        (
            "most room",
            Policy {
                score: most_room,
                admit: |_backlog, _slack| Ok(()),
            },
        ),
    ];
    let mut misses = Vec::new();
    for (name, load, possible) in patterns() {
        let measured = policies.map(|(_name, policy)| {
            measure(&Load {
                policy,
                ..load.clone()
            })
        });
        for ((policy, _), service) in policies.iter().zip(&measured) {
            println!(
                "{name:<48} {policy:<10} worth {:.3}, worst second {:.3}, in time {}",
                service.worth,
                service.worst_second,
                by_queue(service.in_time)
            );
        }
        let [product, any, most] = &measured;
        let best = any.worth.max(most.worth);
        if product.worth < TARGET * possible || product.worth < best - NOISE {
            misses.push(format!(
                "{name}: {:.3}, the best baseline {best:.3}",
                product.worth
            ));
        }
        if product.in_time.iter().any(|share| *share < FLOOR) {
            misses.push(format!("{name}: in time {:?}", product.in_time));
        }
    }
    assert!(misses.is_empty(), "{misses:#?}");
}
