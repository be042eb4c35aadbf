//! gRPC between processes: the streams that agents open, and calls among entries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::{Context as _, Result};
use crossbeam::channel::Sender;
use ibisspool_core::control::Member;
use ibisspool_core::entry::{Event, JobRequest, Origin, WaiterId};
use ibisspool_core::frame::Order;
use ibisspool_core::job::Id;
use ibisspool_core::time::Now;
use ibisspool_kernel::clock::Clock;
use ibisspool_kernel::connection_limiter::ConnectionLimiter;
use ibisspool_wire::generated as wire;
use ibisspool_wire::generated::link_server::{Link, LinkServer};
use ibisspool_wire::generated::peer_client::PeerClient;
use ibisspool_wire::generated::peer_server::{Peer, PeerServer};
use ibisspool_wire::{decode, encode};
use tokio::sync::mpsc;
use tokio_stream::wrappers::{TcpListenerStream, UnboundedReceiverStream};
use tokio_stream::{Stream, StreamExt};
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status, Streaming};

use crate::metrics::Metrics;
use crate::peer_stream::{PeerStream, mark_known};
use crate::responder::Waiters;

/// Time limit for the answer to a heartbeat, and for opening a connection to another entry.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);

/// Time limit for the answer to an inquiry about a job.
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(900);

/// Interval of keep-alive pings on a connection to another entry while a call is in flight, and the
/// time limit for the answer to each.
const CALL_KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of keep-alive pings on accepted connections, and the time limit for the answer to each.
const AGENT_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Largest accepted message.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Open streams of agents, by the number of the link.
type Streams = Arc<Mutex<HashMap<u64, mpsc::UnboundedSender<wire::Order>>>>;

/// Streams of agents and channels to other entries. Clones share them.
#[derive(Debug, Clone)]
pub struct Peers {
    streams: Streams,
    next_link_id: Arc<AtomicU64>,
    channels: Arc<Mutex<HashMap<String, Channel>>>,
    runtime: tokio::runtime::Handle,
    events: Sender<Event>,
    waiters: Waiters,
    metrics: Metrics,
    clock: Clock,
    incarnation: u64,
    lapsed_below: Arc<AtomicU64>,
}

impl Peers {
    /// Creates the state without any connection; [`Peers::serve`] starts listening.
    pub fn new(
        runtime: tokio::runtime::Handle,
        events: Sender<Event>,
        waiters: Waiters,
        metrics: Metrics,
        clock: Clock,
        incarnation: u64,
    ) -> Self {
        Self {
            streams: Streams::default(),
            next_link_id: Arc::new(AtomicU64::new(1)),
            channels: Arc::default(),
            runtime,
            events,
            waiters,
            metrics,
            clock,
            incarnation,
            lapsed_below: Arc::default(),
        }
    }

    /// Sets the epoch below which no entry can hold a lease any more; it is sent in the answers to
    /// heartbeats. An answer with an older value is still true, so no order with other messages is
    /// needed.
    pub fn set_lapsed_below_epoch(&self, epoch: u64) {
        self.lapsed_below.store(epoch, Ordering::Relaxed);
    }

