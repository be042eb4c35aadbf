//! A small deployment on loopback addresses: entries and agents, started with the commands of
//! `deploy/system.toml`, a store and executors.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::executor::{Description, Executor};
use crate::http::{self, Reply};
use crate::record::Record;
use crate::store::Store;
use crate::{BROKEN, HELD, NOT_RUN};

const FRONT_PORT: u16 = 8161;
const READY_PORT: u16 = 8167;
const CONTROL_PORT: u16 = 8166;
const APP_PORT: u16 = 8165;
const STORE_PORT: u16 = 8169;
const PEER_PORT: u16 = 7720;

/// Longest time until all entries answer their readiness check with 200.
const START_LIMIT: Duration = Duration::from_secs(15);
/// Time after which a case that hasn't ended counts as not run; the issue allows 120 s.
const CASE_LIMIT: Duration = Duration::from_secs(110);
/// Zones of the deployment; machines are put into them in turn.
pub const ZONES: [&str; 2] = ["centro-a", "centro-b"];

/// Size of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub entries: u8,
    /// Capacity of each executor in thousandths of a core.
    pub capacity_cpu: u32,
}

/// A running deployment. Its processes end when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    pub store: Arc<Store>,
    pub executors: Vec<Arc<Executor>>,
    pub record: Arc<Record>,
    size: Size,
    subnet: (u8, u8),
    logs: PathBuf,
}

/// The processes that this case has started, by name. The time limit of the case ends them too.
static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

fn end_children() {
    let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    for (_name, mut child) in children.drain(..) {
        let _already_ended = child.kill();
        let _status = child.wait();
    }
}

