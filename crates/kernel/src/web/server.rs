//! Serves HTTP/1.1 connections on the calling thread's event loop.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Method, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, timeout};

use super::stream::Stream;
use crate::connection_limiter::{self, ConnectionLimiter, ConnectionPermit};

/// Smallest buffer that hyper allows for the head of a request (request line and headers).
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// Delay after a failed accept, so that the loop does not spin while file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval at which the connections of slow bodies are looked for.
const SLOW_BODY_INTERVAL: Duration = Duration::from_secs(1);

/// Smallest capacity of the buffer of a body that arrives in several pieces.
const MIN_BODY_CAPACITY: usize = 4 << 10;

/// Connections above the limit of a listener whose first request is refused, so that its caller learns
/// when to come back. Further ones are closed at once.
const MAX_REFUSED_CONNECTIONS: usize = 16;

/// Longest time for the first request of a connection above the limit, and for its refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits for the requests of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest total size of a request's headers, in bytes.
    pub head_bytes: usize,
    /// Largest size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Longest time until the head of a request has arrived, counted from the end of the request
    /// before it on the same connection.
    pub head_timeout: Duration,
}

/// Why a request is refused before its handler is called. Nothing of it was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The head is not HTTP/1.1.
    #[error("the request is not HTTP/1.1; check its first line and headers")]
    Malformed,
    /// The headers are too many, or larger than this number of bytes.
    #[error("too many headers, or more than {0} bytes of them; send fewer")]
    HeadTooLarge(usize),
    /// The body is larger than this number of bytes.
    #[error("the body is over {0} bytes; send less at once")]
    BodyTooLarge(usize),
    /// The connection ended before the whole body arrived.
    #[error("the body is incomplete; send as many bytes as Content-Length names")]
    Truncated,
    /// The whole body did not arrive within this time.
    #[error("the body did not arrive within {} s; send it faster", .0.as_secs())]
    TooSlow(Duration),
    /// The requests of other callers take all the room. The caller should retry after this time.
    #[error("too many requests at the same time; send it again after Retry-After")]
    NoRoom(Duration),
}

impl RequestError {
    /// Returns the status by which the request is refused.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::Truncated => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow(_) => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoom(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the refusal without a body, after which the connection is closed.
    fn bare_reply(self) -> Reply {
        let retry_after = match self {
            Self::NoRoom(delay) => Some(delay.as_secs()),
            _ => None,
        };
        Reply {
            retry_after,
            ..Reply::new(self.status())
        }
    }
}

/// What a server does beyond the limits of its connections. The default bounds no time and refuses
/// requests without a body.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options {
    /// Longest time for the body of a request.
    pub body_timeout: Option<Duration>,
    /// Longest time for a write of which the caller reads nothing.
    pub write_timeout: Option<Duration>,
    /// Creates the answer to a request that is refused, by its method if that is known. The
    /// connection is closed after it.
    pub refuse: Option<fn(RequestError, Option<&Method>) -> Reply>,
}

impl Options {
    /// Returns the answer to a request that is refused.
    pub(super) fn refusal(&self, error: RequestError, method: Option<&Method>) -> Reply {
        let reply = self
            .refuse
            .map_or_else(|| error.bare_reply(), |refuse| refuse(error, method));
        Reply {
            close: true,
            ..reply
        }
    }
}

/// An HTTP request whose whole body has arrived.
#[derive(Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Request target: path and query.
    pub uri: Uri,
    /// Header fields.
    pub headers: HeaderMap,
    /// Whole body, empty if there is none.
    pub body: Bytes,
}

impl Call {
    /// Returns the value of a header field, `None` if the field is missing or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the host from the request target or the `Host` header, without its port; empty if
    /// neither names one.
    pub fn host(&self) -> &str {
        let host = self
            .uri
            .host()
            .or_else(|| self.header("host"))
            .unwrap_or("");
        host.rsplit_once(':').map_or(host, |(name, _port)| name)
    }
}

/// The response to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Body. If it is not empty, the content type is JSON unless `headers` names another one.
    pub body: Bytes,
    /// Further headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
    /// Whether the server closes the connection after this response.
    pub close: bool,
}

