//! Parts of a process: threads that share no state and send each other messages. They find each
//! other's mailboxes by name in a registry, the [`Kernel`].

use std::any::Any;
use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use crossbeam::channel::{Receiver, Sender, unbounded};
use strum::{Display, IntoStaticStr};
use thiserror::Error;

/// Names of the parts; also the names of their threads and the prefix of their log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PartName {
    /// Owns the state machine of the process: handles all events and carries out the resulting
    /// actions.
    Decider,
    /// Receives HTTP requests.
    Http,
    /// Writes HTTP responses to callers.
    Responder,
    /// Reads and writes the platform's table service.
    Store,
    /// Sends and receives messages of other entries and of agents.
    Peers,
    /// Sends tasks to the backend server and waits for their results.
    Runner,
    /// Writes HTTP responses to operators.
    Operator,
}

/// Why [`Kernel::find`] returned no mailbox.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// No mailbox is registered under the name.
    #[error("no part `{0}` is registered; register each mailbox before the parts start")]
    NotRegistered(PartName),
    /// The mailbox takes messages of another type.
    #[error("part `{0}` takes another type of message; look it up with its own type")]
    WrongMessageType(PartName),
}

/// The registry of mailboxes, which also starts the threads of the parts. Clones share it.
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
    /// Creates a registry without mailboxes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an unbounded mailbox, registers it under a name and returns its receiving end.
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

    /// Returns the sending end of the mailbox with a name.
    ///
    /// # Errors
    /// Fails if no mailbox with the name is registered or it takes messages of another type.
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

    /// Runs a part in a new thread with its name. A panic in the thread aborts the process, since
    /// the process must not go on after a violated invariant.
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
                log::error!("{name}: The thread panicked, so the process aborts.");
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
