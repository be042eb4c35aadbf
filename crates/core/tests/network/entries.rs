//! Simulation of entries, their messages to each other and to the table, and their callers.

use bytes::Bytes;
use ibisspool_core::control::{Member, Row};
use ibisspool_core::entry::{
    Action, Entry, Event as EntryEvent, Findings, JobRequest, Origin, WaiterId,
};
use ibisspool_core::job::{Answer, Id, Spec};
use ibisspool_core::refusal::{Ran, Reason};
use ibisspool_core::settings::Bounds;
use ibisspool_core::time::{Monotonic, Wall};
use rand::Rng;

use super::plan::Mutant;
use super::{
    Event, Input, JOB_KIND, Output, Process, ProcessState, ReplyTo, SECOND_US, START_WALL_MS,
    Simulation, catalogue,
};

/// Time after which an inquiry without an answer counts as lost.
const INQUIRY_TIMEOUT_US: u64 = 900_000;

impl Simulation {
    /// Returns the member that an entry process is in the control row; its address is the number
    /// of its host.
    pub(super) fn member(&self, process: Process) -> Member {
        Member {
            name: self.process_name(process.number),
            incarnation: process.incarnation,
            address: process.number.to_string(),
            data_centre: super::DATA_CENTRES[process.number % 2].to_owned(),
        }
    }

    pub(super) fn new_entry(&mut self, process: Process) -> ProcessState {
        let seed = self.rng.random();
        let timing = self.plan.entry_timing(process.number);
        let entry = Entry::new(self.member(process), timing, Bounds::default(), seed);
        ProcessState::Entry(Box::new(entry))
    }

    /// Lets an entry handle an input, checks the invariants, and returns its actions.
    pub(super) fn step_entry(&mut self, process: Process, input: Input) -> Vec<Output> {
        let Some(event) = self.input_to_entry_event(process, input) else {
            return Vec::new();
        };
        let now = self.clock_of(process.number);
        let mut actions = Vec::new();
        let has_adopted_row = {
            let ProcessState::Entry(entry) = &mut self.hosts[process.number].state else {
                return Vec::new();
            };
            let former_epoch = entry.epoch();
            entry.handle(event, now, &mut actions);
            if entry.epoch() > former_epoch
                && self.plan.mutant == Some(Mutant::SingleAnswerAsBlockingSet)
            {
                fake_heartbeat_answers(entry, now, &mut actions);
            }
            entry.epoch() > former_epoch
        };
        let name = format!(
            "{}/{}",
            self.process_name(process.number),
            process.incarnation
        );
        if let ProcessState::Entry(entry) = &self.hosts[process.number].state {
            self.checker.check_entry(&name, entry);
            if has_adopted_row {
                let row = entry.row().clone();
                self.log_event(process.number, "adopts row", &row);
            }
        }
        for action in &mut actions {
            self.falsify_and_check_answer(&name, action);
        }
        actions.into_iter().map(Output::Entry).collect()
    }

    /// Checks an answer when the entry has decided it, whether or not it arrives. The mutant
    /// [`Mutant::NotRunWithoutLease`] falsifies the answer first.
    fn falsify_and_check_answer(&mut self, name: &str, action: &mut Action) {
        let Action::Answer { waiter, id, answer } = action else {
            return;
        };
        let is_falsified = self.plan.mutant == Some(Mutant::NotRunWithoutLease);
        if let Answer::Refused(refusal) = answer
            && is_falsified
            && matches!(refusal.reason, Reason::NoLease | Reason::CoordinatorLost)
        {
            refusal.ran = Ran::No;
        }
        if matches!(
            self.reply_targets.get(&waiter.0),
            Some(ReplyTo::Caller | ReplyTo::ForwardingEntry { .. })
        ) {
            self.checker.check_answer(*id, answer, name);
        }
    }

