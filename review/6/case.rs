//! A status report of another writer reaches an agent under the id of its executor. It lacks fields,
//! and names another service and four times the capacity. It names no executor to use, so the agent
//! must go on with what its own executor has reported.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use stand_ins::deployment::{Deployment, Size, run_case};
use stand_ins::executor::{Start, Work};
use stand_ins::http;
use stand_ins::store::{Route, config};

const HOST: &str = "desk.example";
const TIME_BUDGET_MS: u64 = 1_500;
const LATENCY_TARGET_MS: u64 = 60;

/// A queue with its own service. The first part of a job's id tells the queue.
struct Queue {
    service: &'static str,
    prefix: &'static str,
    id_prefix: &'static str,
}

const QUEUES: [Queue; 2] = [
    Queue {
        service: "desk",
        prefix: "/desk1/",
        id_prefix: "de5c",
    },
    Queue {
        service: "archive",
        prefix: "/archive1/",
        id_prefix: "a2c4",
    },
];

const SIZE: Size = Size {
    entries: 2,
    capacity_cpu: 4_000,
};
/// What the executor of each agent offers.
const SERVICES: [&str; 3] = ["desk", "desk", "archive"];

const TASKS_PER_JOB: u32 = 2;
const WORK: Work = Work {
    run_ms: 200,
    cpu: 1_000,
};

/// Clients of each queue. They submit one job after the other and keep all executors busy.
const CLIENTS_PER_QUEUE: u64 = 6;
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// When the report of another writer is sent, and how long the traffic lasts.
const REPORT_AT: Duration = Duration::from_secs(4);
const TRAFFIC_TIME: Duration = Duration::from_secs(14);

/// Returns whether to cause the disruption: always, unless `TROUBLE=0` is set.
fn is_trouble_wanted() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() {
    run_case(|folder| {
        let routes = QUEUES.map(|queue| Route {
            name: queue.service,
            host: HOST,
            prefix: queue.prefix,
            service: queue.service,
            timeout_ms: TIME_BUDGET_MS,
            target_latency_ms: LATENCY_TARGET_MS,
        });
        let deployment = Deployment::start(folder, SIZE, &SERVICES, &config(1, &routes))?;
        run_traffic(&deployment);
        let is_route_kept = is_route_kept(&deployment);
        Ok(is_limit_kept(&deployment) && is_route_kept)
    })
}

fn run_traffic(deployment: &Deployment) {
    let is_over = AtomicBool::new(false);
    let jobs = AtomicU64::new(0);
    thread::scope(|scope| {
        for client in 0..CLIENTS_PER_QUEUE * QUEUES.len() as u64 {
            let (is_over, jobs) = (&is_over, &jobs);
            scope.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    submit_job(deployment, client, jobs.fetch_add(1, Ordering::Relaxed));
                }
            });
        }
        let started_at = Instant::now();
        thread::sleep(REPORT_AT);
        if is_trouble_wanted() {
            send_report_of_another_writer(deployment);
        }
        thread::sleep(TRAFFIC_TIME.saturating_sub(started_at.elapsed()));
        is_over.store(true, Ordering::Relaxed);
    });
}

fn submit_job(deployment: &Deployment, client: u64, job: u64) {
    let queue = &QUEUES[client as usize % QUEUES.len()];
    let entry = (client / QUEUES.len() as u64 % u64::from(SIZE.entries)) as u8;
    let body = format!(
        "{{\"spec\":\"{}\",\"bestEffort\":true,\"steps\":[{{\"count\":{TASKS_PER_JOB},\
         \"cpu\":{},\"memMb\":64,\"estimateMs\":{}}}]}}",
        WORK.spec(),
        WORK.cpu,
        WORK.run_ms
    );
    let path = format!("{}{}{job:012x}", queue.prefix, queue.id_prefix);
    let reply = deployment.client_call(entry, "POST", &path, HOST, TIME_BUDGET_MS, &body);
    if reply.is_none_or(|reply| reply.status != 200) {
        thread::sleep(RETRY_DELAY);
    }
}

/// Sends the report. The fields `address`, `zone`, `slots` and `born` are missing.
fn send_report_of_another_writer(deployment: &Deployment) {
    let known = &deployment.executors[0].description;
    let body = format!(
        "{{\"service\":\"archive\",\"version\":\"v1\",\"state\":\"ready\",\"coldRemainingMs\":0,\
         \"capacity\":{{\"cpu\":{},\"memMb\":32768,\"gpu\":0}},\"labels\":[\"a\",\"r1-3\"],\
         \"clockMs\":482113,\"sequence\":4000}}",
        4 * known.capacity_cpu
    );
    let path = format!("/api/Instances.Heartbeat/{}", known.id);
    let reply = http::call(
        known.agent,
        "POST",
        &path,
        &[],
        &body,
        Duration::from_secs(1),
    );
    deployment.record.line(format!(
        "another writer -> agent 0: POST {path} {body}: {reply:?}"
    ));
}

/// ROUTE: no start on an executor of a service to which no configuration sends the queue.
fn is_route_kept(deployment: &Deployment) -> bool {
    let mut is_kept = true;
    for executor in &deployment.executors {
        let service = &executor.description.service;
        let is_foreign = |start: &&Start| {
            let queue = QUEUES
                .iter()
                .find(|queue| start.task.starts_with(queue.id_prefix));
            queue.is_none_or(|queue| queue.service != service)
        };
        let starts = executor.starts();
        let foreign = starts.iter().filter(is_foreign).count();
        deployment.record.tell(format!(
            "ROUTE, executor {} of {service}: expected 0 starts for other services, saw {foreign} \
             of {}",
            executor.description.id,
            starts.len()
        ));
        is_kept &= foreign == 0;
    }
    is_kept
}

/// LIMIT: no start brings an executor that doesn't guard its capacity over it.
fn is_limit_kept(deployment: &Deployment) -> bool {
    let mut is_kept = true;
    for executor in &deployment.executors {
        let capacity = executor.description.capacity_cpu;
        let starts = executor.starts();
        let most = starts.iter().map(|start| start.used_cpu).max().unwrap_or(0);
        let over = starts
            .iter()
            .filter(|start| start.used_cpu > capacity)
            .count();
        deployment.record.tell(format!(
            "LIMIT, executor {}: expected at most {capacity} thousandths of a core in use, saw \
             {most}; {over} of {} starts went over",
            executor.description.id,
            starts.len()
        ));
        is_kept &= over == 0;
    }
    is_kept
}
