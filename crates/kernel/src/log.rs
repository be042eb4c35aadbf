//! Logs to standard error, or in batches to standard output without ever blocking.

use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam::channel::{Sender, TrySendError, bounded};
use logforth::append;
use logforth::filter::env_filter::EnvFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error};
use strum::{Display, EnumString, VariantNames};

/// Most bytes of lines that wait for the writer; a second of lines at the highest load.
const MOST_BYTES: usize = 256 << 10;

/// Batches that may wait for the writer.
const BATCHES: usize = 4;

/// Form of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// One line of text a record.
    Text,
    /// One JSON object a record.
    Json,
}

/// Starts the logs; a second call changes nothing.
pub fn start(format: Format, level: &str) {
    let stderr = match format {
        Format::Text => append::Stderr::default().with_layout(TextLayout::default().no_color()),
        Format::Json => append::Stderr::default().with_layout(JsonLayout::default()),
    };
    apply(level, stderr);
}

fn apply<A>(level: &str, appender: A)
where
    A: Append,
{
    let filter = EnvFilterBuilder::from_spec(level).build();
    let started = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(appender))
        .try_apply();
    if started.is_err() {
        log::debug!("log: already started.");
    }
}

/// Lines that wait to be written.
#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Log lines gathered in memory and written in batches by a thread of their own.
#[derive(Debug, Clone)]
pub struct Batch {
    waiting: Arc<Mutex<Waiting>>,
    writer: Sender<Vec<u8>>,
}

impl Batch {
    /// Starts the logs on standard output.
    ///
    /// # Panics
    /// Panics if the system refuses another thread.
    pub fn start(level: &str) -> Self {
        let (writer, batches) = bounded::<Vec<u8>>(BATCHES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                for batch in batches {
                    if std::io::stdout().write_all(&batch).is_err() {
                        return;
                    }
                }
            })
            .expect("the system refuses another thread; raise its limit of threads");
        let batch = Self {
            waiting: Arc::default(),
            writer,
        };
        apply(level, batch.clone());
        batch
    }

    /// Writes what is gathered before the process ends; waits for the writer a little.
    pub fn finish(&self) {
        /// Longest wait for a writer that is behind.
        const PATIENCE: Duration = Duration::from_millis(100);
        self.flush();
        let began = Instant::now();
        while !self.writer.is_empty() && began.elapsed() < PATIENCE {
            thread::sleep(Duration::from_millis(2));
        }
        thread::sleep(Duration::from_millis(5));
    }

    /// Hands the gathered lines to the writer; if it is behind, they wait for the next call.
    pub fn flush(&self) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.bytes.is_empty() {
            return;
        }
        if waiting.dropped > 0 {
            let line = format!("log: Dropped lines. count={}\n", waiting.dropped);
            waiting.bytes.extend_from_slice(line.as_bytes());
            waiting.dropped = 0;
        }
        match self.writer.try_send(std::mem::take(&mut waiting.bytes)) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => {}
            Err(TrySendError::Full(bytes)) => waiting.bytes = bytes,
        }
    }
}

impl Append for Batch {
    fn append(&self, record: &Record, _diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.bytes.len() >= MOST_BYTES {
            waiting.dropped += 1;
            return Ok(());
        }
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        writeln!(
            waiting.bytes,
            "{}.{:03} {} {}",
            wall.as_secs(),
            wall.subsec_millis(),
            record.level(),
            record.payload()
        )
        .map_err(Error::from_io_error)
    }

    fn flush(&self) -> Result<(), Error> {
        Self::flush(self);
        Ok(())
    }
}
