//! The HTTP server against callers that left while the process stood still, and the client against
//! servers that take no connection.

use std::cell::Cell;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use ibisspool_kernel::spool::{OWN_LIMITS, block_on};
use ibisspool_kernel::web::{self, Client, Error, Reply};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

const REQUEST: &[u8] = b"POST /jobs/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";

/// Callers whose requests wait while the process stands still.
const CALLERS: usize = 20;

#[test]
fn a_caller_that_left_before_its_request_was_read_starts_nothing() {
    let started = Rc::new(Cell::new(0));
    let seen = Rc::clone(&started);

    block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        for _ in 0..CALLERS {
            let mut caller = TcpStream::connect(address)?;
            caller.write_all(REQUEST)?;
            caller.shutdown(Shutdown::Both)?;
        }
        let answer = move |_call| {
            let seen = Rc::clone(&seen);
            async move {
                web::yield_to_connections().await;
                seen.set(seen.get() + 1);
                std::future::pending::<()>().await;
                Reply::new(StatusCode::OK)
            }
        };
        spawn_local(web::serve(listener, || OWN_LIMITS, answer));
        tokio::time::sleep(Duration::from_millis(100)).await;
        Ok(())
    })
    .expect("the server runs");

    assert_eq!(started.get(), 0);
}

const PATIENCE: Duration = Duration::from_millis(500);

async fn ask(client: &Client) -> Result<web::Response, Error> {
    let call = client.call(Method::GET, "/", HeaderMap::new(), Bytes::new(), PATIENCE);
    call.await
}

/// Returns what a call finds whose connection is refused, while another call waits at the server.
async fn refused_beside_a_waiting_call(server_lives: bool) -> anyhow::Result<Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let client = Rc::new(Client::new(address));
    let waiting = Rc::clone(&client);
    spawn_local(async move {
        let _answer = ask(&waiting).await;
    });
    let (held, _from) = listener.accept().await?;
    drop(listener);
    if !server_lives {
        drop(held);
        tokio::time::sleep(Duration::from_millis(50)).await;
        return Ok(ask(&client).await.expect_err("nobody listens"));
    }
    let refused = ask(&client).await.expect_err("nobody listens");
    drop(held);
    Ok(refused)
}

#[test]
fn a_refused_connection_to_a_server_that_holds_another_one_does_not_say_that_it_is_gone() {
    let busy = block_on(refused_beside_a_waiting_call(true)).expect("the calls are made");
    let gone = block_on(refused_beside_a_waiting_call(false)).expect("the calls are made");

    assert!(matches!(busy, Error::Unreachable(_)), "{busy}");
    assert!(matches!(gone, Error::Refused(_)), "{gone}");
}
