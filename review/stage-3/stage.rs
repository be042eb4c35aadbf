//! Stand-ins for the users' platform, and a launcher for the project's programs, for the script
//! cases of the third review. Only the standard library is used.
//!
//! A stage is a small deployment on loopback addresses: a store, entries and agents as separate
//! processes with the commands of `deploy/system.toml`, and an executor beside each agent. Clients
//! are sockets of the case itself. All that the stand-ins see goes into one journal.

#![allow(dead_code, reason = "no case uses every stand-in")]

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval of an executor's status reports (`heartbeatMs`).
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Longest lease that an executor grants (`holdMaxMs`).
const HOLD_MAX_MS: u64 = 1_000;

/// Time that an executor takes to stop a task; the pages allow 50 ms (`stopMs`).
const STOP_TIME: Duration = Duration::from_millis(20);

/// Interval at which an executor looks for tasks that end.
const STEP: Duration = Duration::from_millis(2);

/// Longest time for the programs to start and to find each other.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Host header and path prefix of the only route.
pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/jobs/";

/// Service that the route names and all executors offer.
pub const SERVICE: &str = "desk";

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

// ---------------------------------------------------------------- JSON

/// A JSON value; numbers are kept as the text that was sent.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut rest = text;
        Self::parse_value(&mut rest)
    }

    fn skip_space(rest: &mut &[u8]) {
        while rest.first().is_some_and(u8::is_ascii_whitespace) {
            *rest = &rest[1..];
        }
    }

    fn take(rest: &mut &[u8], wanted: u8) -> Option<()> {
        Self::skip_space(rest);
        (rest.first() == Some(&wanted)).then(|| *rest = &rest[1..])
    }

    fn parse_value(rest: &mut &[u8]) -> Option<Self> {
        Self::skip_space(rest);
        match rest.first()? {
            b'"' => Self::parse_text(rest).map(Self::Text),
            b'[' => {
                Self::take(rest, b'[')?;
                let mut list = Vec::new();
                while Self::take(rest, b']').is_none() {
                    list.push(Self::parse_value(rest)?);
                    let _comma = Self::take(rest, b',');
                }
                Some(Self::List(list))
            }
            b'{' => {
                Self::take(rest, b'{')?;
                let mut table = BTreeMap::new();
                while Self::take(rest, b'}').is_none() {
                    Self::skip_space(rest);
                    let key = Self::parse_text(rest)?;
                    Self::take(rest, b':')?;
                    table.insert(key, Self::parse_value(rest)?);
                    let _comma = Self::take(rest, b',');
                }
                Some(Self::Table(table))
            }
            _ => {
                let length = rest
                    .iter()
                    .position(|byte| b",]}".contains(byte) || byte.is_ascii_whitespace())
                    .unwrap_or(rest.len());
                let word = std::str::from_utf8(&rest[..length]).ok()?.to_owned();
                *rest = &rest[length..];
                Some(match word.as_str() {
                    "null" => Self::Null,
                    "true" => Self::Bool(true),
                    "false" => Self::Bool(false),
                    _ => Self::Number(word),
                })
            }
        }
    }

    fn parse_text(rest: &mut &[u8]) -> Option<String> {
        Self::take(rest, b'"')?;
        let mut bytes = Vec::new();
        loop {
            let (&byte, tail) = rest.split_first()?;
            *rest = tail;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let (&escaped, tail) = rest.split_first()?;
                    *rest = tail;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        // No case sends other characters that need an escape.
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    pub fn field(&self, name: &str) -> &Self {
        match self {
            Self::Table(table) => table.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(number) => number.parse().ok(),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

// ---------------------------------------------------------------- HTTP

/// A request that a stand-in has read, or an answer that a client has read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Path of a request without its query.
    fn path(&self) -> &str {
        let target = self.first_line.split(' ').nth(1).unwrap_or("");
        target.split('?').next().unwrap_or("")
    }

    fn parameter(&self, name: &str) -> Option<&str> {
        let target = self.first_line.split(' ').nth(1)?;
        let (_path, query) = target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _value)| *key == name)
            .map(|(_key, value)| value)
    }

    /// Status of an answer, 0 if there is none.
    pub fn status(&self) -> u16 {
        let word = self.first_line.split(' ').nth(1).unwrap_or("");
        word.parse().unwrap_or(0)
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message; `None` if the connection ends before it is whole.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if message.first_line.is_empty() {
            text.clone_into(&mut message.first_line);
        } else if text.is_empty() {
            break;
        } else if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = message.headers.get("content-length");
    message.body = vec![0; length.map_or(0, |text| text.parse().unwrap_or(0))];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Returns a request as it is sent. `headers` are whole lines with their ends.
pub fn encode_request(method: &str, path: &str, host: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}Content-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn write_answer(stream: &mut TcpStream, status: u16, body: &str) -> std::io::Result<()> {
    let answer = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(answer.as_bytes())
}

/// Serves requests on a listener until `is_open` is false. `answer` returns status and body.
/// `connections` gets each accepted connection.
fn serve<F>(
    listener: TcpListener,
    is_open: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    answer: F,
) where
    F: Fn(&Message) -> Option<(u16, String)> + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    listener
        .set_nonblocking(true)
        .expect("a listener can be polled");
    thread::spawn(move || {
        while is_open.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _from)) => {
                    let _result = stream.set_nonblocking(false);
                    let _result = stream.set_nodelay(true);
                    if let Ok(clone) = stream.try_clone() {
                        lock(&connections).push(clone);
                    }
                    let answer = Arc::clone(&answer);
                    thread::spawn(move || serve_connection(stream, answer.as_ref()));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => thread::sleep(STEP),
                Err(_) => thread::sleep(STEP),
            }
        }
    });
}

