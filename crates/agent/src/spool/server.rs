//! The backend server's side: its announcements, and the holds that renew its lease.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use ibisspool_core::spool::agent::Agent;
use ibisspool_kernel::spool::OWN_LIMITS;
use ibisspool_kernel::web::{self, Call, Reply};
use ibisspool_platform::executor::{self, Word};
use tokio::net::TcpListener;

use super::hub::Hub;

/// Pause after a hold without an answer.
const HOLD_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Pause between two looks of the second hold, so that both do not ask at the same moment.
const EXTRA_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Takes the announcements.
pub async fn serve(listener: TcpListener, hub: Rc<Hub>) {
    let answer = move |call: Call| {
        let reply = match executor::decode(&call) {
            Ok(Word::Announcement(announcement)) => {
                hub.apply(|agent, now| agent.announce(announcement, now));
                hub.backend_announced.notify_one();
                Reply::new(StatusCode::OK).with_body("{}")
            }
            Ok(Word::Farewell) => {
                hub.apply(Agent::leave);
                Reply::new(StatusCode::OK).with_body("{}")
            }
            Err(reply) => reply,
        };
        async move { reply }
    };
    web::serve(listener, || OWN_LIMITS, answer).await;
}

/// Looks at the lists again and again: one call renews the lease, acknowledges ends and waits for
/// the next one.
pub async fn poll_task_lists(hub: Rc<Hub>) {
    loop {
        match hub.apply(Agent::next_hold) {
            None => hub.backend_announced.notified().await,
            Some(hold) => {
                if !hub.poll_task_lists_once(hold).await {
                    tokio::time::sleep(HOLD_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Looks at the lists a second time while calls go unanswered: a hold without an answer hides
/// every end until it is given up, and room that is free in truth stays reserved.
pub async fn poll_task_lists_while_unanswered(hub: Rc<Hub>) {
    loop {
        hub.call_unanswered.notified().await;
        while hub.had_recent_unanswered_call() {
            match hub.apply(Agent::next_hold) {
                Some(hold) => {
                    hub.poll_task_lists_once(hold).await;
                }
                None => break,
            }
            tokio::time::sleep(EXTRA_POLL_INTERVAL).await;
        }
    }
}
