//! The micro-kernel: parts of a process that find each other's mailboxes by name.

use std::any::Any;
use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use crossbeam::channel::{Receiver, Sender, unbounded};
use strum::{Display, IntoStaticStr};
use thiserror::Error;

/// Names of the parts; also the prefix of their log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PartName {
    /// Decides; owns the state of the process.
    Decider,
    /// Serves HTTP.
    Http,
    /// Writes answers to callers.
    Responder,
    /// Reads and writes the platform's table service.
    Store,
    /// Talks to the other processes.
    Peers,
    /// Runs tasks at the backend server.
    Runner,
    /// Carries out operators' changes.
    Operator,
}

/// Why a mailbox could not be found.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// No part has registered the name.
    #[error("no part `{0}` is registered; register each mailbox before the parts start")]
    NotRegistered(PartName),
    /// The part takes messages of another type.
    #[error("part `{0}` takes another type of message; look it up with its own type")]
    WrongMessageType(PartName),
}

/// The registry of mailboxes. Clones share it.
#[derive(Clone, Default)]
pub struct Kernel {
    mailboxes: Arc<Mutex<HashMap<PartName, Box<dyn Any + Send>>>>,
}

impl fmt::Debug for Kernel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Kernel").finish_non_exhaustive()
    }
}

impl Kernel {
    /// Makes a kernel without parts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers the mailbox of a part and returns its receiving end.
    pub fn register<M>(&self, name: PartName) -> Receiver<M>
    where
        M: Send + 'static,
    {
        let (sender, receiver) = unbounded::<M>();
        let mut mailboxes = self
            .mailboxes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        mailboxes.insert(name, Box::new(sender));
        receiver
    }

    /// Returns the sending end of a part's mailbox.
    ///
    /// # Errors
    /// Fails if no such part is registered or it takes another type of message.
    pub fn find<M>(&self, name: PartName) -> Result<Sender<M>, Error>
    where
        M: Send + 'static,
    {
        let mailboxes = self
            .mailboxes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mailbox = mailboxes.get(&name).ok_or(Error::NotRegistered(name))?;
        mailbox
            .downcast_ref::<Sender<M>>()
            .cloned()
            .ok_or(Error::WrongMessageType(name))
    }

    /// Runs a part in a thread of its name. A panic of the part ends the process: a broken
    /// invariant must not go on.
    ///
    /// # Panics
    /// Panics if the system refuses another thread.
    pub fn spawn<F>(&self, name: PartName, run: F) -> thread::JoinHandle<()>
    where
        F: FnOnce() + Send + 'static,
    {
        let guarded = move || {
            let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
            if outcome.is_err() {
                log::error!("{name}: ended by a broken invariant, the process stops.");
                log::logger().flush();
                std::process::abort();
            }
        };
        thread::Builder::new()
            .name(name.to_string())
            .spawn(guarded)
            .expect("the system refuses another thread; raise its limit of threads")
    }
}
