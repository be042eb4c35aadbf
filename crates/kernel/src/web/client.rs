//! An HTTP/1.1 client for one address.

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

/// Longest time for a new connection: several round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Most bytes of an answer.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why a call got no answer.
#[derive(Debug, Error)]
pub enum Error {
    /// Nobody listens at the address, and no connection to it is left.
    #[error("nobody listens at {0}; check that the server runs")]
    Refused(SocketAddr),
    /// No connection could be made; the call was not sent.
    #[error("no connection to {0}; check the network between the VMs")]
    Unreachable(SocketAddr),
    /// No answer came in time or the connection broke; the call may have been carried out.
    #[error("no answer from {0}; the call may have been carried out")]
    Silent(SocketAddr),
}

/// An answer.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// A client that keeps its connections open between calls.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
    /// Connections that the server has not ended.
    open_connections: Rc<Cell<usize>>,
}

impl Client {
    /// Makes a client for an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::default(),
            open_connections: Rc::default(),
        }
    }

    /// Sends a request and waits for its answer. A connection that broke or whose answer is
    /// late is closed and not used again.
    ///
    /// # Errors
    /// Fails if no answer arrives within `patience`.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        answer_timeout: Duration,
    ) -> Result<Response, Error> {
        let mut sender = self.take_or_open_connection().await?;
        let request = self.build_request(method, path, headers, body);
        let exchange = async {
            let response = sender.send_request(request).await.ok()?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
            let body = body.collect().await.ok()?.to_bytes();
            Some(Response { status, body })
        };
        match timeout(answer_timeout, exchange).await {
            Ok(Some(response)) => {
                self.idle.borrow_mut().push(sender);
                Ok(response)
            }
            Ok(None) | Err(_) => Err(Error::Silent(self.address)),
        }
    }

    fn build_request(
        &self,
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
                log::error!("http: A path of ours is malformed. path={path} error={error}");
            }
        }
        let fields = request.headers_mut();
        if let Ok(host) = self.address.to_string().parse() {
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

    /// Returns an open connection, a new one if none is idle.
    async fn take_or_open_connection(&self) -> Result<SendRequest<Full<Bytes>>, Error> {
        loop {
            let Some(mut sender) = self.idle.borrow_mut().pop() else {
                break;
            };
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => stream,
            // A server that holds connections of ours is there and only takes no more.
            Ok(Err(error))
                if error.kind() == ErrorKind::ConnectionRefused
                    && self.open_connections.get() == 0 =>
            {
                return Err(Error::Refused(self.address));
            }
            Ok(Err(_)) | Err(_) => return Err(Error::Unreachable(self.address)),
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("http: Cannot switch off delays. error={error}");
        }
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| {
            log::debug!("http: A new connection ended. error={error}");
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
        Ok(sender)
    }
}
