//! Data centres and backend servers out of service and back.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Base, NotAccepted, Objection, Plan, Service};
use crate::entry::{Action, Entry};
use crate::frame::Order;
use crate::placement::{Agent, Key};
use crate::time::Now;

/// Time over which a backend server that came back is filled up to its slots.
const RAMP: Duration = Duration::from_secs(4);

impl Entry {
    pub(super) fn plan_data_centre(
        &self,
        name: &str,
        state: Service,
        force: bool,
    ) -> Result<Plan, Objection> {
        let out = &self.row.data_centres_out;
        let known = self.data_centres();
        check_known(
            "data centre",
            name,
            known.contains(name) || out.contains(name),
            &known,
            force,
        )?;
        if state == Service::Out && !force && !out.contains(name) {
            let left = known.iter().any(|dc| dc != name && !out.contains(dc));
            let lost = self.kinds_lost(|agent| agent.hello.data_centre == name);
            check_left("data centre", name, !left, &lost)?;
        }
        Ok(plan("data-centre", name, state, out))
    }

    pub(super) fn plan_backend(
        &self,
        name: &str,
        state: Service,
        force: bool,
    ) -> Result<Plan, Objection> {
        let out = &self.row.backends_out;
        let agents = self.fleet.agents.values();
        let known: BTreeSet<String> = agents.map(|agent| agent.hello.agent.clone()).collect();
        check_known(
            "backend server",
            name,
            known.contains(name) || out.contains(name),
            &known,
            force,
        )?;
        if state == Service::Out && !force && !out.contains(name) {
            let lost = self.kinds_lost(|agent| agent.hello.agent == name);
            check_left("backend server", name, false, &lost)?;
        }
        Ok(plan("backend", name, state, out))
    }

    /// Returns the data centres of the entries and agents that this entry knows.
    pub(super) fn data_centres(&self) -> BTreeSet<String> {
        let members = self.row.members.iter().map(|m| m.data_centre.clone());
        let agents = self.fleet.agents.values();
        members
            .chain(agents.map(|agent| agent.hello.data_centre.clone()))
            .collect()
    }

    /// Returns the kinds that only agents chosen by `leaves` serve among those in service.
    fn kinds_lost<F>(&self, leaves: F) -> BTreeSet<String>
    where
        F: Fn(&Agent) -> bool,
    {
        let agents = self.fleet.agents.values();
        let serving = agents.filter(|agent| self.in_service(agent) && !agent.hello.leaving);
        let (left, gone): (Vec<&Agent>, Vec<&Agent>) = serving.partition(|agent| !leaves(agent));
        let kinds = |agents: &[&Agent]| -> BTreeSet<String> {
            let kinds = agents.iter().flat_map(|agent| &agent.hello.kinds);
            kinds.cloned().collect()
        };
        kinds(&gone).difference(&kinds(&left)).cloned().collect()
    }

    /// Whether callers should go to another entry because this data centre is out of service.
    pub(in crate::entry) fn hands_over(&self) -> bool {
        let out = &self.row.data_centres_out;
        let others = &self.row.members;
        out.contains(&self.me.data_centre) && others.iter().any(|m| !out.contains(&m.data_centre))
    }

    /// Notes what came back into service, and takes unstarted tasks back from what left it.
    pub(in crate::entry) fn services_changed(&mut self, now: Now, actions: &mut Vec<Action>) {
        let services = Base::of(&self.row);
        if self.operator.services.as_ref() == Some(&services) {
            return;
        }
        if let Some(before) = self.operator.services.replace(services) {
            let (data_centres, backends) = (&self.row.data_centres_out, &self.row.backends_out);
            let came_back = before.data_centres_out.difference(data_centres);
            let came_back = came_back.chain(before.backends_out.difference(backends));
            let came_back = came_back.map(|name| (name.clone(), now.mono));
            self.operator.returned.extend(came_back);
        }
        self.recall_from_out_of_service(actions);
    }

    /// Takes unstarted tasks back from agents out of service, once for each connection and epoch.
    pub(in crate::entry) fn recall_from_out_of_service(&mut self, actions: &mut Vec<Action>) {
        if self.row.data_centres_out.is_empty() && self.row.backends_out.is_empty() {
            return;
        }
        let held: Vec<(Key, u64)> = self
            .fleet
            .agents
            .iter()
            .filter(|(_key, agent)| agent.unfinished_tasks > 0 && !self.in_service(agent))
            .filter_map(|(key, agent)| Some((key, agent.link?)))
            .collect();
        for (key, link) in held {
            let mark = (link, self.row.epoch);
            if self.operator.recalled.insert(key, mark) == Some(mark) {
                continue;
            }
            let attempts = self.attempts_on(key);
            let recalls = attempts.iter().map(|attempt| attempt.task).collect();
            let order = Order {
                recalls,
                ..self.order(key)
            };
            actions.push(Action::Order { link, order });
        }
    }

    /// Whether an agent that came back into service may get another task yet.
    pub(in crate::entry) fn within_ramp(&self, agent: &Agent, now: Now) -> bool {
        let returned = &self.operator.returned;
        let since = returned
            .get(&agent.hello.data_centre)
            .max(returned.get(&agent.hello.agent));
        let Some(since) = since else {
            return true;
        };
        let elapsed = now.mono.since(*since);
        if elapsed >= RAMP {
            return true;
        }
        let share = elapsed.as_secs_f64() / RAMP.as_secs_f64();
        let allowed = (f64::from(agent.hello.slots) * share).ceil().max(1.0) as u32;
        let held = agent.load.running + agent.load.queued + agent.dispatched_since_report;
        held.max(agent.unfinished_tasks) < allowed
    }
}

fn plan(what: &str, name: &str, state: Service, out: &BTreeSet<String>) -> Plan {
    let changed = out.contains(name) != (state == Service::Out);
    let change = format!("{what} {name}: {state}");
    Plan {
        changes: if changed { vec![change] } else { Vec::new() },
        catalogue: None,
    }
}

fn check_known(
    what: &str,
    name: &str,
    is_known: bool,
    known: &BTreeSet<String>,
    force: bool,
) -> Result<(), Objection> {
    if is_known || force {
        return Ok(());
    }
    let known: Vec<&str> = known.iter().map(String::as_str).collect();
    let detail = format!(
        "no {what} `{name}` is known here; known are {}; correct the name, or add --force if it has not started yet",
        known.join(", ")
    );
    Err((NotAccepted::Invalid, detail))
}

fn check_left(
    what: &str,
    name: &str,
    is_last: bool,
    lost: &BTreeSet<String>,
) -> Result<(), Objection> {
    if !is_last && lost.is_empty() {
        return Ok(());
    }
    let kinds: Vec<&str> = lost.iter().map(String::as_str).collect();
    let place = if is_last {
        "the last one in service"
    } else {
        "the only one in service for some kinds"
    };
    let refused = if kinds.is_empty() {
        "new entries would hand over to nobody".to_owned()
    } else {
        format!(
            "every job of kind {} would be refused with no_backend",
            kinds.join(", ")
        )
    };
    let detail =
        format!("{what} `{name}` is {place}: {refused}; add --force to do it all the same");
    Err((NotAccepted::NeedsForce, detail))
}
