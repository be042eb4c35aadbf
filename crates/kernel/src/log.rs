//! Logging, either directly to standard error, or in batches to standard output by a thread of its
//! own, so that a slow reader of the output never blocks the event loop.

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

/// Buffer size above which log lines are dropped: the lines of about a second at the highest load.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Batches that may wait for the writer thread. While the queue is full, lines stay in the buffer.
const MAX_QUEUED_BATCHES: usize = 4;

/// Format of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// A line of text for each record.
    Text,
    /// A JSON object for each record.
    Json,
}

/// Starts logging to standard error; `level` is a level or a filter such as `info,hyper=debug`. A
/// second call in the same process changes nothing.
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
        log::debug!("log: The logger is already installed; its settings stay.");
    }
}

/// Lines that were logged since the last flush, and the number of lines that found the buffer full.
#[derive(Debug, Default)]
struct BufferedLines {
    bytes: Vec<u8>,
    dropped_lines: u64,
}

/// Buffers log lines in memory; a writer thread writes them in batches. Clones share the buffer.
#[derive(Debug, Clone)]
pub struct LogBatches {
    buffer: Arc<Mutex<BufferedLines>>,
    writer: Sender<Vec<u8>>,
}

impl LogBatches {
    /// Starts logging to standard output; `level` is a level or a filter.
    ///
    /// # Panics
    /// Panics if the system refuses another thread.
    pub fn start(level: &str) -> Self {
        let (writer, batches) = bounded::<Vec<u8>>(MAX_QUEUED_BATCHES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                for queued_batch in batches {
                    if std::io::stdout().write_all(&queued_batch).is_err() {
                        return;
                    }
                }
            })
            .expect("the system refuses another thread; raise its limit of threads");
        let logs = Self {
            buffer: Arc::default(),
            writer,
        };
        install_logger(level, logs.clone());
        logs
    }

    /// Flushes the buffer before the process exits and waits up to about 100 ms for the writer
    /// thread.
    pub fn flush_before_exit(&self) {
        /// Longest wait for the writer thread to take all batches.
        const MAX_WAIT: Duration = Duration::from_millis(100);
        self.flush();
        let started_at = Instant::now();
        while !self.writer.is_empty() && started_at.elapsed() < MAX_WAIT {
            thread::sleep(Duration::from_millis(2));
        }
        thread::sleep(Duration::from_millis(5));
    }

    /// Hands the buffered lines to the writer thread. If its queue is full, the lines stay in the
    /// buffer until the next call.
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
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        writeln!(
            buffer.bytes,
            "{}.{:03} {} {}",
            since_epoch.as_secs(),
            since_epoch.subsec_millis(),
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
