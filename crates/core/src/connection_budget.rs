//! Decides which connections a listener holds and how many bytes of unfinished request bodies, so
//! that callers outside the limits cannot exhaust the memory or the descriptors of a process.
//!
//! Designed for up to a few thousand connections, of which most are idle or wait for an answer.
//! While there is room, everything is let in. When a limit is reached, stalled connections that
//! never sent a request are closed first, then one of the client address that holds more than its share.
//! A connection whose request is whole is never closed here, since its job may run.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use rand::Rng;
use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;
use strum::IntoStaticStr;

use crate::time::Monotonic;

/// Time that a body may take regardless of its rate. Honest callers on slow links need seconds.
pub const RATE_GRACE: Duration = Duration::from_secs(30);

/// Time without progress after which a connection that never sent a whole request counts as stalled.
/// An ordinary caller sends its request within a round trip after it has connected.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Range of the retry delay, in seconds, of a request that is refused for lack of room. Stalled bodies
/// and connections give way to others within seconds, and the refused callers come back one after
/// the other.
const RETRY_SECONDS: (u64, u64) = (1, 4);

new_key_type! {
    /// Key of an open connection.
    pub struct ConnectionKey;
}

/// Limits of one listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Total capacity of the buffers of bodies, in bytes.
    pub body_bytes: usize,
    /// Open connections.
    pub connections: usize,
    /// Slowest mean rate of a body in bytes per second, after [`RATE_GRACE`].
    pub min_body_rate: u64,
}

impl Limits {
    /// Limits that are never reached.
    pub const NONE: Self = Self {
        body_bytes: usize::MAX,
        connections: usize::MAX,
        min_body_rate: 0,
    };
}

/// Why a connection was closed or not accepted, or a request refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// As many connections as allowed are open.
    Connections,
    /// The bodies in flight use the whole budget.
    BodyBytes,
    /// The body arrives more slowly than allowed.
    SlowBody,
}

/// Connections that have to be closed.
pub type Closed = SmallVec<[ConnectionKey; 2]>;

/// The connection or its body was not let in; nothing of the request was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused;

/// Draws the delay, in whole seconds, after which the caller of a request should retry that was refused
/// for lack of room.
pub fn retry_after<R>(random: &mut R) -> Duration
where
    R: Rng,
{
    let (least, most) = RETRY_SECONDS;
    Duration::from_secs(random.random_range(least..=most))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waits for a request, or for the end of its head.
    Head,
    /// The body arrives.
    Body {
        started_at: Monotonic,
        received: u64,
    },
    /// The request is whole; its answer is awaited.
    Answer,
}