fn serve_connection<F>(stream: TcpStream, answer: &F)
where
    F: Fn(&Message) -> Option<(u16, String)>,
{
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        let Some((status, body)) = answer(&request) else {
            return;
        };
        if write_answer(&mut writer, status, &body).is_err() {
            return;
        }
    }
}

// ---------------------------------------------------------------- journal

/// What the stand-ins have seen, with the time since the start of the stage.
#[derive(Debug, Clone)]
pub struct Journal {
    started_at: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Journal {
    fn new() -> Self {
        Self {
            started_at: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn add<S>(&self, line: S)
    where
        S: Into<String>,
    {
        lock(&self.lines).push((self.now(), line.into()));
    }

    /// Writes the record of the case and returns whether that worked.
    fn write(&self, path: &str) -> bool {
        let mut text = String::new();
        for (at, line) in lock(&self.lines).iter() {
            let _result = writeln!(text, "{:9.3} s  {line}", at.as_secs_f64());
        }
        std::fs::write(path, text).is_ok()
    }
}

// ---------------------------------------------------------------- executor

/// Kind and size of an executor.
#[derive(Debug, Clone)]
pub struct Kind {
    pub label: &'static str,
    pub cpu_millicores: u64,
}

/// A run of a task at an executor.
#[derive(Debug, Clone)]
struct Run {
    task: String,
    number: u64,
    spec: String,
    started_at: Instant,
    length: Duration,
    /// When a stop takes effect.
    stops_at: Option<Instant>,
}

/// A start that an executor has carried out, for the judgement of a case.
#[derive(Debug, Clone)]
pub struct Start {
    pub at: Duration,
    /// When the run ended, `None` while it goes on.
    pub ended_at: Option<Duration>,
    pub executor: usize,
    pub boot: u32,
    pub label: &'static str,
    pub capacity: u64,
    /// CPU of all that runs there, this start included.
    pub used: u64,
    pub task: String,
    pub run: u64,
    pub spec: String,
}

#[derive(Debug)]
struct ExecutorState {
    boot: u32,
    id: String,
    kind: Kind,
    booted_at: Instant,
    born_ms: u64,
    sequence: u64,
    highest_token: u64,
    lease_until_ms: u64,
    running: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    closed_runs: HashMap<String, u64>,
    is_up: bool,
}

/// Stand-in for an executor, which follows `PROTOCOL.md`.
#[derive(Debug)]
pub struct Executor {
    index: usize,
    address: SocketAddr,
    agent_address: SocketAddr,
    journal: Journal,
    state: Mutex<ExecutorState>,
    starts: Arc<Mutex<Vec<Start>>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    is_listening: Mutex<Arc<AtomicBool>>,
    /// CPU of one task of a job, by the job's id in lower case.
    cpu_of_jobs: Arc<Mutex<HashMap<String, u64>>>,
}

/// Returns the length that a spec such as `work 900` asks for, in milliseconds.
fn work_of(spec: &str) -> Duration {
    let number = spec.split(' ').nth(1).and_then(|word| word.parse().ok());
    Duration::from_millis(number.unwrap_or(100))
}

impl Executor {
    fn clock_ms(state: &ExecutorState) -> u64 {
        state.booted_at.elapsed().as_millis() as u64
    }

    fn cpu_of(&self, task: &str) -> u64 {
        let job = task.split('.').next().unwrap_or("").to_ascii_lowercase();
        lock(&self.cpu_of_jobs).get(&job).copied().unwrap_or(0)
    }

    fn listen(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(STEP),
            }
        };
        let is_open = Arc::new(AtomicBool::new(true));
        *lock(&self.is_listening) = Arc::clone(&is_open);
        let executor = Arc::clone(self);
        let boot = lock(&self.state).boot;
        serve(
            listener,
            is_open,
            Arc::clone(&self.connections),
            move |request| executor.answer(request, boot),
        );
    }

    /// Ends the process of the executor: its connections break and its runs are gone.
    pub fn crash(&self) {
        lock(&self.is_listening).store(false, Ordering::SeqCst);
        let mut state = lock(&self.state);
        state.is_up = false;
        for run in std::mem::take(&mut state.running) {
            self.record_end(&run, "gone with the executor");
        }
        for stream in lock(&self.connections).drain(..) {
            let _result = stream.shutdown(Shutdown::Both);
        }
        self.journal.add(format!("executor {} crashes", self.index));
    }

    /// Starts the executor again as another kind, under the id that it had or under a new one.
    pub fn restart(self: &Arc<Self>, keeps_id: bool, kind: Kind) {
        {
            let mut state = lock(&self.state);
            let boot = state.boot + 1;
            let id = if keeps_id {
                state.id.clone()
            } else {
                format!("i-{}-{boot}", self.index)
            };
            self.journal.add(format!(
                "executor {} starts again as boot {boot} under the id {id}: kind {}, {} millicores",
                self.index, kind.label, kind.cpu_millicores
            ));
            *state = new_boot(boot, id, kind);
        }
        self.listen();
        // The agent may be frozen, so that nothing answers.
        let executor = Arc::clone(self);
        thread::spawn(move || executor.send_heartbeat());
    }

    fn record_end(&self, run: &Run, how: &str) {
        let now = self.journal.now();
        self.journal.add(format!(
            "executor {} ends {} run {}: {how}",
            self.index, run.task, run.number
        ));
        for start in lock(&self.starts).iter_mut() {
            if start.executor == self.index
                && start.run == run.number
                && start.task == run.task
                && start.ended_at.is_none()
            {
                start.ended_at = Some(now);
            }
        }
    }

    /// Ends the runs that are due: done, stopped, or killed with the lease.
    fn step(&self, state: &mut ExecutorState) {
        let clock_ms = Self::clock_ms(state);
        let now = Instant::now();
        let has_lapsed = clock_ms > state.lease_until_ms;
        let mut position = 0;
        while position < state.running.len() {
            let run = &state.running[position];
            let how = if run.stops_at.is_some_and(|at| at <= now) {
                "stopped"
            } else if run.started_at + run.length <= now {
                "done"
            } else if has_lapsed {
                "lapsed"
            } else {
                position += 1;
                continue;
            };
            let run = state.running.remove(position);
            state.last_end += 1;
            let row = (state.last_end, run.task.clone(), run.number, how);
            state.ended.push(row);
            close_run(state, &run.task, run.number);
            self.record_end(&run, how);
        }
    }

    fn answer(&self, request: &Message, boot: u32) -> Option<(u16, String)> {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = lock(&self.state);
        if !state.is_up || state.boot != boot {
            return None;
        }
        self.step(&mut state);
        let expected = request.headers.get("expect-instance");
        if expected.is_some_and(|id| *id != state.id) {
            return Some((421, format!("{{\"clockMs\":{}}}", Self::clock_ms(&state))));
        }
        let token = body.field("fencingToken").number().unwrap_or(0);
        if token < state.highest_token {
            return Some(refusal(&state, "fence"));
        }
        state.highest_token = token;
        if let Some(until) = body.field("untilMs").number() {
            let longest = Self::clock_ms(&state) + HOLD_MAX_MS;
            state.lease_until_ms = state.lease_until_ms.max(until.min(longest));
        }
        match request.path() {
            "/api/run-start" => Some(self.start(&mut state, &body)),
            "/api/run-stop" => Some(self.stop(&mut state, &body)),
            "/api/hold" => {
                let acked = body.field("ackedUpto").number().unwrap_or(0);
                state.ended.retain(|(number, ..)| *number > acked);
                drop(state);
                self.hold(&body, boot)
            }
            _ => Some((404, String::new())),
        }
    }

    fn start(&self, state: &mut ExecutorState, body: &Json) -> (u16, String) {
        let task = body.field("task").text().to_owned();
        let number = body.field("run").number().unwrap_or(0);
        let is_same = |run: &Run| run.task == task && run.number == number;
        if state.running.iter().any(is_same) {
            return (200, format!("{{\"clockMs\":{}}}", Self::clock_ms(state)));
        }
        let closed = state.closed_runs.get(&task).copied().unwrap_or(0);
        if number <= closed {
            return refusal(state, "old");
        }
        let until = body.field("untilMs").number().unwrap_or(0);
        if until <= Self::clock_ms(state) {
            return refusal(state, "late");
        }
        let spec = body.field("spec").text().to_owned();
        state.running.push(Run {
            task: task.clone(),
            number,
            length: work_of(&spec),
            spec: spec.clone(),
            started_at: Instant::now(),
            stops_at: None,
        });
        let used = state.running.iter().map(|run| self.cpu_of(&run.task)).sum();
        self.journal.add(format!(
            "executor {} boot {} starts {task} run {number}: {used} of {} millicores in use",
            self.index, state.boot, state.kind.cpu_millicores
        ));
        lock(&self.starts).push(Start {
            at: self.journal.now(),
            ended_at: None,
            executor: self.index,
            boot: state.boot,
            label: state.kind.label,
            capacity: state.kind.cpu_millicores,
            used,
            task,
            run: number,
            spec,
        });
        (200, format!("{{\"clockMs\":{}}}", Self::clock_ms(state)))
    }

    fn stop(&self, state: &mut ExecutorState, body: &Json) -> (u16, String) {
        let task = body.field("task").text();
        let number = body.field("run").number().unwrap_or(0);
        close_run(state, task, number);
        for run in &mut state.running {
            if run.task == task && run.number == number {
                run.stops_at.get_or_insert(Instant::now() + STOP_TIME);
            }
        }
        self.journal.add(format!(
            "executor {} is told to stop {task} run {number}",
            self.index
        ));
        (200, format!("{{\"clockMs\":{}}}", Self::clock_ms(state)))
    }

    /// Answers with the lists as soon as an end is listed, or after the wait that was asked for.
    fn hold(&self, body: &Json, boot: u32) -> Option<(u16, String)> {
        let wait = Duration::from_millis(body.field("waitMs").number().unwrap_or(0));
        let asked_at = Instant::now();
        loop {
            {
                let mut state = lock(&self.state);
                if !state.is_up || state.boot != boot {
                    return None;
                }
                self.step(&mut state);
                if !state.ended.is_empty() || asked_at.elapsed() >= wait {
                    return Some((200, lists(&state)));
                }
            }
            thread::sleep(STEP);
        }
    }

    fn send_heartbeat(&self) {
        let (path, body) = {
            let mut state = lock(&self.state);
            if !state.is_up {
                return;
            }
            state.sequence += 1;
            let body = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"north\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\
                 \"memMb\":32768,\"gpu\":0}},\"labels\":[\"{}\",\"r1\"],\"clockMs\":{},\
                 \"sequence\":{},\"born\":{}}}",
                self.address,
                state.kind.cpu_millicores,
                state.kind.label,
                Self::clock_ms(&state),
                state.sequence,
                state.born_ms
            );
            (format!("/api/Instances.Heartbeat/{}", state.id), body)
        };
        let request = encode_request("POST", &path, "agent", "", &body);
        let _answer = exchange(self.agent_address, &request, Duration::from_secs(1));
    }

