//! What showed an agent that a run is over, for its log and metrics.

use crate::time::Monotonic;

/// What showed that a run has ended, or that it will not begin. Where the backend server was asked,
/// the time of the request is included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Evidence {
    /// The task was still queued, so no start request was sent.
    NeverSent,
    /// The server has another profile than the one by which the entry placed the task, so no start
    /// request reached it.
    ServerChanged,
    /// No connection could be opened, so the start request did not leave the agent.
    NotConnected,
    /// The server refused the start request sent at this time.
    StartRefused(Monotonic),
    /// The run lists requested at this time show the end.
    ListedEnd(Monotonic),
    /// The run lists requested at this time, after the start was confirmed, do not show the run.
    Unlisted(Monotonic),
    /// The run lists requested at this time, after a stop was answered, do not show the run.
    StoppedAndUnlisted(Monotonic),
    /// The run lists requested at this time are those of another incarnation without the run.
    NextIncarnation(Monotonic),
    /// The lease last renewed at this time has run out.
    LeaseExpired(Monotonic),
}

impl Evidence {
    /// Returns when the server was asked, or when its lease was last renewed; `None` if the run
    /// never reached it.
    pub fn requested_at(self) -> Option<Monotonic> {
        match self {
            Self::NeverSent | Self::ServerChanged | Self::NotConnected => None,
            Self::StartRefused(at)
            | Self::ListedEnd(at)
            | Self::Unlisted(at)
            | Self::StoppedAndUnlisted(at)
            | Self::NextIncarnation(at)
            | Self::LeaseExpired(at) => Some(at),
        }
    }
}
