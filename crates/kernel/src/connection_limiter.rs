//! Connections of a listener with the limits of [`ConnectionBudget`]: closes the connections that it names,
//! counts them and logs at most one line a second.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use ibisspool_core::connection_budget::{
    self, ConnectionBudget, ConnectionKey, Limits, Reason, Refused,
};
use ibisspool_core::time::Monotonic;
use prometheus::{Gauge, IntCounterVec};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;

use crate::metrics::Metrics;

/// Shortest time between two log lines about callers outside the limits of one listener.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Size of the kernel's receive buffer of a caller's connection, of which Linux reserves twice as
/// much. Without it, bytes that are not read yet take up to 32 MiB a connection.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Size of the kernel's send buffer of a caller's connection, of which Linux reserves twice as much.
/// Without it, answers that the caller does not read take up to 4 MiB a connection.
const SEND_BUFFER_BYTES: usize = 16 << 10;

/// Limits and metrics of the connections of one listener. Clones share them.
#[derive(Debug, Clone)]
pub struct ConnectionLimiter {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    listener: &'static str,
    started_at: Instant,
    state: Mutex<State>,
    metrics: Option<ConnectionMetrics>,
}

#[derive(Debug)]
struct State {
    budget: ConnectionBudget,
    /// Wakes the task of a connection that has to be closed.
    close_triggers: HashMap<ConnectionKey, oneshot::Sender<()>>,
    logged_at: Option<Instant>,
    /// Spreads the retry delays of refused callers.
    retry_random: SmallRng,
    /// What this limiter has added to the gauges, which all limiters of the process share.
    shown_bytes: usize,
    shown_connections: usize,
}

/// Metrics of the listeners of a process.
#[derive(Debug, Clone)]
pub struct ConnectionMetrics {
    bytes: Gauge,
    connections: Gauge,
    closed: IntCounterVec,
    refused: IntCounterVec,
}

impl ConnectionMetrics {
    /// Registers the metrics at zero.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            bytes: metrics.gauge(
                "ibisspool_body_bytes_in_flight",
                "Capacity of the buffers of request bodies",
            ),
            connections: metrics.gauge(
                "ibisspool_open_connections",
                "Accepted connections under a limit",
            ),
            closed: metrics.labeled_counter(
                "ibisspool_closed_connections_total",
                "Connections closed before their request was whole, by the limit",
                "reason",
            ),
            refused: metrics.labeled_counter(
                "ibisspool_refused_requests_total",
                "Requests and connections refused, by the limit",
                "reason",
            ),
        }
    }
}

impl ConnectionLimiter {
    /// Creates the limiter of a listener, which is named so in log lines.
    pub fn new(listener: &'static str, limits: Limits, metrics: ConnectionMetrics) -> Self {
        Self::with_metrics(listener, limits, Some(metrics))
    }

    /// Creates a limiter that lets everything in and has no metrics.
    pub fn unlimited() -> Self {
        Self::with_metrics("unlimited", Limits::NONE, None)
    }

    fn with_metrics(
        listener: &'static str,
        limits: Limits,
        metrics: Option<ConnectionMetrics>,
    ) -> Self {
        let state = State {
            budget: ConnectionBudget::new(limits),
            close_triggers: HashMap::new(),
            logged_at: None,
            retry_random: SmallRng::seed_from_u64(rand::random()),
            shown_bytes: 0,
            shown_connections: 0,
        };
        Self {
            shared: Arc::new(Shared {
                listener,
                started_at: Instant::now(),
                state: Mutex::new(state),
                metrics,
            }),
        }
    }

    /// Admits a connection that was accepted; returns the receiver that tells when to close it.
    /// Returns `None` if it is to be closed at once.
    pub fn admit(&self, client: IpAddr) -> Option<(ConnectionPermit, oneshot::Receiver<()>)> {
        let now = self.now();
        let mut state = self.lock();
        let Ok(key) = state.budget.admit(client, now) else {
            self.count_refusal(&mut state, Reason::Connections);
            return None;
        };
        self.close(&mut state, Reason::Connections);
        let (close_trigger, must_close) = oneshot::channel();
        state.close_triggers.insert(key, close_trigger);
        self.update_gauges(&mut state);
        let permit = ConnectionPermit {
            limiter: self.clone(),
            key,
            client,
        };
        Some((permit, must_close))
    }

    /// Draws the delay after which the caller of a request should retry that was refused for lack of
    /// room.
    pub fn retry_after(&self) -> Duration {
        connection_budget::retry_after(&mut self.lock().retry_random)
    }

    /// Lets the tasks of closed connections free their descriptors if no more may be open. Call this
    /// before each accept, which would otherwise go on while connections wait in the backlog.
    pub async fn yield_if_full(&self) {
        if self.lock().budget.is_full() {
            tokio::task::yield_now().await;
        }
    }

    /// Closes the connections whose bodies arrive more slowly than allowed.
    pub fn close_slow_bodies(&self) {
        let now = self.now();
        let mut state = self.lock();
        state.budget.close_slow_bodies(now);
        self.close(&mut state, Reason::SlowBody);
        self.update_gauges(&mut state);
    }

