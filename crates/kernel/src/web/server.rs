//! Serves HTTP/1.1 connections on the thread that calls it.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Method, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

/// Least buffer that the library allows for a request's head.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Bounds on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time until a request's head has arrived, counted from the one before.
    pub head_timeout: Duration,
}

/// A request that has arrived whole.
#[derive(Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Target.
    pub uri: Uri,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// Returns a header field as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the host that the caller names, without a port.
    pub fn host(&self) -> &str {
        let host = self
            .uri
            .host()
            .or_else(|| self.header("host"))
            .unwrap_or("");
        host.rsplit_once(':').map_or(host, |(name, _port)| name)
    }
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Body, JSON if it is not empty.
    pub body: Bytes,
    /// Whole seconds after which it is worth coming back.
    pub retry_after: Option<u64>,
    /// Whether the connection ends after this answer.
    pub close: bool,
}

impl Reply {
    /// Makes an answer without a body.
    pub fn new(status: StatusCode) -> Self {
        Self {
            status,
            body: Bytes::new(),
            retry_after: None,
            close: false,
        }
    }

    /// Adds a body.
    #[must_use]
    pub fn with_body<B>(mut self, body: B) -> Self
    where
        B: Into<Bytes>,
    {
        self.body = body.into();
        self
    }

    fn into_response(self) -> http::Response<Full<Bytes>> {
        let is_json = !self.body.is_empty();
        let mut response = http::Response::new(Full::new(self.body));
        *response.status_mut() = self.status;
        let fields = response.headers_mut();
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
}

/// Tells a server's connections when to close.
#[derive(Debug, Clone)]
pub struct ShutdownSignal {
    requested: watch::Receiver<bool>,
    /// Clones held by connections keep this channel open.
    _alive: mpsc::Sender<Infallible>,
}

/// Closes a server's connections.
#[derive(Debug)]
pub struct ShutdownTrigger {
    request_shutdown: watch::Sender<bool>,
    connections_alive: mpsc::Receiver<Infallible>,
}

impl ShutdownTrigger {
    /// Takes no more connections, closes those without a request, the others after their answer,
    /// and waits until all are closed.
    pub async fn close(&mut self) {
        self.request_shutdown.send_replace(true);
        // No message is ever sent: this ends when the last connection is closed.
        let _all_dropped = self.connections_alive.recv().await;
    }
}

/// Makes a closer, and what the server that it closes needs.
pub fn shutdown_pair() -> (ShutdownTrigger, ShutdownSignal) {
    let (request_shutdown, requested) = watch::channel(false);
    let (connection_alive, connections_alive) = mpsc::channel(1);
    let shutdown = ShutdownSignal {
        requested,
        _alive: connection_alive,
    };
    (
        ShutdownTrigger {
            request_shutdown,
            connections_alive,
        },
        shutdown,
    )
}

impl ShutdownSignal {
    /// Waits until the connections are to close; for ever if nobody is left to ask.
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

/// Accepts connections and answers their requests with `handle`. If a caller ends its connection
/// while it waits, the future of its answer is dropped.
pub async fn serve<L, H, F>(listener: TcpListener, limits: L, handle: H)
where
    L: Fn() -> Limits,
    H: Fn(Call) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let (_trigger, shutdown) = shutdown_pair();
    serve_until_shutdown(listener, limits, handle, shutdown).await;
}

/// Does as [`serve`] until the connections are to close.
pub async fn serve_until_shutdown<L, H, F>(
    listener: TcpListener,
    limits: L,
    handle: H,
    mut shutdown: ShutdownSignal,
) where
    L: Fn() -> Limits,
    H: Fn(Call) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let handle = Rc::new(handle);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.wait_for_shutdown() => return,
        };
        match accepted {
            Ok((stream, _from)) => {
                let connection =
                    serve_connection(stream, limits(), Rc::clone(&handle), shutdown.clone());
                spawn_local(connection);
            }
            Err(error) => {
                log::warn!("http: Cannot accept a connection. error={error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: Limits,
    handle: Rc<H>,
    mut shutdown: ShutdownSignal,
) where
    H: Fn(Call) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("http: Cannot switch off delays. error={error}");
    }
    let answer = move |request: http::Request<Incoming>| {
        let handle = Rc::clone(&handle);
        async move {
            let reply = match read_request(request, limits).await {
                Ok(call) => handle(call).await,
                Err(status) => Reply {
                    close: true,
                    ..Reply::new(status)
                },
            };
            Ok::<_, Infallible>(reply.into_response())
        }
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service_fn(answer));
    let mut connection = pin!(connection);
    let served = tokio::select! {
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

/// Waits until the event loop has looked at all connections once more, so that a handler learns
/// whether its caller has left already: its future is dropped then.
///
/// A yield alone does not do: a connection polls its handler several times in a row, and the second
/// poll ends the yield before the loop has looked at anything.
pub async fn yield_to_connections() {
    if let Err(error) = spawn_local(tokio::task::yield_now()).await {
        log::error!("http: A yield failed. error={error}");
    }
}

async fn read_request(
    request: http::Request<Incoming>,
    limits: Limits,
) -> Result<Call, StatusCode> {
    let (head, body) = request.into_parts();
    let head_bytes: usize = head
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    if head_bytes > limits.head_bytes {
        return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    }
    let body = Limited::new(body, limits.body_bytes);
    let body = body.collect().await.map_err(|error| {
        if error.is::<http_body_util::LengthLimitError>() {
            StatusCode::PAYLOAD_TOO_LARGE
        } else {
            log::debug!("http: A body ended early. error={error}");
            StatusCode::BAD_REQUEST
        }
    })?;
    Ok(Call {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body: body.to_bytes(),
    })
}
