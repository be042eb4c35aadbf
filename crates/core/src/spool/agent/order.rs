//! Orders of entries.

use super::super::message::{Declined, End, Order, Start, Ticket};
use super::super::note::Note;
use super::{Agent, LinkKey, Phase, Run};
use crate::time::{Mono, Now};

impl Agent {
    /// Handles an order. One whose echo is too old starts nothing and renews nothing.
    pub fn order(&mut self, link: LinkKey, order: Order, now: Now) {
        self.expire(now);
        if !self.renew(link, &order, now) {
            return;
        }
        if let Some((version, list)) = order.out_of_service
            && version > self.out_of_service.0
        {
            let note = Note::new("Learned of the data centres out of service.")
                .with("version", version)
                .with("data_centres", list.join(","));
            self.out_of_service = (version, list);
            self.note(note);
            self.decline_queued(now);
        }
        for ticket in order.cancels {
            self.cancel(link, ticket, now);
        }
        for start in order.starts {
            self.take(link, start, now);
        }
        self.start_queued(now);
        self.set_rest(link, order.rest, now.mono);
        self.report_due(now.mono);
    }

    /// Counts the order's echo as a sign of life; returns whether the link is still known.
    fn renew(&mut self, link: LinkKey, order: &Order, now: Now) -> bool {
        let silence = self.safety.silence;
        let Some(known) = self.links.get_mut(link) else {
            return false;
        };
        known.seen = order.sequence;
        if let Some(echo) = order.echo {
            let until = Mono(echo.0).plus(silence);
            if until > now.mono {
                known.permit_until = known.permit_until.max(until);
            }
        }
        true
    }

    fn cancel(&mut self, link: LinkKey, ticket: Ticket, now: Now) {
        let found = self
            .runs
            .iter()
            .find(|(_key, run)| run.link == Some(link) && run.start.ticket == ticket)
            .map(|(key, run)| (key, run.phase));
        let Some((key, phase)) = found else {
            return;
        };
        let end = if phase == Phase::Queued {
            End::NotStarted(Declined::Cancelled)
        } else {
            End::Lost
        };
        self.stop_run(key, end, "cancelled", now);
    }

    fn take(&mut self, link: LinkKey, start: Start, now: Now) {
        let Some(known) = self.links.get(link) else {
            return;
        };
        let stale = known.permit_until <= now.mono;
        let entry = known.entry.clone();
        let latest_start = if start.slack_us < 0 {
            Mono(now.mono.0.saturating_sub(start.slack_us.unsigned_abs()))
        } else {
            Mono(now.mono.0.saturating_add(start.slack_us.unsigned_abs()))
        };
        let closed = !self.takes(&start);
        let key = self.runs.insert(Run {
            start,
            link: Some(link),
            entry,
            arrived: now.mono,
            latest_start,
            phase: Phase::Queued,
            since: now.mono,
            number: 0,
            started: now.mono,
            progress: (0, now.mono),
            stop_sent: None,
            stopped: None,
            on_stopped: End::Lost,
        });
        if stale {
            self.finish(key, End::NotStarted(Declined::Stale), now);
        } else if closed {
            self.finish(key, End::NotStarted(Declined::Closed), now);
        }
    }

    /// Returns whether the server, as it is now, may run the task.
    fn takes(&self, start: &Start) -> bool {
        self.is_open()
            && self.backend.as_ref().is_some_and(|backend| {
                backend.service == start.service && backend.capacity.fits(&start.needs)
            })
    }

    /// Returns whether the server takes anything new.
    pub(super) fn is_open(&self) -> bool {
        let out = self.out_of_service.1.contains(&self.hello.data_centre);
        let ready = self
            .backend
            .as_ref()
            .is_some_and(|backend| backend.ready && !backend.down);
        ready && !out && !self.stopping
    }

    /// Hands back what waits once nothing may start here any more.
    pub(super) fn decline_queued(&mut self, now: Now) {
        if self.is_open() {
            return;
        }
        for key in self.queued() {
            self.finish(key, End::NotStarted(Declined::Closed), now);
        }
        self.report_all(now.mono);
    }
}
