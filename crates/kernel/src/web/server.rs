//! Serves HTTP/1.1 connections on the calling thread's event loop.

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

/// Smallest buffer that hyper allows for the head of a request (request line and headers).
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// Delay after a failed accept, so that the loop does not spin while file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

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
    /// Body. If it is not empty, the content type is JSON.
    pub body: Bytes,
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
/// dropped.
pub async fn serve<L, H, F>(listener: TcpListener, limits: L, handle: H)
where
    L: Fn() -> Limits,
    H: Fn(Call) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let (_trigger, shutdown) = shutdown_pair();
    serve_until_shutdown(listener, limits, handle, shutdown).await;
}

/// Does the same as [`serve`] until a shutdown is requested.
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
        log::debug!("http: Cannot set TCP_NODELAY. error={error}");
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
            log::debug!("http: The connection ended before the whole body arrived. error={error}");
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
