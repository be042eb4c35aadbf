//! A runner thread sends a task at most once, reports correctly whether it may have been started,
//! and is never blocked for longer than the task's timeout.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::{Receiver, Sender, unbounded};
use ibisspool_agent::announce::BackendAddress;
use ibisspool_agent::metrics::Metrics;
use ibisspool_agent::runner::{Context, RunnerPool, StartRequest};
use ibisspool_core::agent::Event;
use ibisspool_core::frame::{End, NotStarted};
use ibisspool_core::job::{Id, Task};
use ibisspool_core::time::{Monotonic, Wall};
use ibisspool_kernel::clock::Clock;
use ibisspool_kernel::part::Kernel;

const TASK_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_WAIT: Duration = Duration::from_secs(20);
const MAX_ANSWER_BYTES: usize = 16;
const NEVER: Monotonic = Monotonic(u64::MAX);

struct RunnerFixture {
    starts: Sender<StartRequest>,
    events: Receiver<Event>,
}

/// Starts one runner thread that sends tasks to the backend server at a base URL.
fn runner_fixture(address: String) -> RunnerFixture {
    let (starts, start_receiver) = unbounded();
    let (event_sender, events) = unbounded();
    let backend_address = BackendAddress::default();
    backend_address.set(address);
    let context = Context {
        starts: start_receiver,
        events: event_sender,
        backend_address,
        clock: Clock::new(),
        metrics: Metrics::new(),
        max_answer_bytes: MAX_ANSWER_BYTES,
    };
    RunnerPool::new(&Kernel::new(), context).ensure_threads(1);
    RunnerFixture { starts, events }
}

impl RunnerFixture {
    fn run(&self, expires: Monotonic) -> End {
        let start = StartRequest {
            task: task(),
            kind: "echo".to_owned(),
            input: Bytes::from_static(b"{}"),
            timeout: TASK_TIMEOUT,
            permit_expires_at: expires,
        };
        self.starts.send(start).expect("the runner lives");
        match self.events.recv_timeout(MAX_WAIT) {
            Ok(Event::TaskEnded { end, .. }) => end,
            other => panic!("the runner is stuck: {other:?}"),
        }
    }
}

fn task() -> Task {
    let job = Id::new(Wall(1_000), [9; 10]);
    Task { job, index: 3 }
}

/// Starts a backend server that reads each request and passes the connection to `serve`. Returns
/// its base URL and a channel that receives a message for each connection.
fn start_backend<F>(serve: F) -> (String, Receiver<()>)
where
    F: Fn(TcpStream) + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = format!("http://{}", listener.local_addr().expect("it is bound"));
    let (connected, connections) = unbounded();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _counted = connected.send(());
            let _request = stream.read(&mut [0; 4_096]);
            serve(stream);
        }
    });
    (address, connections)
}

fn http_answer(status: &str, job: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nIbisspool-Job: {job}\r\nIbisspool-Index: 3\r\nLocation: /elsewhere\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn backend_that_answers(status: &'static str, body: &'static str) -> (String, Receiver<()>) {
    start_backend(move |mut stream| {
        let text = http_answer(status, &task().job.to_string(), body);
        let _gone = stream.write_all(text.as_bytes());
    })
}

#[test]
fn body_of_a_successful_answer_is_the_output() {
    let (address, _connections) = backend_that_answers("200 OK", "output");

    let end = runner_fixture(address).run(NEVER);

    assert_eq!(end, End::Done(Bytes::from_static(b"output")));
}

#[test]
fn task_with_an_expired_permit_opens_no_connection() {
    let (address, connections) = backend_that_answers("200 OK", "output");

    let end = runner_fixture(address).run(Monotonic(0));

    assert_eq!(end, End::NotStarted(NotStarted::Stale));
    assert!(connections.is_empty());
}

#[test]
fn refused_connection_reports_the_task_as_not_started() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = format!("http://{}", listener.local_addr().expect("it is bound"));
    drop(listener);

    let end = runner_fixture(address).run(NEVER);

    assert_eq!(end, End::NotStarted(NotStarted::Leaving));
}

#[test]
fn redirect_fails_the_task_and_is_not_followed() {
    let (address, connections) = backend_that_answers("307 Temporary Redirect", "");

    let end = runner_fixture(address).run(NEVER);

    assert!(matches!(end, End::Failed(_)), "{end:?}");
    assert_eq!(connections.len(), 1);
}

#[test]
fn server_without_answer_frees_the_thread_after_the_timeout() {
    let (address, connections) = start_backend(|stream| {
        thread::spawn(move || {
            thread::sleep(MAX_WAIT);
            drop(stream);
        });
    });
    let runner = runner_fixture(address);

    let ends = [runner.run(NEVER), runner.run(NEVER)];

    assert!(
        ends.iter().all(|end| matches!(end, End::Unknown(_))),
        "{ends:?}"
    );
    assert_eq!(connections.len(), 2);
}

#[test]
fn server_that_sends_bytes_slowly_frees_the_thread_after_the_timeout() {
    let (address, _connections) = start_backend(|mut stream| {
        thread::spawn(move || {
            while stream.write_all(b"H").is_ok() {
                thread::sleep(TASK_TIMEOUT / 10);
            }
        });
    });

    let end = runner_fixture(address).run(NEVER);

    assert!(matches!(end, End::Unknown(_)), "{end:?}");
}

#[test]
fn answer_for_another_task_or_incomplete_answer_leaves_the_outcome_unknown() {
    let whole_answer = http_answer("200 OK", &task().job.to_string(), "output");
    let raw_answers = [
        http_answer("200 OK", "another", "output"),
        whole_answer[..whole_answer.len() - 1].to_owned(),
        whole_answer.replace("Content-Length: 6\r\n", ""),
        whole_answer
            .replace("Content-Length: 6", "Transfer-Encoding: chunked")
            .replace("output", "6\r\noutput\r\n"),
        whole_answer
            .replace("Content-Length: 6", "Transfer-Encoding: chunked")
            .replace("output", "6\r\nout"),
    ];

    let ends = raw_answers.map(|text| {
        let (address, _connections) = start_backend(move |mut stream| {
            let _gone = stream.write_all(text.as_bytes());
        });
        runner_fixture(address).run(NEVER)
    });

    assert!(
        ends.iter().all(|end| matches!(end, End::Unknown(_))),
        "{ends:?}"
    );
}

#[test]
fn answer_over_the_limit_fails_the_task() {
    let (address, _connections) = backend_that_answers("200 OK", "seventeen letters");

    let end = runner_fixture(address).run(NEVER);

    assert!(matches!(end, End::Failed(_)), "{end:?}");
}
