//! Communication with the backend server: its announcements, and the polling of its task lists with
//! long polls ("hold" calls), which also renew the lease under which it runs tasks.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use ibisspool_core::spool::agent::Agent;
use ibisspool_kernel::connection_limiter::ConnectionLimiter;
use ibisspool_kernel::spool::INTERNAL_HTTP_LIMITS;
use ibisspool_kernel::web::{self, Call, Reply};
use ibisspool_platform::executor::{self, ExecutorCall};
use tokio::net::TcpListener;

use super::driver::Driver;

/// Delay after a hold call that got no lists, or lists with gaps: an executor answers at once while
/// it lists an end that is not acknowledged.
const HOLD_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Delay between two polls of the second polling loop, so that both loops don't call at the same
/// moment.
const EXTRA_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Serves the backend server's announcements and its notice that it leaves.
pub async fn serve(limiter: ConnectionLimiter, listener: TcpListener, driver: Rc<Driver>) {
    let answer = move |call: Call| {
        let reply = match executor::decode(&call) {
            Ok(ExecutorCall::Heartbeat(announcement)) => {
                let is_acknowledged =
                    driver.apply(|agent, now| agent.handle_announcement(announcement, now));
                driver.backend_announced.notify_one();
                if is_acknowledged {
                    Reply::new(StatusCode::OK).with_body("{}")
                } else {
                    Reply::new(StatusCode::CONFLICT)
                }
            }
            Ok(ExecutorCall::Deregistration(incarnation)) => {
                driver.apply(|agent, now| agent.handle_deregistration(&incarnation, now));
                Reply::new(StatusCode::OK).with_body("{}")
            }
            Err(reply) => reply,
        };
        async move { reply }
    };
    web::serve_within(limiter, listener, || INTERNAL_HTTP_LIMITS, answer).await;
}

/// Polls the backend server's task lists for ever. Each hold call renews the lease, acknowledges
/// the ends that were seen and waits for the next end.
pub async fn poll_task_lists(driver: Rc<Driver>) {
    loop {
        match driver.apply(Agent::next_poll) {
            None => driver.backend_announced.notified().await,
            Some(hold) => {
                if !driver.poll_task_lists_once(hold).await {
                    tokio::time::sleep(HOLD_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Polls the task lists in a second loop while calls get no answer. A hold call without an answer
/// hides every end until it times out, and capacity that is free would stay reserved meanwhile.
pub async fn poll_task_lists_while_unanswered(driver: Rc<Driver>) {
    loop {
        driver.call_unanswered.notified().await;
        while driver.had_recent_unanswered_call() {
            match driver.apply(Agent::next_poll) {
                Some(hold) => {
                    driver.poll_task_lists_once(hold).await;
                }
                None => break,
            }
            tokio::time::sleep(EXTRA_POLL_INTERVAL).await;
        }
    }
}
