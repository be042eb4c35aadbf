//! Queue of tasks that wait for an agent: fair between owners, and short jobs first within an
//! owner.
//!
//! Urgent tasks are served before normal ones, but one normal task is served after every
//! [`MAX_URGENT_IN_A_ROW`] urgent tasks. Among the owners of a class, the one that has received the
//! least service relative to its weight is served next (start-time fair queueing; Goyal, Vin and
//! Cheng, 1996). Within an owner, jobs are ordered by a rank that the caller sets to the arrival
//! time plus a multiple of the expected work, which favours short jobs without starving long ones.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::Hash;

use slotmap::{SlotMap, new_key_type};

use crate::catalogue::{Catalogue, Class};

new_key_type! {
    /// Key of a [`Flow`].
    pub struct FlowKey;
}

/// Number of urgent tasks served in a row before a waiting normal task is served.
pub const MAX_URGENT_IN_A_ROW: u32 = 15;

/// Size class of a job. Short jobs have flows of their own, so that they are not blocked behind a
/// long job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Lane {
    /// Jobs with few tasks.
    Short,
    /// All other jobs.
    Long,
}

/// The waiting jobs of one kind and lane.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Kind of the tasks.
    pub kind: String,
    /// Owner of the kind.
    pub owner: String,
    /// Lane of the jobs.
    pub lane: Lane,
    /// Number of waiting tasks.
    pub waiting_tasks: usize,
    class: Class,
    /// Rank and sequence number of each waiting job; the least is served first.
    jobs: BTreeSet<(u64, u64)>,
}

/// A job with waiting tasks.
#[derive(Debug, Clone)]
struct WaitingJob<K> {
    key: K,
    flow: FlowKey,
    rank: u64,
    task_indices: VecDeque<u32>,
}

/// Scheduling state of an owner.
#[derive(Debug, Clone, Default)]
struct OwnerState {
    weight: f64,
    /// Cost of the tasks served so far, in milliseconds, divided by the weight.
    virtual_time_ms: f64,
}

/// The queue. `K` identifies a job.
#[derive(Debug, Clone)]
pub struct Queue<K> {
    flows: SlotMap<FlowKey, Flow>,
    flow_by_kind_and_lane: HashMap<(String, Lane), FlowKey>,
    /// Flows that have waiting tasks.
    backlogged: BTreeSet<FlowKey>,
    owners: BTreeMap<String, OwnerState>,
    /// Jobs by their sequence number.
    job_by_sequence_number: HashMap<u64, WaitingJob<K>>,
    sequence_number_by_job: HashMap<K, u64>,
    next_sequence_number: u64,
    /// Urgent tasks served since the last normal one.
    urgent_in_a_row: u32,
    waiting_tasks: usize,
}

impl<K> Default for Queue<K>
where
    K: Copy + Eq + Hash,
{
    fn default() -> Self {
        Self::new()
    }
}

