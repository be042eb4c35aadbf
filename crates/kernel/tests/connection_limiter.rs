//! The HTTP server within the limits of a limiter: what it refuses was not handled, and callers inside
//! the limits are served.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use http::StatusCode;
use ibisspool_core::connection_budget::Limits;
use ibisspool_kernel::connection_limiter::{ConnectionLimiter, ConnectionMetrics};
use ibisspool_kernel::metrics::Metrics;
use ibisspool_kernel::spool::{INTERNAL_HTTP_LIMITS, block_on};
use ibisspool_kernel::web::{self, Call, Reply};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

const BUDGET: usize = 1 << 20;

const LIMITS: Limits = Limits {
    body_bytes: BUDGET,
    connections: 4,
    min_body_rate: 64,
};

/// Longest wait for an answer or the end of a connection, so that a fault fails the test instead of
/// blocking it.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A server that counts the requests it handles, and never answers those to `/hold`.
struct Server {
    address: SocketAddr,
    handled: Rc<Cell<usize>>,
    metrics: Metrics,
}

impl Server {
    async fn start(limits: Limits) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let handled = Rc::new(Cell::new(0));
        let counter = Rc::clone(&handled);
        let answer = move |call: Call| {
            counter.set(counter.get() + 1);
            async move {
                if call.uri.path() == "/hold" {
                    std::future::pending::<()>().await;
                }
                Reply::new(StatusCode::OK).with_body(call.body.len().to_string())
            }
        };
        let metrics = Metrics::new();
        let limiter = ConnectionLimiter::new("test", limits, ConnectionMetrics::new(&metrics));
        spawn_local(web::serve_within(
            limiter,
            listener,
            || INTERNAL_HTTP_LIMITS,
            answer,
        ));
        Ok(Self {
            address,
            handled,
            metrics,
        })
    }

    /// Sends a head and so many bytes of its body.
    async fn send(&self, path: &str, declared: usize, sent: usize) -> Result<TcpStream> {
        let mut stream = TcpStream::connect(self.address).await?;
        let head = format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {declared}\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        // The server may close the connection meanwhile.
        let _closed = stream.write_all(&vec![b'x'; sent]).await;
        Ok(stream)
    }

    fn metric(&self, line: &str) -> bool {
        let text = String::from_utf8(self.metrics.encode_text()).unwrap_or_default();
        text.lines().any(|found| found == line)
    }
}

/// Reads an answer with a body of at most a few bytes, or what comes before the end.
async fn read(stream: &mut TcpStream) -> Result<String> {
    let mut answer = Vec::new();
    let mut chunk = [0; 1_024];
    while !answer.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        match tokio::time::timeout(TIMEOUT, stream.read(&mut chunk)).await? {
            Ok(0) | Err(_) => break,
            Ok(count) => answer.extend_from_slice(&chunk[..count]),
        }
    }
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Lets the server handle what has arrived.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(100)).await;
}

#[test]
fn a_single_request_within_its_limit_is_served_however_large() {
    let answer = block_on(async {
        let server = Server::start(LIMITS).await?;
        let largest = INTERNAL_HTTP_LIMITS.body_bytes;
        let mut caller = server.send("/", largest, largest).await?;
        read(&mut caller).await
    });

    let answer = answer.expect("the server runs");
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("4194304"),
        "{answer}"
    );
}

#[test]
fn a_slow_caller_is_served_beside_others() {
    let answer = block_on(async {
        let server = Server::start(LIMITS).await?;
        let mut slow = server.send("/", 10, 0).await?;
        for _byte in 0..10 {
            settle().await;
            slow.write_all(b"x").await?;
            let mut other = server.send("/", BUDGET / 4, BUDGET / 4).await?;
            read(&mut other).await?;
        }
        read(&mut slow).await
    });

    let answer = answer.expect("the server runs");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Returns whether a response names a retry delay within the range from which delays are drawn.
fn has_retry_delay(answer: &str) -> bool {
    let value = answer
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    value.is_some_and(|value| matches!(value.parse(), Ok(1..=4)))
}

#[test]
fn a_request_without_room_for_its_body_is_refused_and_not_handled() {
    block_on(async {
        let server = Server::start(LIMITS).await?;
        let _held = server.send("/hold", BUDGET - 10, BUDGET - 10).await?;
        settle().await;

        let mut refused = server.send("/", 1_000, 1_000).await?;
        let answer = read(&mut refused).await?;

        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(has_retry_delay(&answer), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
        assert_eq!(server.handled.get(), 1);
        assert!(server.metric(r#"ibisspool_refused_requests_total{reason="body_bytes"} 1"#));
        Ok(())
    })
    .expect("the server runs");
}

#[test]
fn a_refused_caller_that_goes_on_sending_reads_its_refusal() {
    const SENT_BYTES: usize = 1 << 20;
    let answer = block_on(async {
        let server = Server::start(LIMITS).await?;
        let too_large = INTERNAL_HTTP_LIMITS.body_bytes + 1;

        let mut refused = server.send("/", too_large, SENT_BYTES).await?;
        let answer = read(&mut refused).await?;

        assert_eq!(server.handled.get(), 0);
        Ok(answer)
    });

    let answer = answer.expect("the server runs");
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

#[test]
fn a_stalled_body_makes_room_and_is_not_handled() {
    block_on(async {
        let server = Server::start(LIMITS).await?;
        let mut stalled = server.send("/", BUDGET, BUDGET - 1).await?;
        settle().await;

        let mut other = server.send("/", BUDGET / 2, BUDGET / 2).await?;
        let answer = read(&mut other).await?;
        let _closed = stalled.write_all(b"x").await;
        let answer_to_stalled = read(&mut stalled).await?;
        drop(other);
        settle().await;

        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert_eq!(answer_to_stalled, "");
        assert_eq!(server.handled.get(), 1);
        assert!(server.metric(r#"ibisspool_closed_connections_total{reason="body_bytes"} 1"#));
        assert!(server.metric("ibisspool_body_bytes_in_flight 0"));
        assert!(server.metric("ibisspool_open_connections 0"));
        Ok(())
    })
    .expect("the server runs");
}

#[test]
fn a_connection_that_waits_for_its_answer_stays_when_all_places_are_taken() {
    block_on(async {
        let server = Server::start(LIMITS).await?;
        let mut waiting = Vec::new();
        for _connection in 0..LIMITS.connections {
            waiting.push(server.send("/hold", 1, 1).await?);
        }
        settle().await;

        let mut refused = server.send("/", 1, 1).await?;
        let answer = read(&mut refused).await?;

        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(has_retry_delay(&answer), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
        assert_eq!(server.handled.get(), LIMITS.connections);
        for stream in &waiting {
            let read = stream.try_read(&mut [0; 8]);
            assert_eq!(
                read.map_err(|error| error.kind()),
                Err(std::io::ErrorKind::WouldBlock)
            );
        }
        Ok(())
    })
    .expect("the server runs");
}
