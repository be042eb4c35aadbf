//! Connections of agents and other entries. Those that have not called anything yet are limited, so
//! that connections of nobody's take no descriptors from known peers.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use ibisspool_kernel::connection_limiter::{ConnectionLimiter, ConnectionPermit};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tonic::Request;
use tonic::transport::server::Connected;

/// Connection of a peer.
#[derive(Debug)]
pub struct PeerStream {
    inner: TcpStream,
    mark: PeerMark,
    /// Resolves when the connection has to be closed; `None` once it never has to be.
    must_close: Option<oneshot::Receiver<()>>,
}

/// Marks the connection of a request as that of a known peer. Clones share it.
#[derive(Debug, Clone)]
pub struct PeerMark {
    /// Place among the connections of unknown peers.
    permit: Arc<Mutex<Option<ConnectionPermit>>>,
}

impl PeerStream {
    /// Wraps a connection that was accepted. Returns `None` if too many unknown peers are connected.
    pub fn admit(inner: TcpStream, limiter: &ConnectionLimiter) -> Option<Self> {
        let address = inner.peer_addr().ok()?;
        let (permit, must_close) = limiter.admit(address.ip())?;
        if let Err(error) = inner.set_nodelay(true) {
            log::debug!("peers: Cannot set TCP_NODELAY: {error}.");
        }
        let permit = Arc::new(Mutex::new(Some(permit)));
        Some(Self {
            inner,
            mark: PeerMark { permit },
            must_close: Some(must_close),
        })
    }

    fn has_to_close(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(must_close) = &mut self.must_close else {
            return false;
        };
        match Pin::new(must_close).poll(cx) {
            Poll::Ready(Ok(())) => true,
            Poll::Ready(Err(_known)) => {
                self.must_close = None;
                false
            }
            Poll::Pending => false,
        }
    }
}

/// Records that the peer that sent a request is known, so that its connection is not limited any more.
pub fn mark_known<T>(request: &Request<T>) {
    if let Some(mark) = request.extensions().get::<PeerMark>() {
        let permit = mark.permit.lock();
        permit.unwrap_or_else(PoisonError::into_inner).take();
    }
}

impl Connected for PeerStream {
    type ConnectInfo = PeerMark;

    fn connect_info(&self) -> PeerMark {
        self.mark.clone()
    }
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if self.has_to_close(cx) {
            let error = "too many connections of unknown peers";
            return Poll::Ready(Err(Error::new(ErrorKind::ConnectionAborted, error)));
        }
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
