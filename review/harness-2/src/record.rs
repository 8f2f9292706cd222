//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    /// The file that `RECORD` names.
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(path).expect("the record can be written");
        Self { file: Mutex::new(file), started_at: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let ms = at.saturating_duration_since(self.started_at).as_secs_f64() * 1000.0;
        let line = format!("{ms:9.1} ms  {text}");
        println!("{line}");
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{line}").expect("the record can be written");
    }
}
