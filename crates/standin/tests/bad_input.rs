//! Invalid HTTP requests get an error with a reason, start no task and do not impair later
//! requests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use ibisspool_core::job::Id;
use ibisspool_core::time::Wall;
use ibisspool_standin::caller;
use ibisspool_standin::local::{self, BackendShape, ECHO, LocalSystem};

/// Connections that one client of the expected load holds open.
const CONNECTIONS_PER_CLIENT: usize = 60;

/// Timeout of each read, so that a missing response fails the test instead of blocking it.
const RESPONSE_TIMEOUT: Duration = Duration::from_mins(1);

const MS_PER_HOUR: i64 = 3_600_000;

fn start_system() -> LocalSystem {
    let shape = BackendShape {
        data_centre: "north".to_owned(),
        slots: 2,
        speed: 1.0,
    };
    local::start(&["north"], &[shape], 1.0).expect("the local system starts")
}

fn send_and_read(address: SocketAddr, request: &[u8]) -> String {
    let mut connection = TcpStream::connect(address).expect("the entry listens");
    // The entry may answer and close the connection before it has read the whole request.
    let _cut_short = connection.write_all(request);
    connection
        .set_read_timeout(Some(RESPONSE_TIMEOUT))
        .expect("the operating system accepts a read timeout");
    read_response(connection)
}

/// Returns the response without a preceding interim response `100 Continue`.
fn final_response(response: &str) -> &str {
    match response.split_once("\r\n\r\n") {
        Some((head, rest)) if head.starts_with("HTTP/1.1 100 ") => rest,
        _ => response,
    }
}

