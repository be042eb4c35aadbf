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
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Batches that may wait for the writer.
const MAX_QUEUED_BATCHES: usize = 4;

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
    install_logger(level, stderr);
}

fn install_logger<A>(level: &str, appender: A)
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
struct BufferedLines {
    bytes: Vec<u8>,
    dropped_lines: u64,
}

/// Log lines gathered in memory and written in batches by a thread of their own.
#[derive(Debug, Clone)]
pub struct LogBatches {
    buffer: Arc<Mutex<BufferedLines>>,
    writer: Sender<Vec<u8>>,
}

impl LogBatches {
    /// Starts the logs on standard output.
    ///
    /// # Panics
    /// Panics if the system refuses another thread.
    pub fn start(level: &str) -> Self {
        let (writer, batches) = bounded::<Vec<u8>>(MAX_QUEUED_BATCHES);
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
            buffer: Arc::default(),
            writer,
        };
        install_logger(level, batch.clone());
        batch
    }

    /// Writes what is gathered before the process ends; waits for the writer a little.
    pub fn flush_before_exit(&self) {
        /// Longest wait for a writer that is behind.
        const MAX_WAIT: Duration = Duration::from_millis(100);
        self.flush();
        let began = Instant::now();
        while !self.writer.is_empty() && began.elapsed() < MAX_WAIT {
            thread::sleep(Duration::from_millis(2));
        }
        thread::sleep(Duration::from_millis(5));
    }

    /// Hands the gathered lines to the writer; if it is behind, they wait for the next call.
    pub fn flush(&self) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.is_empty() {
            return;
        }
        if buffer.dropped_lines > 0 {
            let line = format!("log: Dropped lines. count={}\n", buffer.dropped_lines);
            buffer.bytes.extend_from_slice(line.as_bytes());
            buffer.dropped_lines = 0;
        }
        match self.writer.try_send(std::mem::take(&mut buffer.bytes)) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => {}
            Err(TrySendError::Full(bytes)) => buffer.bytes = bytes,
        }
    }
}

impl Append for LogBatches {
    fn append(&self, record: &Record, _diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() >= MAX_BUFFERED_BYTES {
            buffer.dropped_lines += 1;
            return Ok(());
        }
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        writeln!(
            buffer.bytes,
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