    /// Returns the entry's event for an input, `None` if the process handles the input without its
    /// state machine or drops it.
    fn input_to_entry_event(&mut self, process: Process, input: Input) -> Option<EntryEvent> {
        match input {
            Input::Tick => Some(EntryEvent::Tick),
            Input::Entry(event) => Some(event),
            Input::Heartbeat {
                from,
                member,
                epoch,
                sent,
            } => {
                if member.incarnation != process.incarnation {
                    return None;
                }
                let waiter = self.register_waiter(ReplyTo::Heartbeat { from, member, sent });
                Some(EntryEvent::HeartbeatReceived { waiter, epoch })
            }
            Input::HeartbeatAnswer {
                member,
                epoch,
                sent,
                wall,
                below,
            } => {
                let lapsed = Input::Entry(EntryEvent::EarlierLeasesLapsed { below });
                self.schedule(self.now_us, Event::Deliver(process, lapsed));
                self.compare_clocks(process, &member, sent, wall);
                let sent = self.lease_start(process, sent);
                Some(EntryEvent::HeartbeatAnswered {
                    member,
                    epoch,
                    sent,
                })
            }
            Input::Inquiry {
                from,
                call,
                member,
                id,
                epoch,
            } => {
                if member.incarnation != process.incarnation {
                    self.send_findings(process, from, call, None);
                    return None;
                }
                let waiter = self.register_waiter(ReplyTo::Inquiry { from, call });
                Some(EntryEvent::InquiryReceived { waiter, id, epoch })
            }
            Input::InquiryAnswer { call, findings } => {
                let (member, id) = self.inquiries.remove(&call)?;
                Some(match findings {
                    Some(findings) => EntryEvent::InquiryAnswered {
                        member,
                        id,
                        findings,
                    },
                    None => EntryEvent::InquiryFailed { member, id },
                })
            }
            Input::Forwarded {
                from,
                call,
                question,
            } => {
                let waiter = self.register_waiter(ReplyTo::ForwardingEntry { from, call });
                Some(request_event(waiter, question, true))
            }
            Input::ForwardedAnswer { call, answer } => {
                let (_from, _target, waiter) = self.forwarded_calls.remove(&call)?;
                Some(match answer {
                    Some(_) => EntryEvent::ForwardAnswered { waiter },
                    None => EntryEvent::ForwardFailed { waiter },
                })
            }
            Input::TableAnswer { sent, answer } => {
                let sent = self.lease_start(process, sent);
                Some(match answer {
                    Some((version, row)) => EntryEvent::RowRead { sent, version, row },
                    None => EntryEvent::RowWriteConflict,
                })
            }
            Input::Report { link, report } => self.receive_report(link, report),
            Input::Closed { link } => self.close_entry_side(link),
            Input::Agent(_) | Input::Order { .. } | Input::DelayedOutputs(_) => None,
        }
    }

    /// Compares the wall clocks as the process does that gets the answer to a heartbeat.
    fn compare_clocks(&mut self, process: Process, member: &Member, sent: Monotonic, wall: Wall) {
        let now = self.clock_of(process.number);
        let error = now.mono.since(sent) / 2;
        let ahead_ms = wall.0.cast_signed() - now.wall.0.cast_signed() + error.as_millis() as i64;
        let member = member.clone();
        let compared = EntryEvent::ClockCompared {
            member,
            ahead_ms,
            error,
        };
        self.schedule(self.now_us, Event::Deliver(process, Input::Entry(compared)));
    }

    fn send_inquiry(&mut self, process: Process, to: Member, id: Id, epoch: u64) {
        let Ok(target) = to.address.parse() else {
            return;
        };
        self.last_number += 1;
        let call = self.last_number;
        self.inquiries.insert(call, (to.clone(), id));
        self.log_event(process.number, "sends inquiry", &(call, &to, id));
        let inquiry = Input::Inquiry {
            from: process,
            call,
            member: to,
            id,
            epoch,
        };
        self.send_unreliably(process.number, target, None, &inquiry);
        let lost = Input::InquiryAnswer {
            call,
            findings: None,
        };
        self.schedule(
            self.now_us + INQUIRY_TIMEOUT_US,
            Event::Deliver(process, lost),
        );
    }

    fn send_findings(&mut self, from: Process, to: Process, call: u64, findings: Option<Findings>) {
        let answer = Input::InquiryAnswer { call, findings };
        self.send_unreliably(from.number, to.number, Some(to), &answer);
    }

    /// Returns the time from which an answer counts for the lease: when the request was sent.
    fn lease_start(&self, process: Process, sent: Monotonic) -> Monotonic {
        if self.plan.mutant == Some(Mutant::LeaseFromAnswerTime) {
            return self.clock_of(process.number).mono;
        }
        sent
    }

    /// Returns a new waiter whose answer goes to `reply_to`.
    fn register_waiter(&mut self, reply_to: ReplyTo) -> WaiterId {
        self.last_number += 1;
        self.reply_targets.insert(self.last_number, reply_to);
        WaiterId(self.last_number)
    }

