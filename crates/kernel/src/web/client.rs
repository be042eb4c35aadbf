//! An HTTP/1.1 client for one server, with reused connections.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Time limit for opening a connection: several round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest accepted response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why a call got no response.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection was refused and this client has no other connection to the server. The request
    /// was not sent; the server may run all the same.
    #[error("nobody listens at {0}; check that the server runs")]
    NotListening(SocketAddr),
    /// No connection could be opened, so the request was not sent.
    #[error("no connection to {0}; check the network between the VMs")]
    Unreachable(SocketAddr),
    /// The connection broke or timed out before the whole response arrived. The server may have
    /// carried out the request.
    #[error("no answer from {0}; the call may have been carried out")]
    NoAnswer(SocketAddr),
}

/// The response of a server.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Whole body, at most 16 MiB.
    pub body: Bytes,
}

/// An open connection to a server, for one call at a time. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    process: Option<u64>,
}

impl Connection {
    /// Sets which process of the server is at the other end, as its answers have told. The number is
    /// the caller's own.
    #[must_use]
    pub fn with_process(mut self, process: u64) -> Self {
        self.process = Some(process);
        self
    }

    /// Returns which process of the server is at the other end, `None` if no answer has told it. A
    /// connection ends with the process that accepted it, so that no later process can get a
    /// request over it.
    pub fn process(&self) -> Option<u64> {
        self.process
    }

    /// Sends a request and waits for its response, which is returned with the connection. After a
    /// failure or timeout the connection is closed, since a late response would be taken for that of
    /// the next request.
    ///
    /// # Errors
    /// Fails if the response is not whole within `answer_timeout`.
    pub async fn call(
        mut self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        answer_timeout: Duration,
    ) -> Result<(Response, Self), Error> {
        let request = build_request(self.address, method, path, headers, body);
        let exchange = async {
            let response = self.sender.send_request(request).await.ok()?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
            let body = body.collect().await.ok()?.to_bytes();
            Some(Response { status, body })
        };
        match timeout(answer_timeout, exchange).await {
            Ok(Some(response)) => Ok((response, self)),
            Ok(None) | Err(_) => Err(Error::NoAnswer(self.address)),
        }
    }
}

/// HTTP client of one server. It opens a connection for each call in flight and keeps the
/// connections for later calls.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    idle_connections: RefCell<Vec<Connection>>,
    /// Number of connections that neither side has closed.
    open_connections: Rc<Cell<usize>>,
}

impl Client {
    /// Creates a client without connections for the server at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle_connections: RefCell::default(),
            open_connections: Rc::default(),
        }
    }

    /// Sends a request and waits for its response. After a failure or timeout the connection is
    /// closed, since a late response would be taken for that of the next request.
    ///
    /// # Errors
    /// Fails if no connection can be opened, or if the response is not whole within
    /// `answer_timeout` of sending the request.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        answer_timeout: Duration,
    ) -> Result<Response, Error> {
        let connection = self.connect().await?;
        let (response, connection) = connection
            .call(method, path, headers, body, answer_timeout)
            .await?;
        self.release(connection);
        Ok(response)
    }

    /// Keeps a connection for later calls.
    pub fn release(&self, connection: Connection) {
        self.idle_connections.borrow_mut().push(connection);
    }

    /// Returns an idle connection that is still open, or a new one.
    ///
    /// # Errors
    /// Fails if no connection can be opened.
    pub async fn connect(&self) -> Result<Connection, Error> {
        match self.take_idle(|_connection| true).await {
            Some(connection) => Ok(connection),
            None => self.open().await,
        }
    }

    /// Returns the idle connection that was used last of those for which `is_suitable` holds and that
    /// are still open.
    pub async fn take_idle<F>(&self, is_suitable: F) -> Option<Connection>
    where
        F: Fn(&Connection) -> bool,
    {
        loop {
            let mut connection = {
                let mut idle = self.idle_connections.borrow_mut();
                idle.retain(|connection| !connection.sender.is_closed());
                let position = idle.iter().rposition(&is_suitable)?;
                idle.remove(position)
            };
            if connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }

    async fn open(&self) -> Result<Connection, Error> {
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => stream,
            // A server with open connections of this client is running and refuses only new ones.
            Ok(Err(error))
                if error.kind() == ErrorKind::ConnectionRefused
                    && self.open_connections.get() == 0 =>
            {
                return Err(Error::NotListening(self.address));
            }
            Ok(Err(_)) | Err(_) => return Err(Error::Unreachable(self.address)),
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("http: Cannot set TCP_NODELAY. error={error}");
        }
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| {
            log::debug!("http: The handshake on a new connection failed. error={error}");
            Error::Unreachable(self.address)
        })?;
        let open_connections = Rc::clone(&self.open_connections);
        open_connections.set(open_connections.get() + 1);
        spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("http: A connection ended. error={error}");
            }
            open_connections.set(open_connections.get() - 1);
        });
        Ok(Connection {
            address: self.address,
            sender,
            process: None,
        })
    }
}

fn build_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: HeaderMap,
    body: Bytes,
) -> http::Request<Full<Bytes>> {
    let has_body = !body.is_empty();
    let mut request = http::Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.headers_mut() = headers;
    match path.parse() {
        Ok(uri) => *request.uri_mut() = uri,
        Err(error) => {
            log::error!(
                "http: A request path of this program is malformed. path={path} error={error}"
            );
        }
    }
    let fields = request.headers_mut();
    if let Ok(host) = address.to_string().parse() {
        fields.insert(HOST, host);
    }
    if has_body {
        fields.insert(
            CONTENT_TYPE,
            http::HeaderValue::from_static("application/json"),
        );
    }
    request
}
