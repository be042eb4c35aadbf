//! HTTP interface of an entry for operators: status, catalogue, and changes of the catalogue and of
//! which data centres and backend servers are in service.

use std::collections::HashMap;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Result;
use crossbeam::channel::Sender;
use ibisspool_core::catalogue::{File, is_valid_name};
use ibisspool_core::entry::Event;
use ibisspool_core::entry::operator::{
    self, Answer, ChangeOutcome, ChangeResult, Edit, OperatorRequest, Proposal, RejectionReason,
    ServiceState,
};
use ibisspool_core::refusal::{Ran, Reason, Refusal};
use ibisspool_kernel::http::{self, Method, Request};
use ibisspool_kernel::part::{Kernel, PartName};
use ibisspool_kernel::web::Reply;
use serde_json::json;

use crate::metrics::Metrics;
use crate::responder;
use crate::secret::Secret;

/// Time within which a change should be in force, if the request names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(13);

/// Longest time that a request may wait for its change to be in force.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// Number of waiting requests from which on further ones are refused.
const MAX_WAITING_REQUESTS: usize = 512;

/// Largest accepted catalogue file.
pub const MAX_FILE_BYTES: usize = 4 << 20;

/// Longest accepted id of a change.
const MAX_CHANGE_ID_CHARS: usize = 64;

type WaitingRequests = Arc<Mutex<HashMap<operator::RequestId, Request>>>;

/// Checks operators' requests, sends them to the decider and answers them. Clones share the table
/// of waiting requests.
#[derive(Debug, Clone)]
pub struct OperatorInterface {
    token: Option<Secret>,
    next_request_number: Arc<AtomicU64>,
    waiting_requests: WaitingRequests,
    outgoing: Sender<Outgoing>,
    events: Sender<Event>,
    metrics: Metrics,
}

/// An answer that is to be written to an operator.
#[derive(Debug)]
struct Outgoing {
    request: Request,
    answer: Answer,
}

impl OperatorInterface {
    /// Starts the thread that writes answers. Without a `token`, every request is authorized.
    ///
    /// # Errors
    /// Fails if the mailbox of the decider is not registered yet.
    pub fn start(kernel: &Kernel, token: Option<Secret>, metrics: &Metrics) -> Result<Self> {
        let mailbox = kernel.register::<Outgoing>(PartName::Operator);
        let thread_metrics = metrics.clone();
        kernel.spawn(PartName::Operator, move || {
            while let Ok(Outgoing { request, answer }) = mailbox.recv() {
                request.answer(encode_answer(&answer, &thread_metrics));
            }
        });
        Ok(Self {
            token,
            next_request_number: Arc::new(AtomicU64::new(1)),
            waiting_requests: WaitingRequests::default(),
            outgoing: kernel.find(PartName::Operator)?,
            events: kernel.find(PartName::Decider)?,
            metrics: metrics.clone(),
        })
    }

    fn lock_waiting_requests(&self) -> MutexGuard<'_, HashMap<operator::RequestId, Request>> {
        self.waiting_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a request that waits; an answer to any other is dropped.
    pub fn send_answer(&self, request: operator::RequestId, answer: Answer) {
        let waiting = self.lock_waiting_requests().remove(&request);
        if let Some(request) = waiting {
            let _part_ended = self.outgoing.send(Outgoing { request, answer });
        }
    }

    /// Returns whether no request waits for its answer.
    pub fn is_empty(&self) -> bool {
        self.lock_waiting_requests().is_empty()
    }

    /// Serves a request to one of the operators' paths; returns any other request.
    pub fn handle(&self, mut request: Request) -> Option<Request> {
        let (path, query) = (request.path().to_owned(), request.query().to_owned());
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let [
            "v1",
            "catalogue" | "data-centres" | "backends" | "status",
            ..,
        ] = parts.as_slice()
        else {
            return Some(request);
        };
        let question = if self.is_authorized(&request) {
            read_question(&mut request, &parts, &query)
        } else {
            Err(Refusal::new(
                Reason::Unauthorized,
                Ran::No,
                "operators need this entry's token; \
                 name it with --operator-token-file or IBISSPOOL_OPERATOR_TOKEN",
            ))
        };
        match question.and_then(|question| self.check_capacity().map(|()| question)) {
            Ok(question) => self.ask(request, question),
            Err(refusal) => {
                request.answer(responder::refusal_reply(&refusal, None, &self.metrics));
            }
        }
        None
    }

    fn ask(&self, waiting: Request, question: OperatorRequest) {
        let request = operator::RequestId(self.next_request_number.fetch_add(1, Ordering::Relaxed));
        self.lock_waiting_requests().insert(request, waiting);
        let _decider_ended = self
            .events
            .send(Event::OperatorRequested { request, question });
    }

    fn check_capacity(&self) -> Result<(), Refusal> {
        if self.lock_waiting_requests().len() < MAX_WAITING_REQUESTS {
            return Ok(());
        }
        let detail = "too many operators wait at this entry; try again later";
        Err(Refusal::new(Reason::QueueFull, Ran::No, detail).with_retry_after_ms(1_000))
    }

