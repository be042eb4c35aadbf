//! First-in, first-out queue of tasks that wait for a slot. Any task can be removed in constant
//! time, since entries recall tasks and one queue may hold tens of thousands.

use std::collections::HashMap;

use slotmap::{SlotMap, new_key_type};

use crate::frame::Dispatch;
use crate::job::Task;
use crate::time::Monotonic;

new_key_type! {
    struct NodeKey;
}

/// A dispatched task that waits for a slot.
#[derive(Debug, Clone)]
pub struct QueuedTask {
    /// Connection over which the outcome is reported.
    pub connection: u64,
    /// The dispatch as the entry sent it.
    pub dispatch: Dispatch,
    /// Epoch of the order that contained the dispatch.
    pub order_epoch: u64,
    /// When the dispatch arrived.
    pub queued_at: Monotonic,
}

#[derive(Debug, Clone)]
struct Node {
    queued: QueuedTask,
    previous: Option<NodeKey>,
    next: Option<NodeKey>,
}

/// A doubly linked list whose nodes are in an arena, with an index by task.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    nodes: SlotMap<NodeKey, Node>,
    by_task: HashMap<Task, NodeKey>,
    first: Option<NodeKey>,
    last: Option<NodeKey>,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of queued tasks.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether no task is queued.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns whether the task is queued.
    pub fn contains(&self, task: &Task) -> bool {
        self.by_task.contains_key(task)
    }

    /// Returns the queued task for modification, `None` if the task is not queued.
    pub fn get_mut(&mut self, task: &Task) -> Option<&mut QueuedTask> {
        let node_key = self.by_task.get(task)?;
        self.nodes.get_mut(*node_key).map(|node| &mut node.queued)
    }

    /// Appends a task. The task must not be queued already.
    pub fn push(&mut self, queued: QueuedTask) {
        let task = queued.dispatch.task;
        let previous = self.last;
        let node_key = self.nodes.insert(Node {
            queued,
            previous,
            next: None,
        });
        match previous {
            Some(previous) => self.nodes[previous].next = Some(node_key),
            None => self.first = Some(node_key),
        }
        self.last = Some(node_key);
        self.by_task.insert(task, node_key);
    }

    /// Removes and returns the task that has waited longest.
    pub fn pop(&mut self) -> Option<QueuedTask> {
        let first = self.first?;
        let task = self.nodes[first].queued.dispatch.task;
        self.remove(&task)
    }

    /// Removes a task from any position and returns it.
    pub fn remove(&mut self, task: &Task) -> Option<QueuedTask> {
        let node_key = self.by_task.remove(task)?;
        let node = self.nodes.remove(node_key)?;
        match node.previous {
            Some(previous) => self.nodes[previous].next = node.next,
            None => self.first = node.next,
        }
        match node.next {
            Some(next) => self.nodes[next].previous = node.previous,
            None => self.last = node.previous,
        }
        Some(node.queued)
    }
}