/// Reads until the body has its declared length or the entry closes the connection.
fn read_response(mut connection: TcpStream) -> String {
    let mut response = Vec::new();
    let mut chunk = [0; 4_096];
    while !is_complete(&response) {
        match connection.read(&mut chunk) {
            Ok(count) if count > 0 => response.extend_from_slice(&chunk[..count]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns whether the response has a `Content-Length` and as many bytes of body.
fn is_complete(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response);
    let text = final_response(&text);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: "));
    length
        .and_then(|length| length.parse().ok())
        .is_some_and(|length: usize| body.len() >= length)
}

fn http_request(method: &str, path: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn put_job_request(id: &str, body: &str) -> Vec<u8> {
    http_request("PUT", &format!("/v1/jobs/{id}"), body)
}

fn job_body(kind: &str, tasks: usize, timeout: &str) -> String {
    let tasks = vec![r#"{"input":1}"#; tasks].join(",");
    format!(r#"{{"kind":"{kind}","tasks":[{tasks}],"timeout_ms":{timeout}}}"#)
}

/// Returns a job id whose time of creation is `hours` from now; negative hours lie in the past.
fn job_id_created_in(hours: i64) -> String {
    let now = caller::new_id().created();
    let shifted = now.0.saturating_add_signed(hours * MS_PER_HOUR);
    Id::new(Wall(shifted), [7; 10]).to_string()
}

fn new_id() -> String {
    caller::new_id().to_string()
}

/// An invalid request, with the status and the reason that its response must have.
struct BadRequest {
    name: &'static str,
    bytes: Vec<u8>,
    status: u16,
    reason: &'static str,
}

fn bad_requests() -> Vec<BadRequest> {
    let valid_body = job_body(ECHO, 1, "1000");
    let bad_request = |name, bytes, status, reason| BadRequest {
        name,
        bytes,
        status,
        reason,
    };
    let many_headers = "X-Flood: 0123456789\r\n".repeat(2_000);
    let wide_header = format!("X-Wide: {}\r\n", "x".repeat(100_000));
    let with_headers = |headers: &str| {
        format!("GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{headers}\r\n")
            .into_bytes()
    };
    vec![
        bad_request("unknown path", http_request("GET", "/v2/jobs", ""), 404, "not_found"),
        bad_request("unknown method", http_request("PATCH", "/v1/jobs", &valid_body), 404, "not_found"),
        bad_request("not HTTP", b"hello\r\n\r\n".to_vec(), 400, ""),
        bad_request("many headers", with_headers(&many_headers), 431, "too_large"),
        bad_request("wide header", with_headers(&wide_header), 431, "too_large"),
        bad_request("broken JSON", put_job_request(&new_id(), "{\"kind\":"), 400, "malformed"),
        bad_request("no body", put_job_request(&new_id(), ""), 400, "malformed"),
        bad_request("not an object", put_job_request(&new_id(), "[1]"), 400, "malformed"),
        bad_request("unknown field", put_job_request(&new_id(), r#"{"kind":"echo","tasks":[{"input":1}],"x":1}"#), 400, "malformed"),
        bad_request("task without input", put_job_request(&new_id(), r#"{"kind":"echo","tasks":[{}]}"#), 400, "malformed"),
        bad_request("no tasks", put_job_request(&new_id(), &job_body(ECHO, 0, "1000")), 400, "malformed"),
        bad_request("too many tasks", put_job_request(&new_id(), &job_body(ECHO, 421, "1000")), 413, "too_large"),
        bad_request("body over the limit", b"PUT /v1/jobs/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 99999999999\r\n\r\n".to_vec(), 413, "too_large"),
        bad_request("body of the largest number", b"PUT /v1/jobs/x HTTP/1.1\r\nHost: x\r\nContent-Length: 18446744073709551615\r\n\r\n".to_vec(), 413, "too_large"),
        bad_request("unknown kind", put_job_request(&new_id(), &job_body("other", 1, "1000")), 404, "unknown_kind"),
        bad_request("no timeout at all", put_job_request(&new_id(), &job_body(ECHO, 1, "0")), 400, "timeout_out_of_range"),
        bad_request("negative timeout", put_job_request(&new_id(), &job_body(ECHO, 1, "-5")), 400, "malformed"),
        bad_request("absurd timeout", put_job_request(&new_id(), &job_body(ECHO, 1, "99999999999")), 400, "timeout_out_of_range"),
        bad_request("id is no UUID", put_job_request("first", &valid_body), 400, "malformed"),
        bad_request("id of version 4", put_job_request("6f1c9e0a-3c5b-4d4e-9f6a-0123456789ab", &valid_body), 400, "malformed"),
        bad_request("id from the future", put_job_request(&job_id_created_in(1), &valid_body), 400, "id_from_future"),
        bad_request("id too old", put_job_request(&job_id_created_in(-1), &valid_body), 410, "id_too_old"),
        bad_request("trace of an unknown job", http_request("GET", &format!("/v1/jobs/{}/trace", new_id()), ""), 404, "not_found"),
        bad_request("cancel without an id", http_request("DELETE", "/v1/jobs/", ""), 400, "malformed"),
        bad_request("request of an unknown kind", http_request("POST", "/v1/requests/other", "x"), 404, "unknown_kind"),
    ]
}

#[test]
fn invalid_requests_get_status_and_reason_and_start_no_task() {
    let system = start_system();
    let address = system.entries[0].address;

    let failures: Vec<String> = bad_requests()
        .into_iter()
        .filter_map(|bad_request| {
            let response = send_and_read(address, &bad_request.bytes);
            let response = final_response(&response);
            let is_expected = response.starts_with(&format!("HTTP/1.1 {} ", bad_request.status))
                && response.contains(bad_request.reason);
            (!is_expected).then(|| format!("{}: {response}", bad_request.name))
        })
        .collect();

    assert!(
        failures.is_empty(),
        "responses with the wrong status or reason: {failures:#?}"
    );
    assert_eq!(system.backends[0].starts(), []);
}

#[test]
fn partial_requests_are_closed_while_other_requests_are_served() {
    let system = start_system();
    let address = system.entries[0].address;
    let partial_requests: [&[u8]; 3] = [
        b"",
        b"PUT /v1/jobs/x HTTP/1.1\r\nHos",
        b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n{\"kind\"",
    ];
    let mut open_connections: Vec<TcpStream> = (0..CONNECTIONS_PER_CLIENT)
        .map(|number| {
            let mut connection = TcpStream::connect(address).expect("the entry listens");
            connection
                .write_all(partial_requests[number % partial_requests.len()])
                .expect("the entry accepts data");
            connection
        })
        .collect();

    let response_meanwhile = send_and_read(address, &http_request("GET", "/healthz", ""));
    let mut discarded = Vec::new();
    let closed: Vec<_> = open_connections
        .iter_mut()
        .map(|connection| connection.read_to_end(&mut discarded))
        .collect();
    let response_afterwards = send_and_read(
        address,
        &http_request("POST", "/v1/jobs", &job_body(ECHO, 1, "1000")),
    );

    assert!(
        response_meanwhile.starts_with("HTTP/1.1 200"),
        "{response_meanwhile}"
    );
    assert_eq!(
        closed.len(),
        CONNECTIONS_PER_CLIENT,
        "the entry must close every connection with a partial request"
    );
    assert!(
        response_afterwards.starts_with("HTTP/1.1 200"),
        "{response_afterwards}"
    );
}