#[derive(Debug)]
struct Connection {
    client: IpAddr,
    phase: Phase,
    /// Capacity of the buffer of the body that arrives.
    charged: usize,
    progressed_at: Monotonic,
    /// Whether a request on this connection was whole. Connections without one are closed first.
    was_served: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct Holding {
    connections: usize,
    bytes: usize,
}

/// The open connections of one listener and the bytes that their bodies hold.
#[derive(Debug)]
pub struct ConnectionBudget {
    limits: Limits,
    connections: SlotMap<ConnectionKey, Connection>,
    clients: HashMap<IpAddr, Holding>,
    bytes: usize,
    /// Connections to close, until [`ConnectionBudget::take_closed`].
    closed: Closed,
}

impl ConnectionBudget {
    /// Creates an budget without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: SlotMap::with_key(),
            clients: HashMap::new(),
            bytes: 0,
            closed: Closed::new(),
        }
    }

    /// Returns the connections that the calls so far have removed to make room, and that have to be
    /// closed. Call it after each admission and each receipt, also a refused one.
    pub fn take_closed(&mut self) -> Closed {
        std::mem::take(&mut self.closed)
    }

    /// Returns the total capacity of the buffers of bodies.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether a new connection displaces another one or is refused.
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.limits.connections
    }

    /// Admits a new connection. If there is no room, another one is closed for it.
    ///
    /// # Errors
    /// Fails if there is no room and no connection may be closed.
    pub fn admit(&mut self, client: IpAddr, now: Monotonic) -> Result<ConnectionKey, Refused> {
        if self.is_full() {
            let victim = self.find_connection_to_close(client, now).ok_or(Refused)?;
            self.close(victim);
        }
        self.clients.entry(client).or_default().connections += 1;
        Ok(self.connections.insert(Connection {
            client,
            phase: Phase::Head,
            charged: 0,
            progressed_at: now,
            was_served: false,
        }))
    }

    /// Records that the head of a request with a body has arrived.
    ///
    /// # Errors
    /// Fails if the connection was closed meanwhile.
    pub fn begin_body(&mut self, key: ConnectionKey, now: Monotonic) -> Result<(), Refused> {
        let connection = self.connections.get_mut(key).ok_or(Refused)?;
        connection.phase = Phase::Body {
            started_at: now,
            received: 0,
        };
        connection.progressed_at = now;
        Ok(())
    }

    /// Records that bytes of a body have arrived, for which its buffer needs `capacity`. Other
    /// connections may be closed to make room.
    ///
    /// # Errors
    /// Fails if there is no room, or if the connection was closed meanwhile.
    pub fn receive(
        &mut self,
        key: ConnectionKey,
        bytes: usize,
        capacity: usize,
        now: Monotonic,
    ) -> Result<(), Refused> {
        let connection = self.connections.get_mut(key).ok_or(Refused)?;
        connection.progressed_at = now;
        if let Phase::Body { received, .. } = &mut connection.phase {
            *received += bytes as u64;
        }
        let (client, charged) = (connection.client, connection.charged);
        let growth = capacity.saturating_sub(charged);
        if growth == 0 {
            return Ok(());
        }
        // A body that is alone is let in, whatever its size.
        while self.bytes > charged && self.bytes.saturating_add(growth) > self.limits.body_bytes {
            let victim = self
                .find_body_to_close(key, client, growth)
                .ok_or(Refused)?;
            self.close(victim);
        }
        self.connections[key].charged += growth;
        self.clients.entry(client).or_default().bytes += growth;
        self.bytes += growth;
        Ok(())
    }

    /// Records that a request is whole. From now on its connection is not closed. The bytes charged
    /// for the body, which are returned, remain so until [`ConnectionBudget::release`].
    ///
    /// # Errors
    /// Fails if the connection was closed meanwhile, so that the request must not run.
    pub fn begin_answer(&mut self, key: ConnectionKey) -> Result<usize, Refused> {
        let connection = self.connections.get_mut(key).ok_or(Refused)?;
        connection.phase = Phase::Answer;
        connection.was_served = true;
        Ok(std::mem::take(&mut connection.charged))
    }

    /// Records that the answer to a request is known.
    pub fn end_answer(&mut self, key: ConnectionKey, now: Monotonic) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.phase = Phase::Head;
            connection.progressed_at = now;
        }
    }

    /// Releases the bytes of a whole body, whose buffer was freed.
    pub fn release(&mut self, client: IpAddr, bytes: usize) {
        self.bytes -= bytes;
        self.update_holding(client, |holding| holding.bytes -= bytes);
    }

    /// Removes a connection that has ended, with the bytes of its unfinished body. Does nothing if
    /// it was closed before.
    pub fn remove(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.remove(key) else {
            return;
        };
        self.bytes -= connection.charged;
        self.update_holding(connection.client, |holding| {
            holding.connections -= 1;
            holding.bytes -= connection.charged;
        });
    }

    /// Removes the connections whose bodies arrive more slowly than allowed.
    pub fn close_slow_bodies(&mut self, now: Monotonic) {
        let rate = self.limits.min_body_rate as f64;
        let is_slow = |connection: &Connection| match connection.phase {
            Phase::Body {
                started_at,
                received,
            } => {
                let elapsed = now.since(started_at);
                elapsed > RATE_GRACE && (received as f64) < rate * elapsed.as_secs_f64()
            }
            Phase::Head | Phase::Answer => false,
        };
        let slow: Closed = self
            .connections
            .iter()
            .filter(|(_key, connection)| is_slow(connection))
            .map(|(key, _connection)| key)
            .collect();
        for key in slow {
            self.close(key);
        }
    }

    fn close(&mut self, key: ConnectionKey) {
        self.remove(key);
        self.closed.push(key);
    }

    fn update_holding<F>(&mut self, client: IpAddr, change: F)
    where
        F: FnOnce(&mut Holding),
    {
        if let Some(holding) = self.clients.get_mut(&client) {
            change(holding);
            if holding.connections == 0 && holding.bytes == 0 {
                self.clients.remove(&client);
            }
        }
    }

    /// Returns the connection that is closed for a new one of `client`, if any may be.
    ///
    /// Stalled connections that have never sent a whole request go first, whoever opened them. Then
    /// the client over its share gives one up: an idle one that was served rather than one whose first
    /// request may just be on its way. A client of which all connections wait for answers, such as a
    /// load balancer, is not refused for the sake of connections that never sent a request.
    fn find_connection_to_close(&self, client: IpAddr, now: Monotonic) -> Option<ConnectionKey> {
        let from = self.client_to_cut(client, 1, self.limits.connections, |holding| {
            holding.connections
        });
        let is_stalled = |connection: &Connection| {
            !connection.was_served && now.since(connection.progressed_at) >= STALL_TIME
        };
        let is_unserved = |connection: &Connection| !connection.was_served;
        let any = |_connection: &Connection| true;
        self.find_oldest(from, is_stalled)
            .or_else(|| self.find_oldest(None, is_stalled))
            .or_else(|| self.find_oldest(from, any))
            .or_else(|| self.find_oldest(None, is_unserved))
    }

    /// Returns the connection without progress for longest among those that do not wait for an answer
    /// and may be closed, of one client or of all. Served ones come before the others.
    fn find_oldest<F>(&self, from: Option<IpAddr>, may_close: F) -> Option<ConnectionKey>
    where
        F: Fn(&Connection) -> bool,
    {
        self.connections
            .iter()
            .filter(|(_key, connection)| connection.phase != Phase::Answer)
            .filter(|(_key, connection)| from.is_none_or(|from| connection.client == from))
            .filter(|(_key, connection)| may_close(connection))
            .min_by_key(|(_key, connection)| (!connection.was_served, connection.progressed_at))
            .map(|(key, _connection)| key)
    }

    /// Returns the connection that is closed so that the body of another one, `key`, can grow: the
    /// one without progress for longest.
    fn find_body_to_close(
        &self,
        key: ConnectionKey,
        client: IpAddr,
        growth: usize,
    ) -> Option<ConnectionKey> {
        let from = self.client_to_cut(client, growth, self.limits.body_bytes, |holding| {
            holding.bytes
        });
        let find = |from: Option<IpAddr>| {
            self.connections
                .iter()
                .filter(|(other, connection)| *other != key && connection.charged > 0)
                .filter(|(_other, connection)| from.is_none_or(|from| connection.client == from))
                .min_by_key(|(_other, connection)| connection.progressed_at)
                .map(|(other, _connection)| other)
        };
        // A client over its share may have nothing to give up but this body, or only requests that
        // are whole. A single request inside the limits is let in all the same.
        find(from).or_else(|| find(None))
    }

    /// Returns the client whose connections are cut for `growth` more of `client`, `None` for any:
    /// the one that holds most, or `client` itself if it would hold more than an equal share. All
    /// callers behind a load balancer are one client and have no share against each other.
    fn client_to_cut<F>(
        &self,
        client: IpAddr,
        growth: usize,
        limit: usize,
        amount: F,
    ) -> Option<IpAddr>
    where
        F: Fn(&Holding) -> usize,
    {
        let own = self.clients.get(&client).map_or(0, &amount);
        let others = self
            .clients
            .iter()
            .filter(|(other, holding)| **other != client && amount(holding) > 0);
        let (mut count, mut largest) = (0, None);
        for (other, holding) in others {
            count += 1;
            largest = largest.max(Some((amount(holding), *other)));
        }
        let (most, other) = largest?;
        let share = limit / (count + 1);
        if share == 0 {
            // With more clients than room, none holds more than its share.
            return None;
        }
        let wanted = own.saturating_add(growth);
        if wanted > share && wanted > most {
            Some(client)
        } else {
            (most > share).then_some(other)
        }
    }
}
