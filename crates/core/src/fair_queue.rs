//! Queue of tasks that wait for an agent: fair between owners, short jobs first within one.
//!
//! Urgent tasks go before normal ones, but for every [`URGENT_RUN`] urgent tasks one normal task
//! goes first. Between owners of a class the one with the least weighted service goes first
//! (start-time fair queueing, Goyal, Vin and Cheng, 1996). Within an owner a job's rank is its
//! arrival plus a multiple of its expected work, which favours short jobs and starves none.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::Hash;

use slotmap::{SlotMap, new_key_type};

use crate::catalogue::{Catalogue, Class};

new_key_type! {
    /// Key of a flow: the waiting jobs of one kind and lane.
    pub struct FlowKey;
}

/// Urgent tasks that go first in a row while normal tasks wait.
pub const URGENT_RUN: u32 = 15;

/// Short jobs have a lane of their own, so that a long job blocks none of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Lane {
    /// Jobs of few tasks.
    Short,
    /// All other jobs.
    Long,
}

/// Waiting jobs of one kind and lane.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Kind of the tasks.
    pub kind: String,
    /// Owner of the kind.
    pub owner: String,
    /// Lane of the jobs.
    pub lane: Lane,
    /// Tasks that wait.
    pub tasks: usize,
    class: Class,
    jobs: BTreeSet<(u64, u64)>,
}

#[derive(Debug, Clone)]
struct Waiting<K> {
    key: K,
    flow: FlowKey,
    rank: u64,
    indices: VecDeque<u32>,
}

#[derive(Debug, Clone, Default)]
struct Account {
    weight: f64,
    served: f64,
}

