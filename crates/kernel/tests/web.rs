//! The HTTP server against callers that left while the process stood still.

use std::cell::Cell;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use ibisspool_kernel::spool::{OWN_LIMITS, block_on};
use ibisspool_kernel::web::{self, Reply};
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
                web::next_look().await;
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
