//! The file `record.txt` of a case: what was sent, answered and run, with the time of each line.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes the record of one case.
#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder of the case.
    pub fn create(case: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(case.join("record.txt"))?),
            started_at: Instant::now(),
        })
    }

    /// Writes one line with the time since the start of the case.
    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _result = writeln!(file, "{seconds:9.3} {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn tell(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
