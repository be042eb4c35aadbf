//! HTTP/1.1 server with one thread a connection, and a client that uses a connection once.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request or a response without its first line.
#[derive(Debug, Default)]
struct Message {
    first_line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.headers.iter();
        fields.find(|field| field.0 == name).map(|field| &*field.1)
    }
}

/// A request as a server got it.
#[derive(Debug)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
    headers: Vec<(String, String)>,
}

impl Call {
    /// Returns the value of a header, whose name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.headers.iter();
        fields.find(|field| field.0 == name).map(|field| &*field.1)
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }
}

/// A response.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub body: String,
}

impl Reply {
    pub fn new(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            body: body.into(),
        }
    }
}

/// Serves connections at an address until the process ends.
pub fn serve<H>(address: SocketAddr, handle: H) -> std::io::Result<()>
where
    H: Fn(Call) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    Ok(())
}

fn serve_connection<H>(stream: TcpStream, handle: &H) -> Option<()>
where
    H: Fn(Call) -> Reply,
{
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let message = read_message(&mut reader)?;
        let mut words = message.first_line.split(' ');
        let method = words.next()?.to_owned();
        let target = words.next()?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let reply = handle(Call {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            headers: message.headers,
            body: message.body,
        });
        let head = format!(
            "HTTP/1.1 {} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            reply.status,
            reply.body.len()
        );
        writer.write_all((head + &reply.body).as_bytes()).ok()?;
    }
}

/// Sends a request over a new connection and waits for the response; `None` if there is none
/// within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Reply> {
    let started_at = Instant::now();
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT.min(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let left = timeout.checked_sub(started_at.elapsed())?;
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !headers.iter().any(|header| header.0 == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    if !body.is_empty() {
        head += "Content-Type: application/json\r\n";
    }
    head += "\r\n";
    (&stream).write_all((head + body).as_bytes()).ok()?;
    let message = read_message(&mut BufReader::new(&stream))?;
    let status = message.first_line.split(' ').nth(1)?.parse().ok()?;
    let body = String::from_utf8_lossy(&message.body).into_owned();
    Some(Reply { status, body })
}

fn read_message<R>(reader: &mut R) -> Option<Message>
where
    R: BufRead,
{
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if message.first_line.is_empty() {
            message.first_line = line.to_owned();
        } else if line.is_empty() {
            break;
        } else {
            let (name, value) = line.split_once(':')?;
            message
                .headers
                .push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}