    fn now(&self) -> Monotonic {
        Monotonic::default().plus(self.shared.started_at.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the connections that the budget has removed.
    fn close(&self, state: &mut State, reason: Reason) {
        let closed = state.budget.take_closed();
        if closed.is_empty() {
            return;
        }
        for key in &closed {
            if let Some(close_trigger) = state.close_triggers.remove(key) {
                let _ended = close_trigger.send(());
            }
        }
        if let Some(metrics) = &self.shared.metrics {
            let label: &str = reason.into();
            let counter = metrics.closed.with_label_values(&[label]);
            counter.inc_by(closed.len() as u64);
        }
        self.log(state, "Closed a connection", reason);
    }

    fn count_refusal(&self, state: &mut State, reason: Reason) {
        if let Some(metrics) = &self.shared.metrics {
            let label: &str = reason.into();
            metrics.refused.with_label_values(&[label]).inc();
        }
        self.log(state, "Refused a request", reason);
    }

    fn log(&self, state: &mut State, event: &str, reason: Reason) {
        let now = Instant::now();
        if state
            .logged_at
            .is_some_and(|logged_at| now.duration_since(logged_at) < LOG_INTERVAL)
        {
            return;
        }
        state.logged_at = Some(now);
        let reason: &str = reason.into();
        log::warn!(
            "connections: {event} outside the limits; more may follow within a second. listener={} \
             reason={reason} connections={} body_bytes={}",
            self.shared.listener,
            state.budget.connections(),
            state.budget.bytes()
        );
    }

    fn update_gauges(&self, state: &mut State) {
        let Some(metrics) = &self.shared.metrics else {
            return;
        };
        let (bytes, connections) = (state.budget.bytes(), state.budget.connections());
        if bytes != state.shown_bytes {
            metrics.bytes.add(bytes as f64 - state.shown_bytes as f64);
            state.shown_bytes = bytes;
        }
        if connections != state.shown_connections {
            let change = connections as f64 - state.shown_connections as f64;
            metrics.connections.add(change);
            state.shown_connections = connections;
        }
    }
}

/// A connection that a [`ConnectionLimiter`] has admitted. Dropping the value frees its place.
#[derive(Debug)]
pub struct ConnectionPermit {
    limiter: ConnectionLimiter,
    key: ConnectionKey,
    client: IpAddr,
}

impl ConnectionPermit {
    /// Records that the head of a request with a body has arrived.
    ///
    /// # Errors
    /// Fails if the connection is being closed.
    pub fn begin_body(&self) -> Result<(), Refused> {
        let now = self.limiter.now();
        self.limiter.lock().budget.begin_body(self.key, now)
    }

    /// Records that bytes of a body have arrived, for which its buffer needs `capacity`.
    ///
    /// # Errors
    /// Fails if there is no room or the connection is being closed.
    pub fn receive(&self, bytes: usize, capacity: usize) -> Result<(), Refused> {
        let now = self.limiter.now();
        let mut state = self.limiter.lock();
        let received = state.budget.receive(self.key, bytes, capacity, now);
        self.limiter.close(&mut state, Reason::BodyBytes);
        if received.is_err() {
            self.limiter.count_refusal(&mut state, Reason::BodyBytes);
        }
        received
    }

    /// Records that a request is whole and returns its body, whose buffer is charged to the budget
    /// until it is freed.
    ///
    /// # Errors
    /// Fails if the connection is being closed, so that the request must not run.
    pub fn begin_answer(&self, body: Vec<u8>) -> Result<Bytes, Refused> {
        let charged = self.limiter.lock().budget.begin_answer(self.key)?;
        if charged == 0 {
            return Ok(Bytes::new());
        }
        Ok(Bytes::from_owner(ChargedBody {
            limiter: self.limiter.clone(),
            client: self.client,
            charged,
            body,
        }))
    }

    /// Draws the delay after which the caller should retry if its request is refused for lack of room.
    pub fn retry_after(&self) -> Duration {
        self.limiter.retry_after()
    }

    /// Records that the answer to the request is known.
    pub fn end_answer(&self) {
        let now = self.limiter.now();
        self.limiter.lock().budget.end_answer(self.key, now);
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut state = self.limiter.lock();
        state.budget.remove(self.key);
        state.close_triggers.remove(&self.key);
        self.limiter.update_gauges(&mut state);
    }
}

/// A whole body; dropping the value releases its bytes.
#[derive(Debug)]
struct ChargedBody {
    limiter: ConnectionLimiter,
    client: IpAddr,
    charged: usize,
    body: Vec<u8>,
}

impl AsRef<[u8]> for ChargedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for ChargedBody {
    fn drop(&mut self) {
        let mut state = self.limiter.lock();
        state.budget.release(self.client, self.charged);
    }
}

/// Limits the kernel's buffers of the connections that a listener will accept. Unread bytes count
/// against the memory of a VM too.
pub fn limit_kernel_buffers(listener: &tokio::net::TcpListener) {
    let socket = socket2::SockRef::from(listener);
    let limited = socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .and_then(|()| socket.set_send_buffer_size(SEND_BUFFER_BYTES));
    if let Err(error) = limited {
        log::warn!("connections: Cannot limit the buffers of a listener. error={error}");
    }
}