/// The queue; `K` names a job.
#[derive(Debug, Clone)]
pub struct Queue<K> {
    flows: SlotMap<FlowKey, Flow>,
    by_kind: HashMap<(String, Lane), FlowKey>,
    active: BTreeSet<FlowKey>,
    accounts: BTreeMap<String, Account>,
    waiting: HashMap<u64, Waiting<K>>,
    numbers: HashMap<K, u64>,
    next_number: u64,
    urgent_run: u32,
    tasks: usize,
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
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self {
            flows: SlotMap::with_key(),
            by_kind: HashMap::new(),
            active: BTreeSet::new(),
            accounts: BTreeMap::new(),
            waiting: HashMap::new(),
            numbers: HashMap::new(),
            next_number: 0,
            urgent_run: 0,
            tasks: 0,
        }
    }

    /// Returns the number of tasks that wait.
    pub fn len(&self) -> usize {
        self.tasks
    }

    /// Returns whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.tasks == 0
    }

    /// Takes owners, classes and weights from a new catalogue.
    pub fn configure(&mut self, catalogue: &Catalogue) {
        for flow in self.flows.values_mut() {
            if let Some(kind) = catalogue.kind(&flow.kind) {
                flow.owner.clone_from(&kind.owner);
                flow.class = kind.class;
            }
        }
        for (name, account) in &mut self.accounts {
            account.weight = weight(catalogue, name);
        }
    }

    /// Adds tasks of a job; `rank` orders the jobs of an owner, least first.
    pub fn push<I>(
        &mut self,
        key: K,
        indices: I,
        kind: &str,
        lane: Lane,
        rank: u64,
        catalogue: &Catalogue,
    ) where
        I: IntoIterator<Item = u32>,
    {
        let flow = self.flow(kind, lane, catalogue);
        let number = self.next_number;
        self.next_number += 1;
        let indices: VecDeque<u32> = indices.into_iter().collect();
        self.grow(flow, indices.len());
        self.flows[flow].jobs.insert((rank, number));
        self.numbers.insert(key, number);
        let job = Waiting {
            key,
            flow,
            rank,
            indices,
        };
        self.waiting.insert(number, job);
    }

    /// Puts a task back in front of its job's other tasks; `false` if its job waits no more, so
    /// that the caller must push it anew.
    pub fn put_back(&mut self, key: K, index: u32) -> bool {
        let Some(number) = self.numbers.get(&key) else {
            return false;
        };
        let Some(job) = self.waiting.get_mut(number) else {
            return false;
        };
        job.indices.push_front(index);
        let flow = job.flow;
        self.grow(flow, 1);
        true
    }

    /// Drops what waits of a job.
    pub fn remove(&mut self, key: K) {
        if let Some(number) = self.numbers.remove(&key)
            && let Some(job) = self.waiting.remove(&number)
        {
            self.flows[job.flow].jobs.remove(&(job.rank, number));
            self.shrink(job.flow, job.indices.len());
        }
    }

    /// Returns the flow to serve next among those that `may` be served.
    pub fn next<F>(&self, may: F) -> Option<FlowKey>
    where
        F: Fn(FlowKey, &Flow) -> bool,
    {
        let normal_first = self.urgent_run >= URGENT_RUN;
        let order = |key: &FlowKey| {
            let flow = &self.flows[*key];
            let first = (flow.class == Class::Normal) == normal_first;
            let served = self.accounts.get(&flow.owner).map_or(0.0, |a| a.served);
            let rank = flow.jobs.first().map_or(u64::MAX, |(rank, _number)| *rank);
            (!first, served, flow.owner.as_str(), rank)
        };
        self.active
            .iter()
            .copied()
            .filter(|key| may(*key, &self.flows[*key]))
            .min_by(|a, b| {
                let (a, b) = (order(a), order(b));
                let by_class = a.0.cmp(&b.0).then(a.1.total_cmp(&b.1));
                by_class.then(a.2.cmp(b.2)).then(a.3.cmp(&b.3))
            })
    }

    /// Returns a flow.
    pub fn get(&self, flow: FlowKey) -> &Flow {
        &self.flows[flow]
    }

    /// Returns the first job of a flow.
    pub fn first(&self, flow: FlowKey) -> Option<K> {
        let (_rank, number) = self.flows[flow].jobs.first()?;
        self.waiting.get(number).map(|job| job.key)
    }

    /// Takes the first task of a flow and charges `cost_ms` to its owner.
    pub fn pop(&mut self, flow: FlowKey, cost_ms: f64) -> Option<(K, u32)> {
        let (rank, number) = *self.flows[flow].jobs.first()?;
        let job = self.waiting.get_mut(&number)?;
        let (key, index) = (job.key, job.indices.pop_front()?);
        if job.indices.is_empty() {
            self.waiting.remove(&number);
            self.numbers.remove(&key);
            self.flows[flow].jobs.remove(&(rank, number));
        }
        self.charge(flow, cost_ms);
        self.shrink(flow, 1);
        Some((key, index))
    }

    /// Returns the waiting tasks by kind and lane.
    pub fn backlog(&self) -> impl Iterator<Item = &Flow> {
        self.active.iter().map(|key| &self.flows[*key])
    }

    /// Returns the owner's share of the service among the owners with waiting tasks and itself.
    pub fn owner_share(&self, owner: &str) -> f64 {
        let weight = |name: &str| self.accounts.get(name).map_or(1.0, |a| a.weight);
        let mut names: Vec<&str> = self.backlog().map(|flow| flow.owner.as_str()).collect();
        names.push(owner);
        names.sort_unstable();
        names.dedup();
        weight(owner) / names.into_iter().map(weight).sum::<f64>()
    }

    fn charge(&mut self, flow: FlowKey, cost_ms: f64) {
        let flow = &self.flows[flow];
        if let Some(account) = self.accounts.get_mut(&flow.owner) {
            account.served += cost_ms / account.weight;
        }
        self.urgent_run = match flow.class {
            Class::Urgent => self.urgent_run.saturating_add(1),
            Class::Normal => 0,
        };
    }

    fn flow(&mut self, kind: &str, lane: Lane, catalogue: &Catalogue) -> FlowKey {
        if let Some(flow) = self.by_kind.get(&(kind.to_owned(), lane)) {
            return *flow;
        }
        let known = catalogue.kind(kind);
        let owner = known.map_or("", |kind| kind.owner.as_str()).to_owned();
        self.accounts
            .entry(owner.clone())
            .or_insert_with(|| Account {
                weight: weight(catalogue, &owner),
                served: 0.0,
            });
        let flow = self.flows.insert(Flow {
            kind: kind.to_owned(),
            owner,
            lane,
            tasks: 0,
            class: known.map_or(Class::Normal, |kind| kind.class),
            jobs: BTreeSet::new(),
        });
        self.by_kind.insert((kind.to_owned(), lane), flow);
        flow
    }

    fn grow(&mut self, flow: FlowKey, tasks: usize) {
        if tasks > 0 && self.flows[flow].tasks == 0 {
            self.activate(flow);
        }
        self.flows[flow].tasks += tasks;
        self.tasks += tasks;
    }

    /// An owner that waited for nothing has no claim on the past.
    fn activate(&mut self, flow: FlowKey) {
        let owner = self.flows[flow].owner.clone();
        let waits = |key: &FlowKey| self.flows[*key].owner == owner;
        if !self.active.iter().any(waits) {
            let least = self
                .active
                .iter()
                .filter_map(|key| self.accounts.get(&self.flows[*key].owner))
                .map(|account| account.served)
                .fold(f64::INFINITY, f64::min);
            if let Some(account) = self.accounts.get_mut(&owner)
                && least.is_finite()
            {
                account.served = account.served.max(least);
            }
        }
        self.active.insert(flow);
    }

    fn shrink(&mut self, flow: FlowKey, tasks: usize) {
        self.tasks -= tasks;
        self.flows[flow].tasks -= tasks;
        if self.flows[flow].tasks == 0 {
            self.active.remove(&flow);
        }
    }
}

fn weight(catalogue: &Catalogue, owner: &str) -> f64 {
    f64::from(
        catalogue
            .owner(owner)
            .map_or(1, |owner| owner.weight.max(1)),
    )
}