impl Deployment {
    /// Starts the store, the executors, the entries and the agents. `services` holds what the
    /// executor of each agent offers; `config` is the operator's first configuration.
    pub fn start(
        case: &Path,
        size: Size,
        services: &[&str],
        config: &str,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let record = Arc::new(Record::create(case)?);
        let process = std::process::id();
        let subnet = (64 + (process >> 8) as u8 % 128, process as u8);
        let logs = std::env::temp_dir().join(format!("ibisspool-review-{process}"));
        std::fs::create_dir_all(&logs)?;
        let store = Store::start(address(subnet, 250, STORE_PORT))?;
        store.put("op", "config", config);
        let mut deployment = Self {
            store,
            executors: Vec::new(),
            record,
            size,
            subnet,
            logs,
        };
        for index in 0..size.entries {
            deployment.start_entry(index)?;
        }
        for (index, service) in (0u8..).zip(services) {
            deployment.start_agent(index)?;
            let description = Description {
                id: format!("i-{index}-{process:x}"),
                service: (*service).to_owned(),
                zone: zone(index).to_owned(),
                capacity_cpu: size.capacity_cpu,
                address: deployment.executor_address(index),
                agent: deployment.agent_address(index),
            };
            let executor = Executor::start(description, &deployment.record)?;
            deployment.executors.push(executor);
        }
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    /// Address of an entry for clients.
    pub fn front(&self, entry: u8) -> SocketAddr {
        address(self.subnet, 1 + entry, FRONT_PORT)
    }

    /// Address of an entry for readiness checks.
    pub fn ready(&self, entry: u8) -> SocketAddr {
        address(self.subnet, 1 + entry, READY_PORT)
    }

    /// Address of an agent for status reports.
    pub fn agent_address(&self, agent: u8) -> SocketAddr {
        address(self.subnet, 101 + agent, CONTROL_PORT)
    }

    fn executor_address(&self, agent: u8) -> SocketAddr {
        address(self.subnet, 101 + agent, APP_PORT)
    }

    /// Starts the entry with this number.
    pub fn start_entry(&mut self, index: u8) -> Result<(), Box<dyn std::error::Error>> {
        let name = format!("front-{}-{index}", zone(index));
        let ip = address(self.subnet, 1 + index, 0).ip();
        self.start_process("entry", &name, ip, zone(index))
    }

    fn start_agent(&mut self, index: u8) -> Result<(), Box<dyn std::error::Error>> {
        let name = format!("side-{}-{index}", zone(index));
        let ip = address(self.subnet, 101 + index, 0).ip();
        self.start_process("agent", &name, ip, zone(index))
    }

    fn start_process(
        &mut self,
        role: &str,
        name: &str,
        ip: IpAddr,
        zone: &str,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let seeds: Vec<String> = (0..self.size.entries.min(3))
            .map(|entry| address(self.subnet, 1 + entry, CONTROL_PORT).to_string())
            .collect();
        let settings = [
            ("nodeName", name.to_owned()),
            ("zone", zone.to_owned()),
            ("ip", ip.to_string()),
            ("listen.front", SocketAddr::new(ip, FRONT_PORT).to_string()),
            ("listen.ready", SocketAddr::new(ip, READY_PORT).to_string()),
            (
                "listen.control",
                SocketAddr::new(ip, CONTROL_PORT).to_string(),
            ),
            ("app", SocketAddr::new(ip, APP_PORT).to_string()),
            ("internalPorts.0", PEER_PORT.to_string()),
            (
                "platform.address",
                address(self.subnet, 250, STORE_PORT).to_string(),
            ),
            ("seedNodes", seeds.join(",")),
            ("bounds.resendMs", "1300".to_owned()),
            ("bounds.holdMaxMs", "1000".to_owned()),
            ("bounds.graceS", "6".to_owned()),
            ("bounds.farFactor", "1.5".to_owned()),
        ];
        let mut command = run_line(role)?;
        for (placeholder, value) in settings {
            command = command.replace(&format!("{{{{{placeholder}}}}}"), &value);
        }
        let mut words = command.split(' ');
        let program = words.next().ok_or("the deploy file names no program")?;
        let log = File::create(self.logs.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .args(words)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .line(format!("started {name} as process {}", child.id()));
        CHILDREN
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((name.to_owned(), child));
        Ok(())
    }

    fn wait_until_ready(&self) -> Result<(), Box<dyn std::error::Error>> {
        let until = Instant::now() + START_LIMIT;
        for entry in 0..self.size.entries {
            while !self.is_ready(entry, Duration::from_secs(1)) {
                if Instant::now() > until {
                    return Err(format!("entry {entry} isn't ready after {START_LIMIT:?}").into());
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        // All agents have reported to each entry within two of their report intervals.
        std::thread::sleep(Duration::from_secs(2));
        Ok(())
    }

    /// Returns whether an entry answers its readiness check with 200 within a time.
    pub fn is_ready(&self, entry: u8, timeout: Duration) -> bool {
        let reply = http::call(self.ready(entry), "GET", "/api/readiness", &[], "", timeout);
        reply.is_some_and(|reply| reply.status == 200)
    }

    /// Calls an entry as a client and records the call and its answer.
    pub fn client_call(
        &self,
        entry: u8,
        method: &str,
        path: &str,
        host: &str,
        deadline_ms: u64,
        body: &str,
    ) -> Option<Reply> {
        let shown: String = body.chars().take(200).collect();
        self.record
            .line(format!("client -> entry {entry}: {method} {path} {shown}"));
        let deadline = deadline_ms.to_string();
        let headers = [("Host", host), ("Deadline-Ms", &*deadline)];
        let timeout = Duration::from_millis(deadline_ms);
        let reply = http::call(self.front(entry), method, path, &headers, body, timeout);
        let shown = reply.as_ref().map_or_else(
            || "no response".to_owned(),
            |reply| format!("{} {}", reply.status, reply.body),
        );
        self.record
            .line(format!("client <- entry {entry}: {method} {path}: {shown}"));
        reply
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        end_children();
        let _result = std::fs::remove_dir_all(&self.logs);
    }
}

/// Runs a case and ends this process with its exit code.
pub fn run_case<F>(case: F) -> !
where
    F: FnOnce(&Path) -> Result<bool, Box<dyn std::error::Error>>,
{
    std::thread::spawn(|| {
        std::thread::sleep(CASE_LIMIT);
        end_children();
        eprintln!("not run: the case took longer than {CASE_LIMIT:?}");
        std::process::exit(NOT_RUN);
    });
    let folder = std::env::args().nth(1).map(PathBuf::from);
    let code = match folder
        .ok_or_else(|| "name the folder of the case".into())
        .and_then(|f| case(&f))
    {
        Ok(true) => HELD,
        Ok(false) => BROKEN,
        Err(error) => {
            eprintln!("not run: {error}");
            NOT_RUN
        }
    };
    std::process::exit(code)
}

fn address(subnet: (u8, u8), host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(
        IpAddr::V4(Ipv4Addr::new(127, subnet.0, subnet.1, host)),
        port,
    )
}

fn zone(index: u8) -> &'static str {
    ZONES[usize::from(index) % ZONES.len()]
}

/// Returns the command of a role in the deploy file.
fn run_line(role: &str) -> Result<String, Box<dyn std::error::Error>> {
    let text = std::fs::read_to_string("deploy/system.toml")?;
    let section = text
        .split_once(&format!("[roles.{role}]"))
        .ok_or("the deploy file lacks a role")?
        .1;
    let line = section.lines().find(|line| line.starts_with("run = "));
    let command = line.and_then(|line| line.split('"').nth(1));
    Ok(command.ok_or("the deploy file lacks a command")?.to_owned())
}
