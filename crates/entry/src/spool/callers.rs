//! The callers' side: HTTP requests in, answers out.

use std::rc::Rc;
use std::time::Instant;

use http::StatusCode;
use ibisspool_core::spool::catalogue::{Limits, Queue};
use ibisspool_core::spool::entry::JobKey;
use ibisspool_core::spool::job::Request;
use ibisspool_kernel::spool::OWN_LIMITS;
use ibisspool_kernel::web::{self, Call, Reply, ShutdownSignal};
use ibisspool_platform::caller::{self, Ask};
use tokio::net::TcpListener;

use super::hub::Hub;

/// Answers callers until their connections are to close.
pub async fn serve(listener: TcpListener, hub: Rc<Hub>, shutdown: ShutdownSignal) {
    let limits = {
        let hub = Rc::clone(&hub);
        move || {
            let limits = hub.read(|entry| {
                entry
                    .catalogue()
                    .map_or_else(Limits::default, |catalogue| catalogue.limits)
            });
            web::Limits {
                head_bytes: limits.header_bytes,
                body_bytes: limits.body_bytes,
                head_timeout: limits.header_timeout.max(limits.idle_timeout),
            }
        }
    };
    let answer = move |call| answer(Rc::clone(&hub), call);
    web::serve_until_shutdown(listener, limits, answer, shutdown).await;
}

async fn answer(hub: Rc<Hub>, call: Call) -> Reply {
    let ask = hub.read(|entry| caller::decode(&call, entry.catalogue().map(AsRef::as_ref)));
    let mut reply = match ask {
        Ask::Reply(reply) => reply,
        Ask::Waiting(queue) => caller::encode_waiting(hub.read(|entry| entry.waiting_jobs(&queue))),
        Ask::Submit(request, queue) => submit(&hub, request, queue).await,
    };
    // Callers find another entry while this one can still answer them.
    reply.close |= !hub.is_ready();
    reply
}

/// Runs a job. If the caller ends its connection, this future is dropped and the job with it.
async fn submit(hub: &Rc<Hub>, request: Request, queue: Queue) -> Reply {
    // A request that was held up may be followed by the end of its connection.
    web::yield_to_connections().await;
    let began = Instant::now();
    let (key, answer) = hub.submit(request, queue);
    let mut guard = AbandonOnDrop {
        hub: Rc::clone(hub),
        key: Some(key),
    };
    let answer = answer.await;
    guard.key = None;
    match answer {
        Ok(answer) => {
            hub.record_answer(answer, began.elapsed().as_secs_f64());
            caller::encode(answer)
        }
        Err(_dropped) => Reply::new(StatusCode::BAD_GATEWAY),
    }
}

/// Drops a job whose caller has left.
struct AbandonOnDrop {
    hub: Rc<Hub>,
    key: Option<JobKey>,
}

impl Drop for AbandonOnDrop {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.hub.abandon_job(key);
        }
    }
}

/// Answers whether new connections may come.
pub async fn serve_readiness(listener: TcpListener, hub: Rc<Hub>) {
    let answer = move |call: Call| {
        let ready = hub.is_ready();
        let status = if call.uri.path() != caller::READY_PATH {
            StatusCode::NOT_FOUND
        } else if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        async move { Reply::new(status) }
    };
    web::serve(listener, || OWN_LIMITS, answer).await;
}
