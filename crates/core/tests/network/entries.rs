//! Entries, their calls to each other and to the table, and their callers.

use bytes::Bytes;
use ibisspool_core::control::{Member, Row};
use ibisspool_core::entry::{Action, Entry, Event as Happened, Findings, Origin, Question, Waiter};
use ibisspool_core::job::{Answer, Id, Spec};
use ibisspool_core::refusal::{Ran, Reason};
use ibisspool_core::settings::Bounds;
use ibisspool_core::time::{Monotonic, Wall};
use rand::Rng;

use super::plan::Mutant;
use super::{
    Event, Input, KIND, Network, Output, Process, SECOND, State, WALL, Waiting, catalogue,
};

/// Time within which an inquiry must be answered, in microseconds.
const INQUIRY_TIMEOUT: u64 = 900_000;

impl Network {
    pub(super) fn member(&self, process: Process) -> Member {
        Member {
            name: self.name(process.number),
            incarnation: process.incarnation,
            address: process.number.to_string(),
            data_centre: super::DATA_CENTRES[process.number % 2].to_owned(),
        }
    }

    pub(super) fn new_entry(&mut self, process: Process) -> State {
        let seed = self.rng.random();
        let timing = self.plan.entry_timing(process.number);
        let entry = Entry::new(self.member(process), timing, Bounds::default(), seed);
        State::Entry(Box::new(entry))
    }

    pub(super) fn step_entry(&mut self, process: Process, input: Input) -> Vec<Output> {
        let Some(event) = self.entry_event(process, input) else {
            return Vec::new();
        };
        let now = self.clock(process.number);
        let mut actions = Vec::new();
        let adopted = {
            let State::Entry(entry) = &mut self.hosts[process.number].state else {
                return Vec::new();
            };
            let before = entry.epoch();
            entry.handle(event, now, &mut actions);
            if entry.epoch() > before && self.plan.mutant == Some(Mutant::OneAnswer) {
                pretend_answers(entry, now, &mut actions);
            }
            entry.epoch() > before
        };
        let name = format!("{}/{}", self.name(process.number), process.incarnation);
        if let State::Entry(entry) = &self.hosts[process.number].state {
            self.checks.entry(&name, entry);
            if adopted {
                let row = entry.row().clone();
                self.log(process.number, "adopts", &row);
            }
        }
        for action in &mut actions {
            self.note_answer(&name, action);
        }
        actions.into_iter().map(Output::Entry).collect()
    }

    /// Checks answers when they are decided, before they are sent.
    fn note_answer(&mut self, name: &str, action: &mut Action) {
        let Action::Answer { waiter, id, answer } = action else {
            return;
        };
        let lie = self.plan.mutant == Some(Mutant::NoWithoutLease);
        if let Answer::Refused(refusal) = answer
            && lie
            && matches!(refusal.reason, Reason::NoLease | Reason::CoordinatorLost)
        {
            refusal.ran = Ran::No;
        }
        if matches!(
            self.waiting.get(&waiter.0),
            Some(Waiting::Caller | Waiting::Peer { .. })
        ) {
            self.checks.answer(*id, answer, name);
        }
    }

