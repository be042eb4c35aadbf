//! Bad input gets a clear error, starts nothing and does no lasting harm.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use ibisspool_core::job::Id;
use ibisspool_core::time::Wall;
use ibisspool_standin::caller;
use ibisspool_standin::local::{self, ECHO, Local, Shape};

/// Connections that a client of the brief holds.
const HELD: usize = 60;

/// Longest wait for a response; a longer one fails the test instead of holding it up.
const PATIENCE: Duration = Duration::from_mins(1);

const MS_PER_HOUR: i64 = 3_600_000;

fn system() -> Local {
    let shape = Shape {
        data_centre: "north".to_owned(),
        slots: 2,
        speed: 1.0,
    };
    local::start(&["north"], &[shape], 1.0).expect("the system starts")
}

fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut connection = TcpStream::connect(address).expect("the entry listens");
    // The entry may answer and close before it has read everything.
    let _cut_short = connection.write_all(request);
    connection
        .set_read_timeout(Some(PATIENCE))
        .expect("the system sets timeouts");
    read_response(connection)
}

/// Skips an interim response.
fn final_response(response: &str) -> &str {
    match response.split_once("\r\n\r\n") {
        Some((head, rest)) if head.starts_with("HTTP/1.1 100 ") => rest,
        _ => response,
    }
}

/// Reads as much as the entry sends before it closes the connection or the body is whole.
fn read_response(mut connection: TcpStream) -> String {
    let mut response = Vec::new();
    let mut chunk = [0; 4_096];
    while !is_whole(&response) {
        match connection.read(&mut chunk) {
            Ok(count) if count > 0 => response.extend_from_slice(&chunk[..count]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&response).into_owned()
}

fn is_whole(response: &[u8]) -> bool {
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

fn request(method: &str, path: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn put(id: &str, body: &str) -> Vec<u8> {
    request("PUT", &format!("/v1/jobs/{id}"), body)
}

fn job(kind: &str, tasks: usize, timeout: &str) -> String {
    let tasks = vec![r#"{"input":1}"#; tasks].join(",");
    format!(r#"{{"kind":"{kind}","tasks":[{tasks}],"timeout_ms":{timeout}}}"#)
}

fn id_made(hours: i64) -> String {
    let now = caller::new_id().created();
    let shifted = now.0.saturating_add_signed(hours * MS_PER_HOUR);
    Id::new(Wall(shifted), [7; 10]).to_string()
}

fn new_id() -> String {
    caller::new_id().to_string()
}

/// One bad request with the status and the reason that it must get.
struct Case {
    name: &'static str,
    request: Vec<u8>,
    status: u16,
    reason: &'static str,
}

fn cases() -> Vec<Case> {
    let good = job(ECHO, 1, "1000");
    let case = |name, request, status, reason| Case {
        name,
        request,
        status,
        reason,
    };
    let flood = "X-Flood: 0123456789\r\n".repeat(2_000);
    let wide = format!("X-Wide: {}\r\n", "x".repeat(100_000));
    let with_headers = |headers: &str| {
        format!("GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{headers}\r\n")
            .into_bytes()
    };
    vec![
        case("unknown path", request("GET", "/v2/jobs", ""), 404, "not_found"),
        case("unknown method", request("PATCH", "/v1/jobs", &good), 404, "not_found"),
        case("not HTTP", b"hello\r\n\r\n".to_vec(), 400, ""),
        case("many headers", with_headers(&flood), 431, "too_large"),
        case("wide header", with_headers(&wide), 431, "too_large"),
        case("broken JSON", put(&new_id(), "{\"kind\":"), 400, "malformed"),
        case("no body", put(&new_id(), ""), 400, "malformed"),
        case("not an object", put(&new_id(), "[1]"), 400, "malformed"),
        case("unknown field", put(&new_id(), r#"{"kind":"echo","tasks":[{"input":1}],"x":1}"#), 400, "malformed"),
        case("task without input", put(&new_id(), r#"{"kind":"echo","tasks":[{}]}"#), 400, "malformed"),
        case("no tasks", put(&new_id(), &job(ECHO, 0, "1000")), 400, "malformed"),
        case("too many tasks", put(&new_id(), &job(ECHO, 421, "1000")), 413, "too_large"),
        case("body over the limit", b"PUT /v1/jobs/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 99999999999\r\n\r\n".to_vec(), 413, "too_large"),
        case("body of the largest number", b"PUT /v1/jobs/x HTTP/1.1\r\nHost: x\r\nContent-Length: 18446744073709551615\r\n\r\n".to_vec(), 413, "too_large"),
        case("unknown kind", put(&new_id(), &job("other", 1, "1000")), 404, "unknown_kind"),
        case("no timeout at all", put(&new_id(), &job(ECHO, 1, "0")), 400, "timeout_out_of_range"),
        case("negative timeout", put(&new_id(), &job(ECHO, 1, "-5")), 400, "malformed"),
        case("absurd timeout", put(&new_id(), &job(ECHO, 1, "99999999999")), 400, "timeout_out_of_range"),
        case("id is no UUID", put("first", &good), 400, "malformed"),
        case("id of version 4", put("6f1c9e0a-3c5b-4d4e-9f6a-0123456789ab", &good), 400, "malformed"),
        case("id from the future", put(&id_made(1), &good), 400, "id_from_future"),
        case("id too old", put(&id_made(-1), &good), 410, "id_too_old"),
        case("trace of an unknown job", request("GET", &format!("/v1/jobs/{}/trace", new_id()), ""), 404, "not_found"),
        case("cancel without an id", request("DELETE", "/v1/jobs/", ""), 400, "malformed"),
        case("request of an unknown kind", request("POST", "/v1/requests/other", "x"), 404, "unknown_kind"),
    ]
}

#[test]
fn each_bad_request_is_refused_with_its_reason_and_starts_nothing() {
    let system = system();
    let address = system.entries[0].address;

    let failures: Vec<String> = cases()
        .into_iter()
        .filter_map(|case| {
            let response = exchange(address, &case.request);
            let response = final_response(&response);
            let right = response.starts_with(&format!("HTTP/1.1 {} ", case.status))
                && response.contains(case.reason);
            (!right).then(|| format!("{}: {response}", case.name))
        })
        .collect();

    assert!(failures.is_empty(), "wrong answers: {failures:#?}");
    assert_eq!(system.backends[0].starts(), []);
}

#[test]
fn half_sent_requests_are_closed_and_others_are_served_meanwhile() {
    let system = system();
    let address = system.entries[0].address;
    let halves: [&[u8]; 3] = [
        b"",
        b"PUT /v1/jobs/x HTTP/1.1\r\nHos",
        b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n{\"kind\"",
    ];
    let mut held: Vec<TcpStream> = (0..HELD)
        .map(|number| {
            let mut connection = TcpStream::connect(address).expect("the entry listens");
            connection
                .write_all(halves[number % halves.len()])
                .expect("the entry reads");
            connection
        })
        .collect();

    let meanwhile = exchange(address, &request("GET", "/healthz", ""));
    let mut rest = Vec::new();
    let ends: Vec<_> = held
        .iter_mut()
        .map(|half| half.read_to_end(&mut rest))
        .collect();
    let afterwards = exchange(address, &request("POST", "/v1/jobs", &job(ECHO, 1, "1000")));

    assert!(meanwhile.starts_with("HTTP/1.1 200"), "{meanwhile}");
    assert_eq!(
        ends.len(),
        HELD,
        "every half-sent request was closed by the entry"
    );
    assert!(afterwards.starts_with("HTTP/1.1 200"), "{afterwards}");
}