    fn send_heartbeats(self: &Arc<Self>) {
        let executor = Arc::clone(self);
        thread::spawn(move || {
            loop {
                executor.send_heartbeat();
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
    }

    fn step_forever(self: &Arc<Self>) {
        let executor = Arc::clone(self);
        thread::spawn(move || {
            loop {
                thread::sleep(STEP);
                executor.step(&mut lock(&executor.state));
            }
        });
    }
}

fn close_run(state: &mut ExecutorState, task: &str, number: u64) {
    let closed = state.closed_runs.entry(task.to_owned()).or_default();
    *closed = number.max(*closed);
}

fn refusal(state: &ExecutorState, reason: &str) -> (u16, String) {
    let clock_ms = Executor::clock_ms(state);
    (409, format!("{{\"clockMs\":{clock_ms},\"reason\":\"{reason}\"}}"))
}

fn lists(state: &ExecutorState) -> String {
    let running: Vec<String> = state
        .running
        .iter()
        .map(|run| {
            let share = run.started_at.elapsed().as_secs_f64() / run.length.as_secs_f64();
            let percent = (share * 100.0).min(99.0) as u8;
            format!("[\"{}\",{},\"\",{percent},0]", run.task, run.number)
        })
        .collect();
    let ended: Vec<String> = state
        .ended
        .iter()
        .take(500)
        .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
        .collect();
    format!(
        "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
        Executor::clock_ms(state),
        state.born_ms,
        running.join(","),
        ended.join(",")
    )
}

fn new_boot(boot: u32, id: String, kind: Kind) -> ExecutorState {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    ExecutorState {
        boot,
        id,
        kind,
        booted_at: Instant::now(),
        born_ms: since_epoch.as_millis() as u64,
        sequence: 0,
        highest_token: 0,
        lease_until_ms: 0,
        running: Vec::new(),
        ended: Vec::new(),
        last_end: 0,
        closed_runs: HashMap::new(),
        is_up: true,
    }
}

/// Sends a request on a connection of its own and reads the answer; `None` if there is none.
pub fn exchange(address: SocketAddr, request: &str, limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

// ---------------------------------------------------------------- store

#[derive(Debug, Clone)]
struct Row {
    table: String,
    key: String,
    /// Base64, as it was written.
    value: String,
    version: u64,
}

/// Stand-in for the platform's store: rows, reads and watches.
#[derive(Debug, Default)]
struct Store {
    rows: Mutex<(u64, Vec<Row>)>,
}

impl Store {
    fn put(&self, table: &str, key: &str, value: String) {
        let mut rows = lock(&self.rows);
        rows.0 += 1;
        let version = rows.0;
        rows.1.retain(|row| row.table != table || row.key != key);
        rows.1.push(Row {
            table: table.to_owned(),
            key: key.to_owned(),
            value,
            version,
        });
    }

    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        let table = request.parameter("table").unwrap_or("");
        match request.path() {
            "/api/rows-get" => Some((200, self.rows_after(table, 0).1)),
            "/api/rows-feed" => {
                let number = |name| request.parameter(name).and_then(|text| text.parse().ok());
                let after = number("after").unwrap_or(0);
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                let asked_at = Instant::now();
                loop {
                    let (count, body) = self.rows_after(table, after);
                    if count > 0 || asked_at.elapsed() >= wait {
                        return Some((200, body));
                    }
                    thread::sleep(STEP);
                }
            }
            "/api/rows-tx" => {
                let body = Json::parse(&request.body)?;
                for put in body.field("puts").list() {
                    let value = put.field("value").text().to_owned();
                    self.put(put.field("table").text(), put.field("key").text(), value);
                }
                Some((200, self.rows_after("", u64::MAX).1))
            }
            _ => Some((404, String::new())),
        }
    }

    fn rows_after(&self, table: &str, after: u64) -> (usize, String) {
        let rows = lock(&self.rows);
        let mut wanted: Vec<&Row> = rows
            .1
            .iter()
            .filter(|row| row.table == table && row.version > after)
            .collect();
        wanted.sort_by(|a, b| a.key.cmp(&b.key));
        let texts: Vec<String> = wanted
            .iter()
            .map(|row| {
                format!(
                    "{{\"table\":\"{}\",\"part\":\"\",\"key\":\"{}\",\"value\":\"{}\",\
                     \"schemaVersion\":{}}}",
                    row.table, row.key, row.value, row.version
                )
            })
            .collect();
        let body = format!(
            "{{\"rows\":[{}],\"truncated\":false,\"schemaVersion\":{},\"nowMs\":1}}",
            texts.join(","),
            rows.0
        );
        (texts.len(), body)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for position in 0..4 {
            if position <= chunk.len() {
                let digit = (bits >> (18 - 6 * position)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- stage

/// Whether a signal could not be sent, so that the case says nothing.
static HAS_FAILED_SIGNAL: AtomicBool = AtomicBool::new(false);

/// A process of the project.
#[derive(Debug)]
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    fn signal(&self, name: &str) {
        // The command of the shell, since not every machine has a program of that name.
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("bash").args(["-c", &command]).status();
        if !status.is_ok_and(|status| status.success()) {
            HAS_FAILED_SIGNAL.store(true, Ordering::SeqCst);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _result = self.child.kill();
        let _result = self.child.wait();
    }
}

/// A small deployment.
pub struct Stage {
    pub journal: Journal,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    /// Addresses of the entries for clients.
    pub fronts: Vec<SocketAddr>,
    readiness: Vec<SocketAddr>,
    pub executors: Vec<Arc<Executor>>,
    starts: Arc<Mutex<Vec<Start>>>,
    cpu_of_jobs: Arc<Mutex<HashMap<String, u64>>>,
    folder: String,
}

/// Ports of a stage; each VM has a loopback address of its own, and ports are the same on all VMs.
#[derive(Debug, Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    peer: u16,
    app: u16,
    store: u16,
    metrics: u16,
}

const FIRST_ENTRY: u8 = 10;
const FIRST_AGENT: u8 = 100;
const STORE_HOST: u8 = 1;

/// Returns ports that are free on the addresses of the stage, `None` if there are none.
fn find_ports(network: u8, hosts: &[u8]) -> Option<Ports> {
    let is_free = |port: u16| {
        hosts
            .iter()
            .all(|host| TcpListener::bind(address(network, *host, port)).is_ok())
    };
    let first = 20_000 + (std::process::id() % 20_000) as u16;
    let mut free = (first..first + 400).filter(|port| is_free(*port));
    Some(Ports {
        front: free.next()?,
        ready: free.next()?,
        control: free.next()?,
        peer: free.next()?,
        app: free.next()?,
        store: free.next()?,
        metrics: free.next()?,
    })
}

fn address(network: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(127, 78, network, host), port))
}

impl Stage {
    /// Starts the stand-ins and the programs, and waits until all entries are ready and know all
    /// executors. `folder` gets the logs of the programs.
    ///
    /// # Errors
    /// Returns why the stage could not start.
    pub fn start(folder: &str, entry_count: u8, kinds: &[Kind]) -> Result<Self, String> {
        let journal = Journal::new();
        let network = (std::process::id() % 250) as u8;
        let entry_hosts: Vec<u8> = (0..entry_count).map(|i| FIRST_ENTRY + i).collect();
        let agent_hosts: Vec<u8> = (0..kinds.len() as u8).map(|i| FIRST_AGENT + i).collect();
        let all: Vec<u8> = [entry_hosts.clone(), agent_hosts.clone(), vec![STORE_HOST]].concat();
        let ports = find_ports(network, &all).ok_or("no free ports")?;
        let at = |host, port| address(network, host, port);

        let store = Arc::new(Store::default());
        store.put("op", "config", base64(CONFIGURATION.as_bytes()));
        let listener = TcpListener::bind(at(STORE_HOST, ports.store)).map_err(|e| e.to_string())?;
        let is_open = Arc::new(AtomicBool::new(true));
        serve(listener, is_open, Arc::default(), move |request| {
            store.answer(request)
        });

        let starts: Arc<Mutex<Vec<Start>>> = Arc::default();
        let cpu_of_jobs: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
        let executors: Vec<Arc<Executor>> = kinds
            .iter()
            .enumerate()
            .map(|(index, kind)| {
                Arc::new(Executor {
                    index,
                    address: at(agent_hosts[index], ports.app),
                    agent_address: at(agent_hosts[index], ports.control),
                    journal: journal.clone(),
                    state: Mutex::new(new_boot(1, format!("i-{index}"), kind.clone())),
                    starts: Arc::clone(&starts),
                    connections: Arc::default(),
                    is_listening: Mutex::default(),
                    cpu_of_jobs: Arc::clone(&cpu_of_jobs),
                })
            })
            .collect();
        for executor in &executors {
            executor.listen();
            executor.step_forever();
        }

        let seeds: Vec<String> = entry_hosts
            .iter()
            .take(3)
            .map(|host| at(*host, ports.control).to_string())
            .collect();
        let common = |host: u8| {
            format!(
                "--peer-port {} --store {} --seeds {} --metrics-listen {} --resubmit-ms 1300 \
                 --longest-lease-ms 1000 --grace-s 6",
                ports.peer,
                at(STORE_HOST, ports.store),
                seeds.join(","),
                at(host, ports.metrics)
            )
        };
        let mut stage = Self {
            journal,
            entries: Vec::new(),
            agents: Vec::new(),
            fronts: entry_hosts.iter().map(|h| at(*h, ports.front)).collect(),
            readiness: entry_hosts.iter().map(|h| at(*h, ports.ready)).collect(),
            executors,
            starts,
            cpu_of_jobs,
            folder: folder.to_owned(),
        };
        for (index, host) in entry_hosts.iter().enumerate() {
            let words = format!(
                "spool --name front-{index} --data-centre north --listen {} --ready-listen {} \
                 --peer-listen {} {} --far-factor 1.5",
                at(*host, ports.front),
                at(*host, ports.ready),
                at(*host, ports.peer),
                common(*host)
            );
            let process = stage.spawn("ibisspool", &format!("front-{index}"), &words, "260")?;
            stage.entries.push(process);
        }
        for (index, host) in agent_hosts.iter().enumerate() {
            let words = format!(
                "spool --name side-{index} --data-centre north --listen {} --server {} {}",
                at(*host, ports.control),
                at(*host, ports.app),
                common(*host)
            );
            let process = stage.spawn("ibisspool-agent", &format!("side-{index}"), &words, "128")?;
            stage.agents.push(process);
        }
        thread::sleep(Duration::from_millis(300));
        for executor in &stage.executors {
            executor.send_heartbeats();
        }
        stage.wait_until_ready()?;
        Ok(stage)
    }

    fn spawn(&self, program: &str, name: &str, words: &str, memory: &str) -> Result<Process, String> {
        let path = format!("target/release/{program}");
        let log_path = format!("{}/{name}.log", self.folder);
        let log = std::fs::File::create(&log_path).map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(&path)
            .args(words.split_whitespace())
            .env("IBISSPOOL_MEMORY_MB", memory)
            .env("IBISSPOOL_MAX_FDS", "4100")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("cannot start {path}: {error}"))?;
        self.journal.add(format!("started {name}: {path} {words}"));
        Ok(Process {
            name: name.to_owned(),
            child,
        })
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let request = "GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        let started_at = Instant::now();
        while started_at.elapsed() < START_LIMIT {
            let is_ready = |address: &SocketAddr| {
                exchange(*address, request, Duration::from_secs(1))
                    .is_some_and(|answer| answer.status() == 200)
            };
            if self.readiness.iter().all(is_ready) {
                // All agents have connected by now, and the next status reports follow.
                thread::sleep(HEARTBEAT_INTERVAL + Duration::from_millis(500));
                self.journal.add("all entries are ready");
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("not ready within {} s", START_LIMIT.as_secs()))
    }

    /// Tells the executors how much CPU each task of a job needs.
    pub fn declare_job(&self, id: &str, cpu_millicores: u64) {
        lock(&self.cpu_of_jobs).insert(id.to_ascii_lowercase(), cpu_millicores);
    }

    pub fn starts(&self) -> Vec<Start> {
        lock(&self.starts).clone()
    }

    /// Sends a request to an entry on a connection of its own and notes it and its answer.
    pub fn request(&self, entry: usize, method: &str, id: &str, body: &str, limit: Duration) -> u16 {
        let path = format!("{PREFIX}{id}");
        self.journal.add(format!("client sends {method} {path} to front-{entry} {body}"));
        let headers = format!("Deadline-Ms: {}\r\n", limit.as_millis());
        let request = encode_request(method, &path, HOST, &headers, body);
        let answer = exchange(self.fronts[entry], &request, limit);
        let status = answer.as_ref().map_or(0, Message::status);
        let text = answer.map_or_else(|| "no answer".to_owned(), |answer| answer.body_text());
        self.journal.add(format!("client gets {status} {text} for {method} {path}"));
        status
    }

    pub fn freeze(&self, process: &Process) {
        self.journal.add(format!("{} freezes", process.name));
        process.signal("STOP");
    }

    pub fn thaw(&self, process: &Process) {
        process.signal("CONT");
        self.journal.add(format!("{} wakes", process.name));
    }

    /// Writes the record, ends all processes and exits with the verdict.
    pub fn finish(mut self, broken: &[String]) -> ! {
        for line in broken {
            self.journal.add(format!("BROKEN: {line}"));
        }
        let verdict = if broken.is_empty() { HELD } else { BROKEN };
        self.journal.add(format!("verdict {verdict}"));
        self.entries.clear();
        self.agents.clear();
        let is_written = self.journal.write(&format!("{}/record.txt", record_folder()));
        for line in broken {
            println!("BROKEN: {line}");
        }
        println!("{} starts, verdict {verdict}", self.starts().len());
        let has_run = is_written && !HAS_FAILED_SIGNAL.load(Ordering::SeqCst);
        std::process::exit(if has_run { verdict } else { NOT_RUN });
    }
}

/// Folder of the case, from the command line.
fn record_folder() -> String {
    std::env::args().nth(1).unwrap_or_else(|| ".".to_owned())
}

/// Whether the case is run with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Starts the stage of a case, or exits because the case cannot run.
pub fn start_or_exit(entry_count: u8, kinds: &[Kind]) -> Stage {
    let logs = std::env::args().nth(2).unwrap_or_else(|| ".".to_owned());
    match Stage::start(&logs, entry_count, kinds) {
        Ok(stage) => stage,
        Err(error) => {
            println!("the case could not run: {error}");
            std::process::exit(NOT_RUN);
        }
    }
}

/// Returns the body of a job that need not be kept: steps of `(count, cpu, extra fields)`.
pub fn job(spec: &str, steps: &[(u32, u64, &str)]) -> String {
    let steps: Vec<String> = steps
        .iter()
        .map(|(count, cpu, extra)| {
            format!("{{\"count\":{count},\"cpu\":{cpu},\"memMb\":64{extra}}}")
        })
        .collect();
    format!(
        "{{\"spec\":\"{spec}\",\"bestEffort\":true,\"steps\":[{}]}}",
        steps.join(",")
    )
}

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"desk.example","pathPrefix":"/jobs/","kind":"unsafe","timeoutMs":30000,"targetLatencyMs":10000,"priority":0,"service":"desk","maxAttempts":3,"stretch":4.0}],"services":[{"name":"desk","healthPath":"/health","maxConnections":64,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"rejectsOverload":false,"spare":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
