//! Tasks that wait for a slot, in order of arrival; any of them can leave in constant time.

use std::collections::HashMap;

use slotmap::{SlotMap, new_key_type};

use crate::frame::Dispatch;
use crate::job::Task;
use crate::time::Mono;

new_key_type! {
    struct Key;
}

/// A task that waits for a slot.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// Connection that gets its outcome.
    pub link: u64,
    /// The dispatch.
    pub dispatch: Dispatch,
    /// Epoch of the order that brought it.
    pub epoch: u64,
    /// When it arrived.
    pub since: Mono,
}

#[derive(Debug, Clone)]
struct Node {
    waiting: Waiting,
    previous: Option<Key>,
    next: Option<Key>,
}

/// A doubly linked list in an arena, with an index by task.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    nodes: SlotMap<Key, Node>,
    by_task: HashMap<Task, Key>,
    first: Option<Key>,
    last: Option<Key>,
}

impl Queue {
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of tasks.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns whether a task waits.
    pub fn contains(&self, task: &Task) -> bool {
        self.by_task.contains_key(task)
    }

    /// Returns a task that waits.
    pub fn get_mut(&mut self, task: &Task) -> Option<&mut Waiting> {
        let key = self.by_task.get(task)?;
        self.nodes.get_mut(*key).map(|node| &mut node.waiting)
    }

    /// Adds a task at the end.
    pub fn push(&mut self, waiting: Waiting) {
        let task = waiting.dispatch.task;
        let previous = self.last;
        let key = self.nodes.insert(Node {
            waiting,
            previous,
            next: None,
        });
        match previous {
            Some(previous) => self.nodes[previous].next = Some(key),
            None => self.first = Some(key),
        }
        self.last = Some(key);
        self.by_task.insert(task, key);
    }

    /// Removes the first task.
    pub fn pop(&mut self) -> Option<Waiting> {
        let first = self.first?;
        let task = self.nodes[first].waiting.dispatch.task;
        self.remove(&task)
    }

    /// Removes a task wherever it stands.
    pub fn remove(&mut self, task: &Task) -> Option<Waiting> {
        let key = self.by_task.remove(task)?;
        let node = self.nodes.remove(key)?;
        match node.previous {
            Some(previous) => self.nodes[previous].next = node.next,
            None => self.first = node.next,
        }
        match node.next {
            Some(next) => self.nodes[next].previous = node.previous,
            None => self.last = node.previous,
        }
        Some(node.waiting)
    }
}