    pub(super) fn carry_out_entry_action(&mut self, process: Process, action: Action) {
        let sent = self.clock_of(process.number).mono;
        match action {
            Action::Answer { waiter, answer, .. } => {
                self.answer_request(process, waiter, Some(answer));
            }
            Action::RejectMisdirected { waiter } => self.answer_request(process, waiter, None),
            Action::AnswerHeartbeat { waiter, epoch } => {
                self.answer_heartbeat(process, waiter, epoch);
            }
            Action::SendHeartbeat { to, epoch } => {
                let Ok(number) = to.address.parse() else {
                    return;
                };
                let heartbeat = Input::Heartbeat {
                    from: process,
                    member: to,
                    epoch,
                    sent,
                };
                self.send_unreliably(process.number, number, None, &heartbeat);
            }
            Action::Forward {
                waiter,
                to,
                question,
            } => self.forward_request(process, waiter, &to, question),
            Action::Inquire { to, id, epoch } => self.send_inquiry(process, to, id, epoch),
            Action::AnswerInquiry { waiter, findings } => {
                if let Some(ReplyTo::Inquiry { from, call }) = self.reply_targets.remove(&waiter.0)
                {
                    self.send_findings(process, from, call, Some(findings));
                }
            }
            Action::SendOrder { link, order } => self.send_order(process, link, order),
            Action::ReadRow => self.send_table_request(process, None),
            Action::WriteRow { expect, row } => {
                self.send_table_request(process, Some((expect, row)));
            }
            Action::ReadCatalogue { version } => {
                let read = EntryEvent::CatalogueRead {
                    version,
                    catalogue: catalogue(),
                };
                let at = self.now_us + self.draw_delay_us();
                self.schedule(at, Event::Deliver(process, Input::Entry(read)));
            }
            _ => {}
        }
    }