impl Reply {
    /// Creates a response without a body that keeps the connection open.
    pub fn new(status: StatusCode) -> Self {
        Self {
            status,
            body: Bytes::new(),
            headers: Vec::new(),
            retry_after: None,
            close: false,
        }
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body<B>(mut self, body: B) -> Self
    where
        B: Into<Bytes>,
    {
        self.body = body.into();
        self
    }

    /// Adds a header. A value that is not visible ASCII is left out.
    #[must_use]
    pub fn with_header(mut self, name: HeaderName, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.push((name, value));
        }
        self
    }

    fn into_response(self) -> http::Response<Full<Bytes>> {
        let is_json = !self.body.is_empty()
            && !self
                .headers
                .iter()
                .any(|(name, _value)| *name == CONTENT_TYPE);
        let mut response = http::Response::new(Full::new(self.body));
        *response.status_mut() = self.status;
        let fields = response.headers_mut();
        fields.extend(self.headers);
        let mut set = |name: HeaderName, value: HeaderValue| fields.insert(name, value);
        if is_json {
            set(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        if let Some(seconds) = self.retry_after {
            set(RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.close {
            set(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Returns the response as it is sent, for an answer that hyper does not send.
    pub(super) fn encode(self) -> Bytes {
        let length = self.body.len();
        let (head, body) = self.into_response().into_parts();
        let mut bytes =
            format!("HTTP/1.1 {}\r\ncontent-length: {length}\r\n", head.status).into_bytes();
        for (name, value) in &head.headers {
            bytes.extend_from_slice(name.as_str().as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value.as_bytes());
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body.into_inner().as_deref().unwrap_or_default());
        Bytes::from(bytes)
    }
}

/// Receiving side of a shutdown: a server and each of its connections hold a clone and learn from
/// it when to close.
#[derive(Debug, Clone)]
pub struct ShutdownSignal {
    requested: watch::Receiver<bool>,
    /// Never used to send: the channel closes when the server and all connections are gone.
    _alive_token: mpsc::Sender<Infallible>,
}

/// Sending side of a shutdown: closes a server and waits for its connections.
#[derive(Debug)]
pub struct ShutdownTrigger {
    trigger: watch::Sender<bool>,
    all_dropped: mpsc::Receiver<Infallible>,
}

impl ShutdownTrigger {
    /// Stops accepting connections, closes those without a request at once and the others after
    /// their response, and waits until all are closed.
    pub async fn close(&mut self) {
        self.trigger.send_replace(true);
        // Nothing is ever sent on this channel: `recv` returns when the last sender, held by the
        // last connection, is dropped.
        let _none = self.all_dropped.recv().await;
    }
}

/// Creates the two sides of a server's shutdown; the signal goes to [`serve_until_shutdown`].
pub fn shutdown_pair() -> (ShutdownTrigger, ShutdownSignal) {
    let (trigger, requested) = watch::channel(false);
    let (alive_token, all_dropped) = mpsc::channel(1);
    let shutdown = ShutdownSignal {
        requested,
        _alive_token: alive_token,
    };
    (
        ShutdownTrigger {
            trigger,
            all_dropped,
        },
        shutdown,
    )
}

impl ShutdownSignal {
    /// Waits until the shutdown is requested. If the trigger was dropped without a request, the
    /// server runs for ever.
    async fn wait_for_shutdown(&mut self) {
        if self
            .requested
            .wait_for(|requested| *requested)
            .await
            .is_err()
        {
            std::future::pending::<()>().await;
        }
    }
}

/// Accepts connections and answers their requests with `handle`; `limits` is called for each new
/// connection. If a caller disconnects before its response, the future that `handle` returned is
/// dropped. The number of connections is not limited.
pub async fn serve<L, H, F>(listener: TcpListener, limits: L, handle: H)
where
    L: Fn() -> Limits,
    H: Fn(Call) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let (_trigger, shutdown) = shutdown_pair();
    serve_until_shutdown(
        ConnectionLimiter::unlimited(),
        listener,
        limits,
        handle,
        shutdown,
    )
    .await;
}

/// Does the same as [`serve`] within the limits of a limiter, with small buffers of the kernel.
pub async fn serve_within<L, H, F>(
    limiter: ConnectionLimiter,
    listener: TcpListener,
    limits: L,
    handle: H,
) where
    L: Fn() -> Limits,
    H: Fn(Call) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    connection_limiter::limit_kernel_buffers(&listener);
    let (_trigger, shutdown) = shutdown_pair();
    serve_until_shutdown(limiter, listener, limits, handle, shutdown).await;
}

/// Does the same as [`serve_within`] until a shutdown is requested. The caller limits the kernel's
/// buffers.
pub async fn serve_until_shutdown<L, H, F>(
    limiter: ConnectionLimiter,
    listener: TcpListener,
    limits: L,
    handle: H,
    shutdown: ShutdownSignal,
) where
    L: Fn() -> Limits,
    H: Fn(Call) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let options = Options::default();
    let answer = move |call| {
        let reply = handle(call);
        async move { Some(reply.await) }
    };
    serve_with_options(options, limiter, listener, limits, answer, shutdown).await;
}

/// Does the same as [`serve_until_shutdown`] with other options than the default. If there is no
/// reply to a call, its connection is closed without a response.
pub async fn serve_with_options<L, H, F>(
    options: Options,
    limiter: ConnectionLimiter,
    listener: TcpListener,
    limits: L,
    handle: H,
    mut shutdown: ShutdownSignal,
) where
    L: Fn() -> Limits,
    H: Fn(Call) -> F + 'static,
    F: Future<Output = Option<Reply>> + 'static,
{
    let handle = Rc::new(handle);
    let refused_connections = Arc::new(Semaphore::new(MAX_REFUSED_CONNECTIONS));
    let mut slow_body_ticks = tokio::time::interval(SLOW_BODY_INTERVAL);
    slow_body_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        limiter.yield_if_full().await;
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _tick = slow_body_ticks.tick() => {
                limiter.close_slow_bodies();
                continue;
            }
            () = shutdown.wait_for_shutdown() => return,
        };
        match accepted {
            Ok((stream, from)) => {
                if let Some((permit, must_close)) = limiter.admit(from.ip()) {
                    let connection = Connection {
                        options,
                        limits: limits(),
                        permit,
                        must_close,
                    };
                    spawn_local(connection.serve(stream, Rc::clone(&handle), shutdown.clone()));
                } else if let Ok(place) = Arc::clone(&refused_connections).try_acquire_owned() {
                    let error = RequestError::NoRoom(limiter.retry_after());
                    spawn_local(refuse_connection(stream, options, limits(), error, place));
                }
            }
            Err(error) => {
                log::warn!("http: Cannot accept a connection. error={error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Refuses the first request on a connection above the limit, without reading its body.
async fn refuse_connection(
    stream: TcpStream,
    options: Options,
    limits: Limits,
    error: RequestError,
    _place: OwnedSemaphorePermit,
) {
    let was_refused = Rc::new(Cell::new(true));
    let stream = Stream::new(stream, options, limits, was_refused);
    let refuse = |request: http::Request<Incoming>| {
        let reply = options.refusal(error, Some(request.method()));
        async move { Ok::<_, Infallible>(reply.into_response()) }
    };
    let connection = http1::Builder::new()
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service_fn(refuse));
    if !matches!(timeout(REFUSAL_TIMEOUT, connection).await, Ok(Ok(()))) {
        log::debug!("http: A connection above the limit ended without its refusal.");
    }
}

/// A handler gave no reply, so that the connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the handler gave no reply")]
struct NoReply;

/// A connection that a server has admitted.
struct Connection {
    options: Options,
    limits: Limits,
    permit: ConnectionPermit,
    must_close: oneshot::Receiver<()>,
}

impl Connection {
    async fn serve<H, F>(self, stream: TcpStream, handle: Rc<H>, mut shutdown: ShutdownSignal)
    where
        H: Fn(Call) -> F + 'static,
        F: Future<Output = Option<Reply>> + 'static,
    {
        let Self {
            options,
            limits,
            permit,
            must_close,
        } = self;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("http: Cannot set TCP_NODELAY. error={error}");
        }
        let permit = Rc::new(permit);
        let was_refused = Rc::new(Cell::new(false));
        let max_head_bytes = limits.head_bytes.max(MIN_HEAD_BUFFER_BYTES);
        let stream = Stream::new(stream, options, limits, Rc::clone(&was_refused));
        let answer = move |request: http::Request<Incoming>| {
            let (handle, permit) = (Rc::clone(&handle), Rc::clone(&permit));
            let was_refused = Rc::clone(&was_refused);
            async move {
                let method = request.method().clone();
                let reply = match read_request(request, limits, options, &permit).await {
                    Ok(call) => {
                        let reply = handle(call).await;
                        permit.end_answer();
                        reply.ok_or(NoReply)?
                    }
                    Err(error) => {
                        was_refused.set(true);
                        options.refusal(error, Some(&method))
                    }
                };
                Ok::<_, NoReply>(reply.into_response())
            }
        };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.head_timeout)
            .max_buf_size(max_head_bytes)
            .serve_connection(TokioIo::new(stream), service_fn(answer));
        let mut connection = pin!(connection);
        let served = tokio::select! {
            biased;
            // The limiter closes a connection only while no request of it is whole.
            Ok(()) = must_close => return,
            served = connection.as_mut() => served,
            () = shutdown.wait_for_shutdown() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = served {
            log::debug!("http: A connection ended. error={error}");
        }
    }
}

/// Waits until the event loop has polled all connections once more. If the caller of a handler that
/// awaits this function has already disconnected, the handler's future is dropped here.
///
/// `yield_now` in the handler itself is not enough: a connection polls its handler several times in
/// a row, so the second poll would end the yield before the event loop has read from any socket.
pub async fn yield_to_connections() {
    if let Err(error) = spawn_local(tokio::task::yield_now()).await {
        log::error!("http: A task that only yields failed. error={error}");
    }
}

/// Reads a request to its end.
///
/// # Errors
/// Fails if the request is not whole, above the limits, or there is no room for its body.
async fn read_request(
    request: http::Request<Incoming>,
    limits: Limits,
    options: Options,
    permit: &ConnectionPermit,
) -> Result<Call, RequestError> {
    let (head, body) = request.into_parts();
    let head_bytes: usize = head
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    if head_bytes > limits.head_bytes {
        return Err(RequestError::HeadTooLarge(limits.head_bytes));
    }
    let body = if body.is_end_stream() {
        Vec::new()
    } else {
        let body = read_body(body, limits.body_bytes, permit);
        match options.body_timeout {
            Some(time) => timeout(time, body)
                .await
                .map_err(|_elapsed| RequestError::TooSlow(time))??,
            None => body.await?,
        }
    };
    let body = permit
        .begin_answer(body)
        .map_err(|_refused| RequestError::NoRoom(permit.retry_after()))?;
    Ok(Call {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    })
}

/// Copies the chunks of a body into one buffer, which grows as they arrive and is charged to the
/// budget of the limiter by its capacity. A chunk itself would keep a whole read buffer.
async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    permit: &ConnectionPermit,
) -> Result<Vec<u8>, RequestError> {
    let no_room = |_refused| RequestError::NoRoom(permit.retry_after());
    permit.begin_body().map_err(no_room)?;
    // The upper bound is the declared length, if there is one.
    let declared = body.size_hint().upper();
    if declared.is_some_and(|bytes| bytes > max_bytes as u64) {
        return Err(RequestError::BodyTooLarge(max_bytes));
    }
    let most = declared.map_or(max_bytes, |bytes| bytes as usize);
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            log::debug!("http: The connection ended before the whole body arrived. error={error}");
            RequestError::Truncated
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = buffer.len() + data.len();
        if length > max_bytes {
            return Err(RequestError::BodyTooLarge(max_bytes));
        }
        let capacity = if length <= buffer.capacity() {
            buffer.capacity()
        } else if body.is_end_stream() {
            length
        } else {
            length
                .max(2 * buffer.capacity())
                .max(MIN_BODY_CAPACITY)
                .min(most.max(length))
        };
        permit.receive(data.len(), capacity).map_err(no_room)?;
        buffer.reserve_exact(capacity - buffer.len());
        buffer.extend_from_slice(&data);
    }
    Ok(buffer)
}