    /// Turns what arrives at an entry into its event, `None` if the edge deals with it alone.
    fn entry_event(&mut self, process: Process, input: Input) -> Option<Happened> {
        match input {
            Input::Tick => Some(Happened::Tick),
            Input::Entry(event) => Some(event),
            Input::Beat {
                from,
                member,
                epoch,
                sent,
            } => {
                if member.incarnation != process.incarnation {
                    return None;
                }
                let waiter = self.wait(Waiting::Beat { from, member, sent });
                Some(Happened::Beat { waiter, epoch })
            }
            Input::BeatAnswer {
                member,
                epoch,
                sent,
                wall,
                below,
            } => {
                let lapsed = Input::Entry(Happened::Lapsed { below });
                self.at(self.now, Event::To(process, lapsed));
                self.compare_clocks(process, &member, sent, wall);
                let sent = self.counted_from(process, sent);
                Some(Happened::BeatAnswered {
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
                    self.post_findings(process, from, call, None);
                    return None;
                }
                let waiter = self.wait(Waiting::Inquiry { from, call });
                Some(Happened::Inquired { waiter, id, epoch })
            }
            Input::InquiryAnswer { call, findings } => {
                let (member, id) = self.inquiries.remove(&call)?;
                Some(match findings {
                    Some(findings) => Happened::InquiryAnswered {
                        member,
                        id,
                        findings,
                    },
                    None => Happened::InquiryLost { member, id },
                })
            }
            Input::Question {
                from,
                call,
                question,
            } => {
                let waiter = self.wait(Waiting::Peer { from, call });
                Some(asked(waiter, question, true))
            }
            Input::Reply { call, answer } => {
                let (_from, _target, waiter) = self.calls.remove(&call)?;
                Some(match answer {
                    Some(_) => Happened::ForwardAnswered { waiter },
                    None => Happened::ForwardLost { waiter },
                })
            }
            Input::Table { sent, answer } => {
                let sent = self.counted_from(process, sent);
                Some(match answer {
                    Some((version, row)) => Happened::RowRead { sent, version, row },
                    None => Happened::RowConflict,
                })
            }
            Input::Report { link, report } => self.reported(link, report),
            Input::Closed { link } => self.entry_closed(link),
            Input::Agent(_) | Input::Order { .. } | Input::Late(_) => None,
        }
    }

    /// Compares the wall clocks as the edge does that got a heartbeat's answer.
    fn compare_clocks(&mut self, process: Process, member: &Member, sent: Monotonic, wall: Wall) {
        let now = self.clock(process.number);
        let error = now.mono.since(sent) / 2;
        let ahead_ms = wall.0.cast_signed() - now.wall.0.cast_signed() + error.as_millis() as i64;
        let member = member.clone();
        let compared = Happened::ClockCompared {
            member,
            ahead_ms,
            error,
        };
        self.at(self.now, Event::To(process, Input::Entry(compared)));
    }

    fn inquire(&mut self, process: Process, to: Member, id: Id, epoch: u64) {
        let Ok(target) = to.address.parse() else {
            return;
        };
        self.next += 1;
        let call = self.next;
        self.inquiries.insert(call, (to.clone(), id));
        self.log(process.number, "inquires", &(call, &to, id));
        let inquiry = Input::Inquiry {
            from: process,
            call,
            member: to,
            id,
            epoch,
        };
        self.post(process.number, target, None, &inquiry);
        let lost = Input::InquiryAnswer {
            call,
            findings: None,
        };
        self.at(self.now + INQUIRY_TIMEOUT, Event::To(process, lost));
    }

    fn post_findings(&mut self, from: Process, to: Process, call: u64, findings: Option<Findings>) {
        let answer = Input::InquiryAnswer { call, findings };
        self.post(from.number, to.number, Some(to), &answer);
    }

    fn counted_from(&self, process: Process, sent: Monotonic) -> Monotonic {
        if self.plan.mutant == Some(Mutant::LeaseFromAnswer) {
            return self.clock(process.number).mono;
        }
        sent
    }

    fn wait(&mut self, waiting: Waiting) -> Waiter {
        self.next += 1;
        self.waiting.insert(self.next, waiting);
        Waiter(self.next)
    }

    pub(super) fn send_entry(&mut self, process: Process, action: Action) {
        let sent = self.clock(process.number).mono;
        match action {
            Action::Answer { waiter, answer, .. } => self.reply(process, waiter, Some(answer)),
            Action::Misdirected { waiter } => self.reply(process, waiter, None),
            Action::AnswerBeat { waiter, epoch } => self.answer_beat(process, waiter, epoch),
            Action::Beat { to, epoch } => {
                let Ok(number) = to.address.parse() else {
                    return;
                };
                let beat = Input::Beat {
                    from: process,
                    member: to,
                    epoch,
                    sent,
                };
                self.post(process.number, number, None, &beat);
            }
            Action::Forward {
                waiter,
                to,
                question,
            } => self.forward(process, waiter, &to, question),
            Action::Inquire { to, id, epoch } => self.inquire(process, to, id, epoch),
            Action::AnswerInquiry { waiter, findings } => {
                if let Some(Waiting::Inquiry { from, call }) = self.waiting.remove(&waiter.0) {
                    self.post_findings(process, from, call, Some(findings));
                }
            }
            Action::Order { link, order } => self.send_order(process, link, order),
            Action::ReadRow => self.ask_table(process, None),
            Action::WriteRow { expect, row } => self.ask_table(process, Some((expect, row))),
            Action::ReadCatalogue { version } => {
                let read = Happened::CatalogueRead {
                    version,
                    catalogue: catalogue(),
                };
                let at = self.now + self.delay();
                self.at(at, Event::To(process, Input::Entry(read)));
            }
            _ => {}
        }
    }

    /// Sends a message that may be lost or repeated; returns whether it was sent at all.
    fn post(&mut self, from: usize, to: usize, process: Option<Process>, input: &Input) -> bool {
        if self.cut_until(from, to) > self.now || self.rng.random_bool(self.plan.loss) {
            return false;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.plan.duplication));
        for _copy in 0..copies {
            let at = self.now + self.delay();
            let input = input.clone();
            let event = match process {
                Some(process) => Event::To(process, input),
                None => Event::Address(to, input),
            };
            self.at(at, event);
        }
        true
    }

    fn answer_beat(&mut self, process: Process, waiter: Waiter, epoch: u64) {
        if let Some(Waiting::Beat { from, member, sent }) = self.waiting.remove(&waiter.0) {
            let wall = self.clock(process.number).wall;
            let below = match &self.hosts[process.number].state {
                State::Entry(entry) => entry.lapsed_below(),
                _ => 0,
            };
            let answer = Input::BeatAnswer {
                member,
                epoch,
                sent,
                wall,
                below,
            };
            self.post(process.number, from.number, Some(from), &answer);
        }
    }