    /// Listens for agents and other entries; returns the bound address. The limiter counts the
    /// connections on which nothing was called yet.
    ///
    /// # Errors
    /// Fails if the address cannot be listened on.
    pub fn serve(&self, address: SocketAddr, limiter: ConnectionLimiter) -> Result<SocketAddr> {
        let listener = self
            .runtime
            .block_on(tokio::net::TcpListener::bind(address))
            .with_context(|| format!("cannot listen on {address}; choose a free address"))?;
        let bound_address = listener.local_addr()?;
        let incoming = TcpListenerStream::new(listener).filter_map(move |connection| {
            connection
                .map(|connection| PeerStream::admit(connection, &limiter))
                .transpose()
        });
        let link = LinkServer::new(self.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let peer = PeerServer::new(self.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let server = Server::builder()
            .http2_keepalive_interval(Some(AGENT_KEEP_ALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(AGENT_KEEP_ALIVE_INTERVAL))
            .add_service(link)
            .add_service(peer)
            .serve_with_incoming(incoming);
        self.runtime.spawn(async move {
            if let Err(error) = server.await {
                log::error!("peers: The gRPC server stopped: {error}.");
            }
        });
        Ok(bound_address)
    }

    /// Sends an order over an agent's stream. If the stream is closed, the order is dropped; the
    /// agent is asked what it has started when it connects again.
    pub fn send_order(&self, link: u64, order: Order) {
        self.metrics.orders.inc();
        self.metrics
            .dispatches
            .inc_by(order.dispatches.len() as u64);
        let streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(stream) = streams.get(&link) {
            let _closed = stream.send(encode::order(order));
        }
    }

    /// Sends a heartbeat to another entry. Its answer becomes events; a heartbeat without an answer
    /// is dropped.
    pub fn send_heartbeat(&self, to: Member, epoch: u64) {
        let Some(mut client) = self.client_for(&to.address) else {
            return;
        };
        let (events, clock) = (self.events.clone(), self.clock);
        self.runtime.spawn(async move {
            let heartbeat = wire::Beat {
                incarnation: to.incarnation,
                epoch,
            };
            let sent = clock.now();
            let call = client.heartbeat(heartbeat);
            let Ok(Ok(answer)) = tokio::time::timeout(HEARTBEAT_TIMEOUT, call).await else {
                return;
            };
            let answer = answer.into_inner();
            if let Some(their_wall_ms) = answer.wall_ms {
                let _ended =
                    events.send(compare_clocks(to.clone(), their_wall_ms, sent, clock.now()));
            }
            let below = answer.lapsed_below;
            let _ended = events.send(Event::EarlierLeasesLapsed { below });
            let _ended = events.send(Event::HeartbeatAnswered {
                member: to,
                epoch: answer.epoch,
                sent: sent.mono,
            });
        });
    }

    /// Asks another entry whether it has a record of a job; the answer or its absence becomes an
    /// event.
    pub fn inquire(&self, to: Member, id: Id, epoch: u64) {
        let Some(mut client) = self.client_for(&to.address) else {
            let _ended = self.events.send(Event::InquiryFailed { member: to, id });
            return;
        };
        let events = self.events.clone();
        self.runtime.spawn(async move {
            let call = client.inquire(encode::inquiry(to.incarnation, epoch, &id));
            let event = match tokio::time::timeout(INQUIRY_TIMEOUT, call).await {
                Ok(Ok(answer)) => Event::InquiryAnswered {
                    member: to,
                    id,
                    findings: decode::findings(answer.into_inner()),
                },
                _ => Event::InquiryFailed { member: to, id },
            };
            let _ended = events.send(event);
        });
    }

    /// Forwards a caller's question to the job's coordinator and its answer to the caller.
    pub fn forward_question(&self, waiter: WaiterId, to: &Member, question: JobRequest) {
        let lost_event = Event::ForwardFailed { waiter };
        let Some(mut client) = self.client_for(&to.address) else {
            let _ended = self.events.send(lost_event);
            return;
        };
        let (events, waiters) = (self.events.clone(), self.waiters.clone());
        self.runtime.spawn(async move {
            let id = question.id();
            let reply = client.ask(encode::question(question)).await;
            let reply = reply.ok().map(Response::into_inner);
            match reply.and_then(|reply| decode::reply(&id, reply).ok()) {
                Some(reply) => {
                    waiters.send_reply(waiter, id, reply);
                    let _ended = events.send(Event::ForwardAnswered { waiter });
                }
                None => {
                    let _ended = events.send(lost_event);
                }
            }
        });
    }

    fn client_for(&self, address: &str) -> Option<PeerClient<Channel>> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(address) {
            return Some(peer_client(channel.clone()));
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .ok()?
            .connect_timeout(HEARTBEAT_TIMEOUT)
            .http2_keep_alive_interval(CALL_KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(CALL_KEEP_ALIVE_INTERVAL);
        let _context = self.runtime.enter();
        let channel = endpoint.connect_lazy();
        channels.insert(address.to_owned(), channel.clone());
        Some(peer_client(channel))
    }
}

/// Compares the wall clock of another entry, which was read between `sent` and `received`, with the
/// clock of this one. The error is half of the round trip.
fn compare_clocks(member: Member, wall_ms: u64, sent: Now, received: Now) -> Event {
    let error = received.mono.since(sent.mono) / 2;
    let here = sent.wall.plus(error).0;
    Event::ClockCompared {
        member,
        ahead_ms: wall_ms.cast_signed().wrapping_sub(here.cast_signed()),
        error,
    }
}

fn peer_client(channel: Channel) -> PeerClient<Channel> {
    PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES)
}

#[tonic::async_trait]
impl Link for Peers {
    type AttachStream = Pin<Box<dyn Stream<Item = Result<wire::Order, Status>> + Send>>;

    async fn attach(
        &self,
        request: Request<Streaming<wire::Report>>,
    ) -> Result<Response<Self::AttachStream>, Status> {
        mark_known(&request);
        let link = self.next_link_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = mpsc::unbounded_channel();
        self.streams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(link, sender);
        tokio::spawn(self.clone().forward_reports(link, request.into_inner()));
        let orders = UnboundedReceiverStream::new(receiver).map(Ok);
        Ok(Response::new(Box::pin(orders)))
    }
}

impl Peers {
    async fn forward_reports(self, link: u64, mut reports: Streaming<wire::Report>) {
        while let Ok(Some(report)) = reports.message().await {
            self.metrics.reports.inc();
            match decode::report(report) {
                Ok(report) => {
                    for outcome in &report.outcomes {
                        let queue_wait = Duration::from_micros(outcome.queue_us).as_secs_f64();
                        self.metrics.queue_wait_seconds.observe(queue_wait);
                    }
                    let _ended = self.events.send(Event::ReportReceived { link, report });
                }
                Err(error) => {
                    self.metrics.malformed_messages.inc();
                    log::warn!("peers: Ignored a report that cannot be decoded: {error}.");
                }
            }
        }
        self.streams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&link);
        let _ended = self.events.send(Event::AgentDisconnected { link });
    }
}

#[tonic::async_trait]
impl Peer for Peers {
    async fn heartbeat(
        &self,
        request: Request<wire::Beat>,
    ) -> Result<Response<wire::BeatAnswer>, Status> {
        mark_known(&request);
        let heartbeat = request.into_inner();
        if heartbeat.incarnation != self.incarnation {
            return Err(Status::failed_precondition("another incarnation was asked"));
        }
        let (waiter, answer) = self.waiters.add_heartbeat();
        let _ended = self.events.send(Event::HeartbeatReceived {
            waiter,
            epoch: heartbeat.epoch,
        });
        let epoch = answer
            .await
            .map_err(|_gone| Status::unavailable("the entry stops"))?;
        Ok(Response::new(wire::BeatAnswer {
            epoch,
            wall_ms: Some(self.clock.now().wall.0),
            lapsed_below: self.lapsed_below.load(Ordering::Relaxed),
        }))
    }

    async fn inquire(
        &self,
        request: Request<wire::Inquiry>,
    ) -> Result<Response<wire::Findings>, Status> {
        mark_known(&request);
        let inquiry = request.into_inner();
        if inquiry.incarnation != self.incarnation {
            return Err(Status::failed_precondition("another incarnation was asked"));
        }
        let id = decode::inquiry(&inquiry).map_err(|error| {
            self.metrics.malformed_messages.inc();
            Status::invalid_argument(error.to_string())
        })?;
        let (waiter, answer) = self.waiters.add_inquiry();
        let _ended = self.events.send(Event::InquiryReceived {
            waiter,
            id,
            epoch: inquiry.epoch,
        });
        let findings = answer
            .await
            .map_err(|_gone| Status::unavailable("the entry stops"))?;
        Ok(Response::new(encode::findings(findings)))
    }

    async fn ask(&self, request: Request<wire::Question>) -> Result<Response<wire::Reply>, Status> {
        mark_known(&request);
        let question = decode::question(request.into_inner()).map_err(|error| {
            self.metrics.malformed_messages.inc();
            Status::invalid_argument(error.to_string())
        })?;
        let id = question.id();
        let (waiter, answer) = self.waiters.add_forwarded();
        let _ended = self
            .events
            .send(question.into_event(waiter, Origin::Forwarded));
        let answer = answer
            .await
            .map_err(|_gone| Status::unavailable("the entry stops"))?;
        match answer {
            Some(reply) => Ok(Response::new(encode_reply(&id, reply))),
            None => Err(Status::failed_precondition(
                "another entry coordinates the job",
            )),
        }
    }
}

fn encode_reply(id: &Id, reply: decode::Reply) -> wire::Reply {
    match reply {
        decode::Reply::Answer(answer) => encode::answer(id, answer),
        decode::Reply::Trace(trace) => encode::trace(id, trace),
    }
}
