//! Taking data centres and backend servers out of service and bringing them back.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{ChangeBase, PlannedChange, Rejection, RejectionReason, ServiceState};
use crate::entry::{Action, Entry};
use crate::frame::Order;
use crate::placement::{Agent, AgentKey};
use crate::time::Now;

/// Time over which a backend server that came back into service is gradually given tasks up to its
/// number of slots.
const RAMP_UP: Duration = Duration::from_secs(4);

impl Entry {
    /// Checks the change of a data centre's service state.
    pub(super) fn plan_data_centre(
        &self,
        name: &str,
        state: ServiceState,
        force: bool,
    ) -> Result<PlannedChange, Rejection> {
        let out = &self.row.data_centres_out;
        let known = self.known_data_centres();
        check_known(
            "data centre",
            name,
            known.contains(name) || out.contains(name),
            &known,
            force,
        )?;
        if state == ServiceState::Out && !force && !out.contains(name) {
            let has_other = known.iter().any(|dc| dc != name && !out.contains(dc));
            let lost_kinds = self.kinds_served_only_by(|agent| agent.hello.data_centre == name);
            check_remaining("data centre", name, !has_other, &lost_kinds)?;
        }
        Ok(service_change("data-centre", name, state, out))
    }

    /// Checks the change of a backend server's service state.
    pub(super) fn plan_backend(
        &self,
        name: &str,
        state: ServiceState,
        force: bool,
    ) -> Result<PlannedChange, Rejection> {
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
        if state == ServiceState::Out && !force && !out.contains(name) {
            let lost_kinds = self.kinds_served_only_by(|agent| agent.hello.agent == name);
            check_remaining("backend server", name, false, &lost_kinds)?;
        }
        Ok(service_change("backend", name, state, out))
    }

    /// Returns the data centres of the entries and agents that this entry knows.
    pub(super) fn known_data_centres(&self) -> BTreeSet<String> {
        let members = self.row.members.iter().map(|m| m.data_centre.clone());
        let agents = self.fleet.agents.values();
        members
            .chain(agents.map(|agent| agent.hello.data_centre.clone()))
            .collect()
    }

    /// Returns the kinds that no agent in service serves but those for which `leaves` is true.
    fn kinds_served_only_by<F>(&self, leaves: F) -> BTreeSet<String>
    where
        F: Fn(&Agent) -> bool,
    {
        let agents = self.fleet.agents.values();
        let serving = agents.filter(|agent| self.is_in_service(agent) && !agent.hello.leaving);
        let (staying, leaving): (Vec<&Agent>, Vec<&Agent>) =
            serving.partition(|agent| !leaves(agent));
        let kinds = |agents: &[&Agent]| -> BTreeSet<String> {
            let kinds = agents.iter().flat_map(|agent| &agent.hello.kinds);
            kinds.cloned().collect()
        };
        kinds(&leaving)
            .difference(&kinds(&staying))
            .cloned()
            .collect()
    }

    /// Returns whether callers should use another entry because the data centre of this one is out
    /// of service. If no other data centre with an entry is in service, they stay.
    pub(in crate::entry) fn is_handing_over(&self) -> bool {
        let out = &self.row.data_centres_out;
        let members = &self.row.members;
        out.contains(&self.me.data_centre) && members.iter().any(|m| !out.contains(&m.data_centre))
    }

    /// Compares the service states with those of the former control row: records what came back
    /// into service, which starts its ramp-up, and recalls unstarted tasks from agents that are out
    /// of service.
    pub(in crate::entry) fn apply_service_changes(&mut self, now: Now, actions: &mut Vec<Action>) {
        let services = ChangeBase::of(&self.row);
        if self.operator.last_services.as_ref() == Some(&services) {
            return;
        }
        if let Some(former) = self.operator.last_services.replace(services) {
            let (data_centres, backends) = (&self.row.data_centres_out, &self.row.backends_out);
            let returned = former.data_centres_out.difference(data_centres);
            let returned = returned.chain(former.backends_out.difference(backends));
            let returned = returned.map(|name| (name.clone(), now.mono));
            self.operator.returned_at.extend(returned);
        }
        self.recall_out_of_service_tasks(actions);
    }