    fn is_authorized(&self, request: &Request) -> bool {
        let Some(token) = &self.token else {
            return true;
        };
        request
            .header("Authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .is_some_and(|text| token.matches(text))
    }
}

fn read_question(
    request: &mut Request,
    parts: &[&str],
    query: &str,
) -> Result<OperatorRequest, Refusal> {
    let method = request.method().clone();
    match (&method, parts) {
        (&Method::GET, ["v1", "status"]) => Ok(OperatorRequest::Status),
        (&Method::GET, ["v1", "catalogue"]) => Ok(OperatorRequest::Catalogue),
        (&Method::PUT, ["v1", "catalogue"]) => {
            let text = read_text(request)?;
            let file = File::parse(&text).map_err(|fault| malformed(fault.to_string()))?;
            read_proposal(query, Edit::Put(file))
        }
        (&Method::DELETE, ["v1", "catalogue", kind]) => {
            read_proposal(query, Edit::DeleteKind(read_name(kind)?))
        }
        (&Method::PUT, ["v1", "data-centres", name]) => {
            let name = read_name(name)?;
            let state = read_state(request)?;
            read_proposal(query, Edit::DataCentre { name, state })
        }
        (&Method::PUT, ["v1", "backends", name]) => {
            let name = read_name(name)?;
            let state = read_state(request)?;
            read_proposal(query, Edit::Backend { name, state })
        }
        _ => {
            let detail = format!(
                "there is no {method} {}; docs/PROTOCOL.md lists the interface",
                parts.join("/")
            );
            Err(Refusal::new(Reason::NotFound, Ran::No, detail))
        }
    }
}

fn malformed(detail: String) -> Refusal {
    Refusal::new(Reason::Malformed, Ran::No, detail)
}

fn read_text(request: &mut Request) -> Result<String, Refusal> {
    let body = request
        .take_body(MAX_FILE_BYTES)
        .map_err(|error| http::request_refusal(error, Ran::No))?;
    String::from_utf8(body.to_vec())
        .map_err(|error| malformed(format!("the body is not UTF-8: {error}; save it as UTF-8")))
}

fn read_state(request: &mut Request) -> Result<ServiceState, Refusal> {
    let text = read_text(request)?;
    text.trim()
        .parse()
        .map_err(|_error| malformed(format!("the state is `{}`; send in or out", text.trim())))
}

fn read_name(text: &str) -> Result<String, Refusal> {
    if is_valid_name(text) {
        return Ok(text.to_owned());
    }
    let detail =
        format!("`{text}` is not a name; use letters, digits, dots, hyphens and underscores");
    Err(malformed(detail))
}

/// Reads the query parameters that all changes share.
fn read_proposal(query: &str, edit: Edit) -> Result<OperatorRequest, Refusal> {
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find_map(|(key, value)| (key == name).then_some(value))
    };
    let id = parameter("change").unwrap_or_default();
    if !is_valid_name(id) || id.len() > MAX_CHANGE_ID_CHARS {
        let detail = "the parameter `change` is missing or not an id; \
                      send an id that no other change has";
        return Err(malformed(detail.to_owned()));
    }
    let timeout_ms = parse_parameter(parameter("timeout_ms"), DEFAULT_TIMEOUT.as_millis() as u64)?;
    Ok(OperatorRequest::Propose(Proposal {
        id: id.to_owned(),
        edit,
        force: parse_parameter(parameter("force"), false)?,
        dry_run: parse_parameter(parameter("dry_run"), false)?,
        timeout: Duration::from_millis(timeout_ms.min(MAX_TIMEOUT_MS)),
    }))
}

fn parse_parameter<T>(text: Option<&str>, default: T) -> Result<T, Refusal>
where
    T: FromStr,
{
    let Some(text) = text else {
        return Ok(default);
    };
    text.parse().map_err(|_error| {
        malformed(format!(
            "the value `{text}` of a parameter is not allowed; see --help"
        ))
    })
}

fn encode_answer(answer: &Answer, metrics: &Metrics) -> Reply {
    match answer {
        Answer::Status(status) => http::json_response(200, status),
        Answer::Catalogue { version, catalogue } => {
            http::json_response(200, &json!({ "version": version, "catalogue": catalogue }))
        }
        Answer::Outcome(outcome) => {
            let label = end_label(&outcome.end);
            metrics.changes.with_label_values(&[label]).inc();
            log::info!("operator: Change {} ended as {label}.", outcome.change);
            http::json_response(outcome_status(outcome), outcome)
        }
    }
}

fn end_label(end: &ChangeResult) -> &'static str {
    match end {
        ChangeResult::InForce { .. } => "in_force",
        ChangeResult::NotAccepted { .. } => "not_accepted",
        ChangeResult::Written { .. } => "written",
        ChangeResult::Unsettled { .. } => "unsettled",
        ChangeResult::DryRun => "dry_run",
    }
}

fn outcome_status(outcome: &ChangeOutcome) -> u16 {
    match &outcome.end {
        ChangeResult::InForce { .. } | ChangeResult::DryRun => 200,
        ChangeResult::Written { .. } => 202,
        ChangeResult::Unsettled { .. } => 504,
        ChangeResult::NotAccepted { reason, .. } => match reason {
            RejectionReason::Conflict | RejectionReason::NeedsForce => 409,
            RejectionReason::Invalid => 422,
            RejectionReason::NoLease
            | RejectionReason::StoreUnavailable
            | RejectionReason::Busy => 503,
        },
    }
}
