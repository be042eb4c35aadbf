//! The operators' token: required on every operator path, compared exactly, and never shown.

use std::net::SocketAddr;

use ibisspool::secret::Secret;
use ibisspool::serve::{self, Running};
use ibisspool::settings::Settings;

const TOKEN: &str = "a-token-for-this-test-only";

fn start_entry() -> Running {
    let mut settings = Settings::new("entry-0", "north", "http://127.0.0.1:1");
    settings.operator_token = Some(Secret::new(TOKEN).expect("the token is long enough"));
    serve::start(&settings).expect("the entry starts without its platform")
}

fn get(address: SocketAddr, path: &str, token: Option<&str>) -> (u16, String) {
    let mut request = attohttpc::get(format!("http://{address}{path}"));
    if let Some(token) = token {
        request = request.header("Authorization", format!("Bearer {token}"));
    }
    let response = request.send().expect("the entry answers");
    (
        response.status().as_u16(),
        response.text().expect("the answer is text"),
    )
}

#[test]
fn request_without_the_right_token_is_unauthorized_on_every_operator_path() {
    let entry = start_entry();

    for path in [
        "/v1/status",
        "/v1/catalogue",
        "/v1/data-centres/north",
        "/v1/backends/x",
    ] {
        let (absent, body) = get(entry.address, path, None);
        let (wrong, _body) = get(entry.address, path, Some("another-token-of-length"));

        assert_eq!((absent, wrong), (401, 401), "{path}");
        assert!(body.contains("\"unauthorized\""), "{body}");
    }
}

#[test]
fn request_with_the_token_is_answered_and_no_answer_shows_the_token() {
    let entry = start_entry();

    let (status, view) = get(entry.address, "/v1/status", Some(TOKEN));
    let (_status, metrics) = get(entry.address, "/metrics", None);

    assert_eq!(status, 200);
    assert!(!view.contains(TOKEN));
    assert!(!metrics.contains(TOKEN));
}

#[test]
fn debug_output_of_settings_hides_the_token() {
    let mut settings = Settings::new("entry-0", "north", "http://127.0.0.1:1");
    settings.operator_token = Secret::new(TOKEN).ok();

    let shown = format!("{settings:?}");

    assert!(shown.contains("Secret(hidden)"));
    assert!(!shown.contains(TOKEN));
}

#[test]
fn secret_matches_only_the_whole_text() {
    let secret = Secret::new(&format!("{TOKEN}\n")).expect("the token is long enough");

    assert!(secret.matches(TOKEN));
    assert!(!secret.matches(&TOKEN[1..]));
    assert!(!secret.matches(""));
}

#[test]
fn short_or_unprintable_secrets_are_refused() {
    let short = Secret::new("short").ok();
    let spaced = Secret::new("a token with spaces in it").ok();

    assert!(short.is_none() && spaced.is_none());
}