    fn forward(&mut self, process: Process, waiter: Waiter, to: &Member, question: Question) {
        let Ok(target) = to.address.parse() else {
            return;
        };
        self.next += 1;
        let call = self.next;
        self.calls.insert(call, (process, target, waiter));
        self.log(process.number, "forwards", &(call, target, &question));
        let question = Input::Question {
            from: process,
            call,
            question,
        };
        let sent = self.post(process.number, target, None, &question);
        let patience = if sent { 12 * SECOND } else { SECOND };
        let at = self.now + self.rng.random_range(SECOND / 5..patience);
        self.at(at, Event::To(process, Input::Reply { call, answer: None }));
    }

    fn reply(&mut self, process: Process, waiter: Waiter, answer: Option<Answer>) {
        self.log(process.number, "answers", &(waiter, &answer));
        if let Some(Waiting::Peer { from, call }) = self.waiting.remove(&waiter.0) {
            let reply = Input::Reply { call, answer };
            self.post(process.number, from.number, Some(from), &reply);
        }
    }

    fn ask_table(&mut self, process: Process, write: Option<(u64, Row)>) {
        let sent = self.clock(process.number).mono;
        if self.rng.random_bool(self.hosts[process.number].table) {
            let at = self.now + self.delay();
            self.at(
                at,
                Event::Table {
                    from: process,
                    sent,
                    write,
                },
            );
        }
    }

    /// Carries out a read or write at the table; its answer may be lost all the same.
    pub(super) fn reach_table(
        &mut self,
        from: Process,
        sent: Monotonic,
        write: Option<(u64, Row)>,
    ) {
        let mut answer = Some(self.table.clone());
        if let Some((expect, row)) = write {
            if expect == self.table.0 {
                self.log(from.number, "writes", &row);
                self.table = (expect + 1, row);
                answer = Some(self.table.clone());
            } else {
                answer = None;
            }
        }
        if let Some((_version, row)) = &mut answer
            && self.plan.mutant == Some(Mutant::MovedWithoutAsking)
        {
            for past in &mut row.past {
                past.ended = Wall(0);
            }
        }
        if self.rng.random_bool(self.hosts[from.number].table) {
            let at = self.now + self.delay();
            self.at(at, Event::To(from, Input::Table { sent, answer }));
        }
    }

    pub(super) fn plan_callers(&mut self) {
        for job in 0..self.plan.jobs {
            let made = self
                .rng
                .random_range(3 * SECOND..self.plan.end - 2 * SECOND);
            let skew = self.rng.random_range(0..=self.plan.skew);
            let id = Id::new(Wall(WALL + skew + made / 1_000), self.rng.random());
            let tasks = self.rng.random_range(1..=4);
            let inputs = (0..tasks)
                .map(|index| Bytes::from(format!("\"{job}:{index}\"")))
                .collect();
            let spec = Spec {
                id,
                kind: KIND.to_owned(),
                inputs,
                timeout: std::time::Duration::from_millis(self.rng.random_range(500..9_000)),
                idempotent: self.plan.idempotent,
            };
            self.checks.submitted(&spec);
            self.jobs.push(spec);
            let mut at = made;
            for _submission in 0..self.rng.random_range(1..=5) {
                self.at(at, Event::Call { job, cancel: false });
                at += self.rng.random_range(0..4 * SECOND);
            }
            if self.rng.random_bool(0.15) {
                let at = made + self.rng.random_range(0..2 * SECOND);
                self.at(at, Event::Call { job, cancel: true });
            }
        }
    }

    /// A caller submits or cancels a job through one of the entries.
    pub(super) fn call(&mut self, job: usize, cancel: bool) {
        let spec = self.jobs[job].clone();
        let number = self.rng.random_range(0..self.plan.entries);
        let waiter = self.wait(Waiting::Caller);
        let question = if cancel {
            Question::Cancel(spec.id)
        } else {
            Question::Submit(spec)
        };
        let at = self.now + self.delay();
        let event = Input::Entry(asked(waiter, question, false));
        self.at(at, Event::Address(number, event));
    }
}

fn asked(waiter: Waiter, question: Question, forwarded: bool) -> Happened {
    let origin = if forwarded {
        Origin::Forwarded
    } else {
        Origin::Caller
    };
    match question {
        Question::Submit(spec) => Happened::Submit {
            waiter,
            spec,
            origin,
        },
        Question::Get(id) => Happened::Get {
            waiter,
            id,
            forwarded,
        },
        Question::Cancel(id) => Happened::Cancel {
            waiter,
            id,
            forwarded,
        },
        Question::Trace(id) => Happened::Trace {
            waiter,
            id,
            forwarded,
        },
    }
}

/// Counts an entry's own answer as the answers of all members.
fn pretend_answers(entry: &mut Entry, now: ibisspool_core::time::Now, actions: &mut Vec<Action>) {
    let epoch = entry.epoch();
    for member in entry.row().members.clone() {
        let sent = Monotonic(0);
        entry.handle(
            Happened::BeatAnswered {
                member,
                epoch,
                sent,
            },
            now,
            actions,
        );
    }
}
