//! HTTP servers of the entry: requests of callers, and the platform's readiness checks.

use std::rc::Rc;

use http::{Method, StatusCode};
use ibisspool_core::spool::catalogue::{Limits, Queue};
use ibisspool_core::spool::entry::JobKey;
use ibisspool_core::spool::job::Request;
use ibisspool_core::time::Monotonic;
use ibisspool_kernel::connection_limiter::{self, ConnectionLimiter};
use ibisspool_kernel::spool::INTERNAL_HTTP_LIMITS;
use ibisspool_kernel::web::{self, Call, Reply, ShutdownSignal};
use ibisspool_platform::caller::{self, CallerRequest};
use tokio::net::TcpListener;

use super::driver::Driver;

/// Bytes counted for the head of a request that waits for the catalogue.
const HEAD_BYTES: usize = 1 << 10;

/// Serves callers until a shutdown is requested. The limits of new connections follow the
/// catalogue.
pub async fn serve(
    limiter: ConnectionLimiter,
    listener: TcpListener,
    driver: Rc<Driver>,
    shutdown: ShutdownSignal,
) {
    connection_limiter::limit_kernel_buffers(&listener);
    let limits = {
        let driver = Rc::clone(&driver);
        move || {
            let limits = driver.read(|entry| {
                entry
                    .catalogue()
                    .map_or_else(Limits::default, |catalogue| catalogue.limits)
            });
            web::Limits {
                head_bytes: limits.max_header_bytes,
                body_bytes: limits.max_body_bytes,
                head_timeout: limits.header_timeout.max(limits.idle_timeout),
            }
        }
    };
    let handler = move |call| handle_request(Rc::clone(&driver), call);
    web::serve_until_shutdown(limiter, listener, limits, handler, shutdown).await;
}

/// Answers a request of a caller. A submission waits for the first catalogue shortly after the start
/// of the process. If the caller disconnects, the returned future has to be dropped.
pub async fn handle_request(driver: Rc<Driver>, call: Call) -> Reply {
    let arrived_at = driver.now();
    let is_submission = call.method == Method::POST;
    if is_submission {
        let bytes = call.body.len() + HEAD_BYTES;
        driver
            .wait_for_catalogue(bytes, caller::time_budget(&call))
            .await;
    }
    let ask = driver.read(|entry| caller::decode(&call, entry.catalogue().map(AsRef::as_ref)));
    // The body is not needed while the job runs.
    drop(call);
    let mut reply = match ask {
        CallerRequest::AnswerNow(reply) => {
            if is_submission && driver.read(|entry| entry.catalogue().is_none()) {
                let waited = driver.now().since(arrived_at);
                driver.record_missing_catalogue(waited);
            }
            reply
        }
        CallerRequest::CountWaitingJobs(queue) => {
            caller::encode_waiting_count(driver.read(|entry| entry.undispatched_job_count(&queue)))
        }
        CallerRequest::SubmitJob(request, queue) => {
            submit_and_wait(&driver, request, queue, arrived_at).await
        }
    };
    // An entry that is not ready closes each connection after its answer, so that callers connect
    // to another entry before this one stops.
    reply.close |= !driver.is_ready();
    reply
}

/// Submits a job and waits for its answer. If the caller disconnects, this future is dropped, which
/// abandons the job.
async fn submit_and_wait(
    driver: &Rc<Driver>,
    request: Request,
    queue: Queue,
    arrived_at: Monotonic,
) -> Reply {
    // After a pause of this process, the end of the caller's connection may already follow the
    // request in the socket's buffer. The job must not start then.
    web::yield_to_connections().await;
    let (key, answer) = driver.submit(request, queue, arrived_at);
    let mut guard = AbandonOnDrop {
        driver: Rc::clone(driver),
        key: Some(key),
    };
    let answer = answer.await;
    guard.key = None;
    match answer {
        Ok(answer) => {
            let elapsed = driver.now().since(arrived_at);
            driver.record_answer(answer, elapsed.as_secs_f64());
            caller::encode_answer(answer)
        }
        Err(_dropped) => Reply::new(StatusCode::BAD_GATEWAY),
    }
}

/// Abandons a job when dropped, unless its answer has arrived and `key` was taken out.
struct AbandonOnDrop {
    driver: Rc<Driver>,
    key: Option<JobKey>,
}

impl Drop for AbandonOnDrop {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.driver.abandon_job(key);
        }
    }
}

/// Serves the platform's readiness checks, which decide whether this entry gets new connections.
pub async fn serve_readiness(
    limiter: ConnectionLimiter,
    listener: TcpListener,
    driver: Rc<Driver>,
) {
    let handler = move |call: Call| {
        let ready = driver.is_ready();
        let status = if call.uri.path() != caller::READINESS_PATH {
            StatusCode::NOT_FOUND
        } else if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        async move { Reply::new(status) }
    };
    web::serve_within(limiter, listener, || INTERNAL_HTTP_LIMITS, handler).await;
}
