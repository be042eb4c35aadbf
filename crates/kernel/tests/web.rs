//! The HTTP server with callers that disconnected while the process was paused, and the client with
//! servers that refuse connections.

use std::cell::Cell;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use ibisspool_kernel::spool::{INTERNAL_HTTP_LIMITS, block_on};
use ibisspool_kernel::web::{self, Client, Error, Reply};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

const REQUEST: &[u8] = b"POST /jobs/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";

/// Callers that send a request and disconnect before the server reads anything.
const CALLERS: usize = 20;

#[test]
fn handler_of_a_caller_that_disconnected_before_its_request_was_read_is_dropped() {
    let handled_requests = Rc::new(Cell::new(0));
    let handled = Rc::clone(&handled_requests);

    block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        for _ in 0..CALLERS {
            let mut caller = TcpStream::connect(address)?;
            caller.write_all(REQUEST)?;
            caller.shutdown(Shutdown::Both)?;
        }
        let answer = move |_call| {
            let handled = Rc::clone(&handled);
            async move {
                web::yield_to_connections().await;
                handled.set(handled.get() + 1);
                std::future::pending::<()>().await;
                Reply::new(StatusCode::OK)
            }
        };
        spawn_local(web::serve(listener, || INTERNAL_HTTP_LIMITS, answer));
        tokio::time::sleep(Duration::from_millis(100)).await;
        Ok(())
    })
    .expect("the server runs");

    assert_eq!(handled_requests.get(), 0);
}

const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

async fn get_root(client: &Client) -> Result<web::Response, Error> {
    let call = client.call(
        Method::GET,
        "/",
        HeaderMap::new(),
        Bytes::new(),
        ANSWER_TIMEOUT,
    );
    call.await
}

/// Returns the error of a call whose connection is refused because the listener is closed. Another
/// call of the same client is in flight; its connection is closed first, unless
/// `other_connection_is_open`.
async fn error_of_refused_connection_during_another_call(
    other_connection_is_open: bool,
) -> anyhow::Result<Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let client = Rc::new(Client::new(address));
    let waiting = Rc::clone(&client);
    spawn_local(async move {
        let _answer = get_root(&waiting).await;
    });
    let (other_connection, _from) = listener.accept().await?;
    drop(listener);
    if !other_connection_is_open {
        drop(other_connection);
        tokio::time::sleep(Duration::from_millis(50)).await;
        return Ok(get_root(&client).await.expect_err("nobody listens"));
    }
    let refused = get_root(&client).await.expect_err("nobody listens");
    drop(other_connection);
    Ok(refused)
}

#[test]
fn refused_connection_reports_a_stopped_server_only_if_no_other_connection_is_open() {
    let error_of_busy_server = block_on(error_of_refused_connection_during_another_call(true))
        .expect("the calls are made");
    let error_of_stopped_server = block_on(error_of_refused_connection_during_another_call(false))
        .expect("the calls are made");

    assert!(
        matches!(error_of_busy_server, Error::Unreachable(_)),
        "{error_of_busy_server}"
    );
    assert!(
        matches!(error_of_stopped_server, Error::NotListening(_)),
        "{error_of_stopped_server}"
    );
}