    /// Sends a message that may be lost, delayed or duplicated; returns whether it was not lost.
    /// It goes to `process`, or without one to whatever process runs on the host `to`.
    fn send_unreliably(
        &mut self,
        from: usize,
        to: usize,
        process: Option<Process>,
        input: &Input,
    ) -> bool {
        if self.partitioned_until(from, to) > self.now_us
            || self.rng.random_bool(self.plan.loss_share)
        {
            return false;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.plan.duplication_share));
        for _copy in 0..copies {
            let at = self.now_us + self.draw_delay_us();
            let input = input.clone();
            let event = match process {
                Some(process) => Event::Deliver(process, input),
                None => Event::DeliverToAddress(to, input),
            };
            self.schedule(at, event);
        }
        true
    }

    fn answer_heartbeat(&mut self, process: Process, waiter: WaiterId, epoch: u64) {
        if let Some(ReplyTo::Heartbeat { from, member, sent }) =
            self.reply_targets.remove(&waiter.0)
        {
            let wall = self.clock_of(process.number).wall;
            let below = match &self.hosts[process.number].state {
                ProcessState::Entry(entry) => entry.leases_lapsed_below(),
                _ => 0,
            };
            let answer = Input::HeartbeatAnswer {
                member,
                epoch,
                sent,
                wall,
                below,
            };
            self.send_unreliably(process.number, from.number, Some(from), &answer);
        }
    }

    fn forward_request(
        &mut self,
        process: Process,
        waiter: WaiterId,
        to: &Member,
        question: JobRequest,
    ) {
        let Ok(target) = to.address.parse() else {
            return;
        };
        self.last_number += 1;
        let call = self.last_number;
        self.forwarded_calls.insert(call, (process, target, waiter));
        self.log_event(
            process.number,
            "forwards request",
            &(call, target, &question),
        );
        let question = Input::Forwarded {
            from: process,
            call,
            question,
        };
        let was_sent = self.send_unreliably(process.number, target, None, &question);
        let max_timeout_us = if was_sent { 12 * SECOND_US } else { SECOND_US };
        let at = self.now_us + self.rng.random_range(SECOND_US / 5..max_timeout_us);
        self.schedule(
            at,
            Event::Deliver(process, Input::ForwardedAnswer { call, answer: None }),
        );
    }

    fn answer_request(&mut self, process: Process, waiter: WaiterId, answer: Option<Answer>) {
        self.log_event(process.number, "answers request", &(waiter, &answer));
        if let Some(ReplyTo::ForwardingEntry { from, call }) = self.reply_targets.remove(&waiter.0)
        {
            let reply = Input::ForwardedAnswer { call, answer };
            self.send_unreliably(process.number, from.number, Some(from), &reply);
        }
    }

    /// Sends a read or conditional write to the table, unless the table cannot be reached.
    fn send_table_request(&mut self, process: Process, write: Option<(u64, Row)>) {
        let sent = self.clock_of(process.number).mono;
        if self
            .rng
            .random_bool(self.hosts[process.number].table_success_share)
        {
            let at = self.now_us + self.draw_delay_us();
            self.schedule(
                at,
                Event::TableRequest {
                    from: process,
                    sent,
                    write,
                },
            );
        }
    }

    /// Carries out a read or conditional write at the table. Its answer may be lost even if it took
    /// effect.
    pub(super) fn apply_table_request(
        &mut self,
        from: Process,
        sent: Monotonic,
        write: Option<(u64, Row)>,
    ) {
        let mut answer = Some(self.table.clone());
        if let Some((expect, row)) = write {
            if expect == self.table.0 {
                self.log_event(from.number, "writes row", &row);
                self.table = (expect + 1, row);
                answer = Some(self.table.clone());
            } else {
                answer = None;
            }
        }
        if let Some((_version, row)) = &mut answer
            && self.plan.mutant == Some(Mutant::MovedIdWithoutInquiry)
        {
            for past in &mut row.past {
                past.ended = Wall(0);
            }
        }
        if self
            .rng
            .random_bool(self.hosts[from.number].table_success_share)
        {
            let at = self.now_us + self.draw_delay_us();
            self.schedule(
                at,
                Event::Deliver(from, Input::TableAnswer { sent, answer }),
            );
        }
    }

    /// Draws the jobs of a run, and schedules repeated submissions and some cancellations of them.
    pub(super) fn schedule_callers(&mut self) {
        for job in 0..self.plan.jobs {
            let created_us = self
                .rng
                .random_range(3 * SECOND_US..self.plan.end_us - 2 * SECOND_US);
            let skew_ms = self.rng.random_range(0..=self.plan.max_wall_skew_ms);
            let id = Id::new(
                Wall(START_WALL_MS + skew_ms + created_us / 1_000),
                self.rng.random(),
            );
            let tasks = self.rng.random_range(1..=4);
            let inputs = (0..tasks)
                .map(|index| Bytes::from(format!("\"{job}:{index}\"")))
                .collect();
            let spec = Spec {
                id,
                kind: JOB_KIND.to_owned(),
                inputs,
                timeout: std::time::Duration::from_millis(self.rng.random_range(500..9_000)),
                idempotent: self.plan.are_jobs_idempotent,
            };
            self.checker.record_submission(&spec);
            self.jobs.push(spec);
            let mut at = created_us;
            for _submission in 0..self.rng.random_range(1..=5) {
                self.schedule(at, Event::CallerRequest { job, cancel: false });
                at += self.rng.random_range(0..4 * SECOND_US);
            }
            if self.rng.random_bool(0.15) {
                let at = created_us + self.rng.random_range(0..2 * SECOND_US);
                self.schedule(at, Event::CallerRequest { job, cancel: true });
            }
        }
    }

    /// Lets a caller submit or cancel a job at a random entry.
    pub(super) fn make_caller_request(&mut self, job: usize, cancel: bool) {
        let spec = self.jobs[job].clone();
        let number = self.rng.random_range(0..self.plan.entries);
        let waiter = self.register_waiter(ReplyTo::Caller);
        let question = if cancel {
            JobRequest::Cancel(spec.id)
        } else {
            JobRequest::Submit(spec)
        };
        let at = self.now_us + self.draw_delay_us();
        let event = Input::Entry(request_event(waiter, question, false));
        self.schedule(at, Event::DeliverToAddress(number, event));
    }
}

/// Returns the event that hands a request to an entry.
fn request_event(waiter: WaiterId, question: JobRequest, forwarded: bool) -> EntryEvent {
    let origin = if forwarded {
        Origin::Forwarded
    } else {
        Origin::Caller
    };
    match question {
        JobRequest::Submit(spec) => EntryEvent::Submit {
            waiter,
            spec,
            origin,
        },
        JobRequest::Get(id) => EntryEvent::Get {
            waiter,
            id,
            forwarded,
        },
        JobRequest::Cancel(id) => EntryEvent::Cancel {
            waiter,
            id,
            forwarded,
        },
        JobRequest::Trace(id) => EntryEvent::Trace {
            waiter,
            id,
            forwarded,
        },
    }
}

/// Lets an entry that has adopted a row count its own word as the heartbeat answers of all members.
fn fake_heartbeat_answers(
    entry: &mut Entry,
    now: ibisspool_core::time::Now,
    actions: &mut Vec<Action>,
) {
    let epoch = entry.epoch();
    for member in entry.row().members.clone() {
        let sent = Monotonic(0);
        entry.handle(
            EntryEvent::HeartbeatAnswered {
                member,
                epoch,
                sent,
            },
            now,
            actions,
        );
    }
}
