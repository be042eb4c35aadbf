//! Feeds [`Interference`] with the runs that agents report, and tells placement and operators what
//! has been learnt.

use std::time::Duration;

use super::super::job::Resources;
use super::super::log_line::LogLine;
use super::super::message::{End, Kind, Neighbourhood, Report, Start, StartKinds};
use super::agents::Agent;
use super::interference::{Newcomer, Observation, Pair};
use super::{Action, ConnectionKey, Entry};
use crate::time::Monotonic;

/// Most log lines about pairs at one review, which takes place each second.
const MAX_LOG_LINES: usize = 8;

/// Estimate for two queues, by their names.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedPair {
    /// Queue whose tasks are slowed down.
    pub victim: String,
    /// Queue whose tasks slow them down.
    pub neighbour: String,
    /// The estimate.
    pub pair: Pair,
}

impl Entry {
    /// Returns the kind of a queue's tasks, [`Kind::OTHER`] if kinds are not separated.
    pub(super) fn kind_of(&self, queue: &str) -> Kind {
        if self.interference.is_some() {
            Kind::of_queue(queue)
        } else {
            Kind::OTHER
        }
    }

    /// Returns the kind of a queue's tasks if they are to be kept apart from any other.
    pub(super) fn separated_kind(&self, queue: &str) -> Option<Kind> {
        let interference = self.interference.as_ref()?;
        let kind = Kind::of_queue(queue);
        interference.concerns(kind).then_some(kind)
    }

    /// Returns the expected growth of run times in seconds if a task is placed on an agent; `None`
    /// if it is not known what runs there.
    pub(super) fn extra_seconds(
        &self,
        agent: &Agent,
        kind: Kind,
        needs: Resources,
        run_time: Duration,
    ) -> Option<f64> {
        let server = agent.server.as_ref()?;
        let newcomer = Newcomer {
            kind,
            run_seconds: run_time.as_secs_f64(),
            cpu_millicores: needs.cpu_millicores,
            server_cpu: server.capacity.cpu_millicores,
        };
        let present = agent.present()?;
        Some(
            self.interference
                .as_ref()?
                .extra_seconds(&newcomer, &present),
        )
    }

    /// Returns the optional part behind an order with these tasks, `None` if kinds are not
    /// separated.
    pub(super) fn start_kinds(&self, starts: &[Start]) -> Option<StartKinds> {
        self.interference.as_ref()?;
        let kind = |start: &Start| {
            self.tasks_by_ticket
                .get(&start.ticket)
                .map_or(Kind::OTHER, |key| {
                    Kind::of_queue(&self.jobs[self.tasks[*key].job].queue.name)
                })
        };
        Some(StartKinds {
            kinds: starts.iter().map(kind).collect(),
        })
    }

    /// Learns from the tasks that have succeeded according to a report. Has to be called before the
    /// outcomes are handled.
    pub(super) fn learn_from_ended(
        &mut self,
        connection: ConnectionKey,
        report: &Report,
        neighbourhood: &Neighbourhood,
        now: Monotonic,
    ) {
        let (Some(agent), Some(interference)) =
            (self.agents.get(connection), &mut self.interference)
        else {
            return;
        };
        for ended in &neighbourhood.ended {
            let outcomes = &mut report.outcomes.iter();
            let outcome = outcomes.find(|outcome| outcome.ticket == ended.ticket);
            let (Some(outcome), Some(key)) = (outcome, self.tasks_by_ticket.get(&ended.ticket))
            else {
                continue;
            };
            let task = &self.tasks[*key];
            if outcome.end != End::Done || task.dispatched_estimate.is_zero() {
                continue;
            }
            let observation = Observation {
                kind: Kind::of_queue(&self.jobs[task.job].queue.name),
                server: agent.number,
                ratio: outcome.ran.as_secs_f64() / task.dispatched_estimate.as_secs_f64(),
                shares: &ended.shares,
            };
            interference.record(&observation, now);
        }
    }

    /// Estimates the interference between kinds of tasks if that is due, and shows the result.
    pub(super) fn review_interference(&mut self, now: Monotonic) {
        let Some(interference) = &mut self.interference else {
            return;
        };
        let Some(changed) = interference.review(now) else {
            return;
        };
        let means = self.estimates.typical_seconds_by_queue();
        let run_seconds = means.map(|(queue, seconds)| (Kind::of_queue(queue), seconds));
        interference.set_run_seconds(run_seconds.collect());
        let pairs = interference.pairs().to_vec();
        for pair in changed.into_iter().take(MAX_LOG_LINES) {
            let (low, high) = pair.slowdown_bounds();
            let text = if pair.is_separated {
                "Keeps two kinds of tasks apart: one slows the other down."
            } else {
                "No longer keeps two kinds of tasks apart."
            };
            let line = LogLine::new(text)
                .with("victim", self.queue_name(pair.victim))
                .with("neighbour", self.queue_name(pair.neighbour))
                .with("slowdown", format_args!("{:.2}", pair.slowdown()))
                .with("low", format_args!("{low:.2}"))
                .with("high", format_args!("{high:.2}"))
                .with("runs", format_args!("{:.0}", pair.runs));
            self.log(line);
        }
        let named = pairs.into_iter().map(|pair| NamedPair {
            victim: self.queue_name(pair.victim),
            neighbour: self.queue_name(pair.neighbour),
            pair,
        });
        let named = named.collect();
        self.actions.push(Action::ShowInterference(named));
    }

    /// Returns the name of the queue of a kind, or its number if the catalogue has no such queue.
    fn queue_name(&self, kind: Kind) -> String {
        let queues = self.catalogue.iter().flat_map(|known| &known.queues);
        let named = queues
            .map(|queue| &queue.name)
            .find(|name| Kind::of_queue(name) == kind);
        named.map_or_else(|| kind.to_string(), |name| (**name).to_owned())
    }
}