impl<K> Queue<K>
where
    K: Copy + Eq + Hash,
{
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            flows: SlotMap::with_key(),
            flow_by_kind_and_lane: HashMap::new(),
            backlogged: BTreeSet::new(),
            owners: BTreeMap::new(),
            job_by_sequence_number: HashMap::new(),
            sequence_number_by_job: HashMap::new(),
            next_sequence_number: 0,
            urgent_in_a_row: 0,
            waiting_tasks: 0,
        }
    }

    /// Returns the number of waiting tasks.
    pub fn len(&self) -> usize {
        self.waiting_tasks
    }

    /// Returns whether no tasks wait.
    pub fn is_empty(&self) -> bool {
        self.waiting_tasks == 0
    }

    /// Applies the owners, classes and weights of a new catalogue to the waiting tasks.
    pub fn apply_catalogue(&mut self, catalogue: &Catalogue) {
        for flow in self.flows.values_mut() {
            if let Some(kind) = catalogue.kind(&flow.kind) {
                flow.owner.clone_from(&kind.owner);
                flow.class = kind.class;
            }
        }
        for (name, state) in &mut self.owners {
            state.weight = owner_weight(catalogue, name);
        }
    }

    /// Adds tasks of a job. Among the jobs of an owner, the one with the lowest `rank` is served
    /// first.
    pub fn push<I>(
        &mut self,
        key: K,
        task_indices: I,
        kind: &str,
        lane: Lane,
        rank: u64,
        catalogue: &Catalogue,
    ) where
        I: IntoIterator<Item = u32>,
    {
        let flow = self.find_or_create_flow(kind, lane, catalogue);
        let sequence_number = self.next_sequence_number;
        self.next_sequence_number += 1;
        let task_indices: VecDeque<u32> = task_indices.into_iter().collect();
        self.add_waiting_tasks(flow, task_indices.len());
        self.flows[flow].jobs.insert((rank, sequence_number));
        self.sequence_number_by_job.insert(key, sequence_number);
        let job = WaitingJob {
            key,
            flow,
            rank,
            task_indices,
        };
        self.job_by_sequence_number.insert(sequence_number, job);
    }

    /// Puts a task back in front of the other waiting tasks of its job. Returns `false`, without
    /// adding the task, if no other task of the job waits; the caller must then push the task.
    pub fn put_back(&mut self, key: K, index: u32) -> bool {
        let Some(sequence_number) = self.sequence_number_by_job.get(&key) else {
            return false;
        };
        let Some(job) = self.job_by_sequence_number.get_mut(sequence_number) else {
            return false;
        };
        job.task_indices.push_front(index);
        let flow = job.flow;
        self.add_waiting_tasks(flow, 1);
        true
    }

    /// Removes all waiting tasks of a job.
    pub fn remove(&mut self, key: K) {
        if let Some(sequence_number) = self.sequence_number_by_job.remove(&key)
            && let Some(job) = self.job_by_sequence_number.remove(&sequence_number)
        {
            self.flows[job.flow]
                .jobs
                .remove(&(job.rank, sequence_number));
            self.remove_waiting_tasks(job.flow, job.task_indices.len());
        }
    }

    /// Returns the flow to serve next among those for which `is_eligible` holds.
    pub fn next_flow<F>(&self, is_eligible: F) -> Option<FlowKey>
    where
        F: Fn(FlowKey, &Flow) -> bool,
    {
        let is_normal_first = self.urgent_in_a_row >= MAX_URGENT_IN_A_ROW;
        let sort_key = |key: &FlowKey| {
            let flow = &self.flows[*key];
            let is_class_first = (flow.class == Class::Normal) == is_normal_first;
            let virtual_time_ms = self
                .owners
                .get(&flow.owner)
                .map_or(0.0, |state| state.virtual_time_ms);
            let rank = flow.jobs.first().map_or(u64::MAX, |(rank, _number)| *rank);
            (!is_class_first, virtual_time_ms, flow.owner.as_str(), rank)
        };
        self.backlogged
            .iter()
            .copied()
            .filter(|key| is_eligible(*key, &self.flows[*key]))
            .min_by(|a, b| {
                let (a, b) = (sort_key(a), sort_key(b));
                let by_class_and_time = a.0.cmp(&b.0).then(a.1.total_cmp(&b.1));
                by_class_and_time.then(a.2.cmp(b.2)).then(a.3.cmp(&b.3))
            })
    }

    /// Returns the flow with the key.
    pub fn flow(&self, flow: FlowKey) -> &Flow {
        &self.flows[flow]
    }

    /// Returns the job of a flow that is served next.
    pub fn first_job(&self, flow: FlowKey) -> Option<K> {
        let (_rank, sequence_number) = self.flows[flow].jobs.first()?;
        self.job_by_sequence_number
            .get(sequence_number)
            .map(|job| job.key)
    }

    /// Removes the first task of a flow, charges `cost_ms` milliseconds of service to its owner,
    /// and returns the job and the index of the task.
    pub fn pop(&mut self, flow: FlowKey, cost_ms: f64) -> Option<(K, u32)> {
        let (rank, sequence_number) = *self.flows[flow].jobs.first()?;
        let job = self.job_by_sequence_number.get_mut(&sequence_number)?;
        let (key, index) = (job.key, job.task_indices.pop_front()?);
        if job.task_indices.is_empty() {
            self.job_by_sequence_number.remove(&sequence_number);
            self.sequence_number_by_job.remove(&key);
            self.flows[flow].jobs.remove(&(rank, sequence_number));
        }
        self.charge(flow, cost_ms);
        self.remove_waiting_tasks(flow, 1);
        Some((key, index))
    }

    /// Returns all flows that have waiting tasks.
    pub fn backlogged_flows(&self) -> impl Iterator<Item = &Flow> {
        self.backlogged.iter().map(|key| &self.flows[*key])
    }

    /// Returns the share of the service, from 0 to 1, that an owner gets by weight among itself and
    /// the owners with waiting tasks.
    pub fn owner_share(&self, owner: &str) -> f64 {
        let weight = |name: &str| self.owners.get(name).map_or(1.0, |state| state.weight);
        let mut names: Vec<&str> = self
            .backlogged_flows()
            .map(|flow| flow.owner.as_str())
            .collect();
        names.push(owner);
        names.sort_unstable();
        names.dedup();
        weight(owner) / names.into_iter().map(weight).sum::<f64>()
    }

    /// Adds the cost of a task to the virtual time of its owner and counts urgent tasks in a row.
    fn charge(&mut self, flow: FlowKey, cost_ms: f64) {
        let flow = &self.flows[flow];
        if let Some(state) = self.owners.get_mut(&flow.owner) {
            state.virtual_time_ms += cost_ms / state.weight;
        }
        self.urgent_in_a_row = match flow.class {
            Class::Urgent => self.urgent_in_a_row.saturating_add(1),
            Class::Normal => 0,
        };
    }

    fn find_or_create_flow(&mut self, kind: &str, lane: Lane, catalogue: &Catalogue) -> FlowKey {
        if let Some(flow) = self.flow_by_kind_and_lane.get(&(kind.to_owned(), lane)) {
            return *flow;
        }
        let definition = catalogue.kind(kind);
        let owner = definition.map_or("", |kind| kind.owner.as_str()).to_owned();
        self.owners
            .entry(owner.clone())
            .or_insert_with(|| OwnerState {
                weight: owner_weight(catalogue, &owner),
                virtual_time_ms: 0.0,
            });
        let flow = self.flows.insert(Flow {
            kind: kind.to_owned(),
            owner,
            lane,
            waiting_tasks: 0,
            class: definition.map_or(Class::Normal, |kind| kind.class),
            jobs: BTreeSet::new(),
        });
        self.flow_by_kind_and_lane
            .insert((kind.to_owned(), lane), flow);
        flow
    }

    fn add_waiting_tasks(&mut self, flow: FlowKey, tasks: usize) {
        if tasks > 0 && self.flows[flow].waiting_tasks == 0 {
            self.mark_backlogged(flow);
        }
        self.flows[flow].waiting_tasks += tasks;
        self.waiting_tasks += tasks;
    }

    /// Marks a flow as having waiting tasks. An owner without waiting tasks until now is advanced
    /// to the least virtual time of the others, so that it cannot claim service for the time when
    /// it needed none.
    fn mark_backlogged(&mut self, flow: FlowKey) {
        let owner = self.flows[flow].owner.clone();
        let is_of_owner = |key: &FlowKey| self.flows[*key].owner == owner;
        if !self.backlogged.iter().any(is_of_owner) {
            let min_virtual_time_ms = self
                .backlogged
                .iter()
                .filter_map(|key| self.owners.get(&self.flows[*key].owner))
                .map(|state| state.virtual_time_ms)
                .fold(f64::INFINITY, f64::min);
            if let Some(state) = self.owners.get_mut(&owner)
                && min_virtual_time_ms.is_finite()
            {
                state.virtual_time_ms = state.virtual_time_ms.max(min_virtual_time_ms);
            }
        }
        self.backlogged.insert(flow);
    }

    fn remove_waiting_tasks(&mut self, flow: FlowKey, tasks: usize) {
        self.waiting_tasks -= tasks;
        self.flows[flow].waiting_tasks -= tasks;
        if self.flows[flow].waiting_tasks == 0 {
            self.backlogged.remove(&flow);
        }
    }
}

fn owner_weight(catalogue: &Catalogue, owner: &str) -> f64 {
    f64::from(
        catalogue
            .owner(owner)
            .map_or(1, |owner| owner.weight.max(1)),
    )
}
