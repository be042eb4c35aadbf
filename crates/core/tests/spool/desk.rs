//! An entry of a desk, its agents and its jobs, one event at a time.

use std::sync::Arc;
use std::time::Duration;

use ibisspool_core::spool::catalogue::{Limits, Queue, Snapshot};
use ibisspool_core::spool::entry::{Action, Answer, Entry, JobKey, LinkKey, Refusal};
use ibisspool_core::spool::job::{Id, Request, Resources, Step};
use ibisspool_core::spool::message::{
    AgentHello, End, Load, Member, Order, Outcome, Report, ServerState, Start, Timestamp,
};
use ibisspool_core::spool::safety::Safety;
use ibisspool_core::time::{Monotonic, Now, Wall};
use smallvec::SmallVec;

pub const TASK: Resources = Resources {
    cpu_millicores: 1_600,
    memory_mb: 64,
    accelerators: 0,
};

pub fn at(millis: u64) -> Now {
    Now {
        mono: Monotonic(millis * 1_000),
        wall: Wall(millis),
    }
}

pub fn queue() -> Queue {
    Queue {
        name: Arc::from("checks"),
        host: "desk.example".to_owned(),
        path_prefix: "/checks/".to_owned(),
        service: Arc::from("desk"),
        priority: 0,
        max_failed_runs: 2,
        timeout: Duration::from_millis(1_500),
        objective_factor: 1.6,
        objective_offset: Duration::from_millis(60),
        needs_placement_advice: false,
    }
}

pub fn step(tasks: u32, after: SmallVec<[u16; 4]>) -> Step {
    Step {
        task_count: tasks,
        needs: TASK,
        estimate: Duration::from_millis(60),
        depends_on: after,
        label: None,
        rack: None,
        max_tasks_per_server: None,
    }
}

pub fn request(steps: Vec<Step>) -> Request {
    Request {
        id: Id(7),
        spec: Arc::from("work"),
        steps,
        timeout: Duration::from_secs(2),
    }
}

/// A job whose caller waits far longer than its objective.
pub fn patient(step: Step) -> Request {
    Request {
        timeout: Duration::from_secs(10),
        ..request(vec![step])
    }
}

pub fn snapshot(version: u64, out_of_service: &[&str]) -> Arc<Snapshot> {
    Arc::new(Snapshot {
        version,
        queues: vec![queue()],
        limits: Limits::default(),
        out_of_service: out_of_service.iter().map(|&name| name.to_owned()).collect(),
    })
}

pub fn member(number: u8) -> Member {
    Member {
        name: format!("entry-{number}"),
        address: ([10, 0, 0, number], 7_000).into(),
    }
}

pub fn entry() -> Entry {
    let safety = Safety::new(Duration::from_millis(1_300), Duration::from_secs(1));
    let mut entry = Entry::new(member(1), safety, 1);
    entry.set_catalogue(snapshot(1, &[]), "test", at(0));
    entry
}

pub fn report(rooms: u32, outcomes: Vec<Outcome>, now: Now) -> Report {
    let capacity = Resources {
        cpu_millicores: 16_000,
        memory_mb: 32_768,
        accelerators: 0,
    };
    Report {
        sent_at: Timestamp(now.mono.0),
        last_sequence_seen: u64::MAX,
        earlier_runs_cleared: false,
        server: Some(ServerState {
            service: Arc::from("desk"),
            capacity,
            labels: Vec::new(),
            ready: true,
        }),
        load: Load {
            free: Resources {
                cpu_millicores: rooms * TASK.cpu_millicores,
                ..capacity
            },
            queued_cpu: 0,
            open_slots: 100,
            run_time_ratio: 1.0,
        },
        outcomes,
    }
}

pub fn hello(name: &str) -> AgentHello {
    AgentHello {
        name: name.to_owned(),
        data_centre: "north".to_owned(),
    }
}

pub fn agent(entry: &mut Entry, name: &str, rooms: u32, now: Now) -> LinkKey {
    let link = entry.connect(hello(name), now);
    entry.report(link, report(rooms, Vec::new(), now), now);
    entry.take_actions();
    link
}

pub fn orders(entry: &mut Entry) -> Vec<(LinkKey, Order)> {
    entry
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Order(link, order) => Some((link, order)),
            _ => None,
        })
        .collect()
}

pub fn starts(entry: &mut Entry) -> Vec<(LinkKey, Start)> {
    orders(entry)
        .into_iter()
        .flat_map(|(link, order)| order.starts.into_iter().map(move |start| (link, start)))
        .collect()
}

pub fn answers(entry: &mut Entry) -> Vec<(JobKey, Answer)> {
    entry
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Answer(key, answer) => Some((key, answer)),
            _ => None,
        })
        .collect()
}

pub fn outcome(start: &Start, end: End) -> Outcome {
    Outcome {
        ticket: start.ticket,
        end,
        ran: Duration::from_millis(60),
    }
}

/// A refusal after which the caller may come back a second later.
pub fn refused(reason: Refusal) -> Answer {
    Answer::Refused {
        reason,
        retry_after: Duration::from_secs(1),
    }
}