    /// Tells the agents out of service to give back their unstarted tasks, once for each
    /// connection and epoch.
    pub(in crate::entry) fn recall_out_of_service_tasks(&mut self, actions: &mut Vec<Action>) {
        if self.row.data_centres_out.is_empty() && self.row.backends_out.is_empty() {
            return;
        }
        let agents_with_tasks: Vec<(AgentKey, u64)> = self
            .fleet
            .agents
            .iter()
            .filter(|(_key, agent)| agent.unfinished_tasks > 0 && !self.is_in_service(agent))
            .filter_map(|(key, agent)| Some((key, agent.link?)))
            .collect();
        for (key, link) in agents_with_tasks {
            let link_and_epoch = (link, self.row.epoch);
            if self.operator.recalled_at.insert(key, link_and_epoch) == Some(link_and_epoch) {
                continue;
            }
            let attempts = self.open_attempts_on(key);
            let recalls = attempts.iter().map(|attempt| attempt.task).collect();
            let order = Order {
                recalls,
                ..self.empty_order(key)
            };
            actions.push(Action::SendOrder { link, order });
        }
    }

    /// Returns whether an agent may get another task as far as its return into service matters:
    /// for the time of [`RAMP_UP`], the share of its slots in use grows linearly.
    pub(in crate::entry) fn has_ramp_up_room(&self, agent: &Agent, now: Now) -> bool {
        let returned = &self.operator.returned_at;
        let last_return = returned
            .get(&agent.hello.data_centre)
            .max(returned.get(&agent.hello.agent));
        let Some(last_return) = last_return else {
            return true;
        };
        let elapsed = now.mono.since(*last_return);
        if elapsed >= RAMP_UP {
            return true;
        }
        let share = elapsed.as_secs_f64() / RAMP_UP.as_secs_f64();
        let allowed = (f64::from(agent.hello.slots) * share).ceil().max(1.0) as u32;
        let held = agent.load.running + agent.load.queued + agent.dispatched_since_report;
        held.max(agent.unfinished_tasks) < allowed
    }
}

/// Returns the planned change of one service state; `out` are the names out of service now.
fn service_change(
    what: &str,
    name: &str,
    state: ServiceState,
    out: &BTreeSet<String>,
) -> PlannedChange {
    let is_change = out.contains(name) != (state == ServiceState::Out);
    let change = format!("{what} {name}: {state}");
    PlannedChange {
        changes: if is_change { vec![change] } else { Vec::new() },
        catalogue: None,
    }
}

/// Rejects a change of a name that this entry does not know, unless it is forced.
fn check_known(
    what: &str,
    name: &str,
    is_known: bool,
    known: &BTreeSet<String>,
    force: bool,
) -> Result<(), Rejection> {
    if is_known || force {
        return Ok(());
    }
    let known: Vec<&str> = known.iter().map(String::as_str).collect();
    let detail = format!(
        "this entry knows no {what} `{name}`, known are: {}; correct the name, or add --force if it has not started yet",
        known.join(", ")
    );
    Err((RejectionReason::Invalid, detail))
}

/// Rejects taking the last data centre, or the last backend server of a kind, out of service.
fn check_remaining(
    what: &str,
    name: &str,
    is_last: bool,
    lost_kinds: &BTreeSet<String>,
) -> Result<(), Rejection> {
    if !is_last && lost_kinds.is_empty() {
        return Ok(());
    }
    let kinds: Vec<&str> = lost_kinds.iter().map(String::as_str).collect();
    let position = if is_last {
        "the last one in service"
    } else {
        "the only one in service for some kinds"
    };
    let consequence = if kinds.is_empty() {
        "no data centre would be left in service".to_owned()
    } else {
        format!(
            "every job of kind {} would be refused with no_backend",
            kinds.join(", ")
        )
    };
    let detail =
        format!("{what} `{name}` is {position}: {consequence}; add --force to do it anyway");
    Err((RejectionReason::NeedsForce, detail))
}
