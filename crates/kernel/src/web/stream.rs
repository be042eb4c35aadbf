//! The connection under an HTTP server: bounds the time of a write, replaces hyper's answers to
//! malformed heads, and lets a caller read its refusal before the connection is closed.

use std::cell::Cell;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes};
use http::StatusCode;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use super::server::{Limits, Options, RequestError};

/// Longest time for which a refused caller may go on sending until its connection is closed. A
/// connection that is closed with unread bytes is reset, and the refusal may be lost.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Most bytes that are read at once from a refused caller, to be discarded.
const DISCARD_BYTES: usize = 4 << 10;

/// Header lines that hyper accepts in one request.
const MAX_HEADER_LINES: usize = 100;

/// A connection of an HTTP server.
#[derive(Debug)]
pub(super) struct Stream {
    inner: TcpStream,
    options: Options,
    limits: Limits,
    /// Whether a request on the connection was refused before it was read to its end.
    was_refused: Rc<Cell<bool>>,
    head: HeadSize,
    /// Rest of an answer that replaces one of hyper.
    replacement: Bytes,
    write_timer: Option<Pin<Box<Sleep>>>,
    linger_timer: Option<Pin<Box<Sleep>>>,
}

/// What was received since the last answer.
#[derive(Debug, Clone, Copy, Default)]
struct HeadSize {
    bytes: usize,
    lines: usize,
}

impl Stream {
    /// Wraps a connection. The server sets `was_refused` when it refuses a request.
    pub(super) fn new(
        inner: TcpStream,
        options: Options,
        limits: Limits,
        was_refused: Rc<Cell<bool>>,
    ) -> Self {
        Self {
            inner,
            options,
            limits,
            was_refused,
            head: HeadSize::default(),
            replacement: Bytes::new(),
            write_timer: None,
            linger_timer: None,
        }
    }

    /// Fails once a write has been pending for as long as allowed.
    fn check_write_time<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<Result<T>>,
    ) -> Poll<Result<T>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let Some(timeout) = self.options.write_timeout else {
            return Poll::Pending;
        };
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep(timeout)));
        ready!(timer.as_mut().poll(cx));
        let error = "the caller does not read its answer";
        Poll::Ready(Err(Error::new(ErrorKind::TimedOut, error)))
    }

    /// If these bytes are an answer that hyper gives by itself, stores the one to send in its place
    /// and returns whether it did.
    fn replace(&mut self, answer: &[u8]) -> bool {
        let head = std::mem::take(&mut self.head);
        let Some(status) = status_of_bare_answer(answer) else {
            return false;
        };
        self.was_refused.set(true);
        if self.options.refuse.is_none() {
            return false;
        }
        let Limits {
            head_bytes,
            body_bytes,
            ..
        } = self.limits;
        let error = match status {
            StatusCode::BAD_REQUEST => RequestError::Malformed,
            // A head of few lines and bytes that is too large for hyper has a too large length.
            _ if head.bytes < head_bytes && head.lines <= MAX_HEADER_LINES => {
                RequestError::BodyTooLarge(body_bytes)
            }
            _ => RequestError::HeadTooLarge(head_bytes),
        };
        self.replacement = self.options.refusal(error, None).encode();
        true
    }

    /// Writes the rest of the answer that replaces one of hyper.
    fn poll_write_replacement(&mut self, cx: &mut Context<'_>) -> Poll<Result<()>> {
        while self.replacement.has_remaining() {
            let written = Pin::new(&mut self.inner).poll_write(cx, &self.replacement);
            let count = ready!(self.check_write_time(cx, written))?;
            self.replacement.advance(count);
        }
        Poll::Ready(Ok(()))
    }

    /// Reads and discards what a refused caller still sends, until it closes the connection or has
    /// had time to read the refusal.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timer = self
            .linger_timer
            .get_or_insert_with(|| Box::pin(sleep(LINGER_TIME)));
        if timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut discarded = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut discarded);
            match ready!(Pin::new(&mut self.inner).poll_read(cx, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {}
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
        }
    }
}

/// Returns the status of an answer without a body that refuses a head and closes the connection, as
/// hyper sends it by itself; `None` for any other answer.
fn status_of_bare_answer(answer: &[u8]) -> Option<StatusCode> {
    let code = answer.strip_prefix(b"HTTP/1.1 ")?.get(..3)?;
    let status = StatusCode::from_bytes(code).ok()?;
    let is_refusal = matches!(
        status,
        StatusCode::BAD_REQUEST
            | StatusCode::URI_TOO_LONG
            | StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
    );
    let has_line = |wanted: &[u8]| {
        let mut lines = answer.split(|byte| *byte == b'\n');
        lines.any(|line| line.eq_ignore_ascii_case(wanted))
    };
    let is_bare =
        is_refusal && has_line(b"content-length: 0\r") && has_line(b"connection: close\r");
    is_bare.then_some(status)
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let received = &buf.filled()[before..];
        // Only the size of a head matters, so that the bytes of a long body are not looked at.
        if self.head.bytes <= self.limits.head_bytes {
            self.head.lines += received.split(|byte| *byte == b'\n').count() - 1;
        }
        self.head.bytes += received.len();
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        ready!(self.poll_write_replacement(cx))?;
        if self.replace(buf) {
            return Poll::Ready(Ok(buf.len()));
        }
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.check_write_time(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        ready!(self.poll_write_replacement(cx))?;
        if let Some(first) = bufs.iter().find(|slice| !slice.is_empty())
            && self.replace(first)
        {
            return Poll::Ready(Ok(first.len()));
        }
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.check_write_time(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(self.poll_write_replacement(cx))?;
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(self.poll_write_replacement(cx))?;
        if self.linger_timer.is_none() {
            ready!(Pin::new(&mut self.inner).poll_shutdown(cx))?;
        }
        if self.was_refused.get() {
            ready!(self.poll_linger(cx));
        }
        Poll::Ready(Ok(()))
    }
}
