//! Replicated log and roles of the stand-in server.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use chervilwharf_lib::position::Position;
use serde::Deserialize;
use serde::Serialize;

/// A value bound to a logged statement.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum LoggedValue {
    /// SQL NULL.
    Null,
    /// An integer.
    Integer(i64),
    /// A floating-point number.
    Real(f64),
    /// A text.
    Text(String),
    /// Bytes.
    Blob(Vec<u8>),
}

/// A statement of a committed transaction.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoggedStatement {
    /// Its text, as SQLite takes it.
    pub sql: String,
    /// Its parameters.
    pub values: Vec<LoggedValue>,
}

/// One committed transaction.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LogEntry {
    /// Its place.
    pub position: Position,
    /// What it did.
    pub statements: Arc<Vec<LoggedStatement>>,
}

/// Lines of the file that survives a restart.
#[derive(Serialize, Deserialize)]
enum Record {
    Append(LogEntry),
    Truncate(u64),
    Term(u64, String),
}

/// The primary a server follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its name.
    pub id: String,
    /// Where it serves its log.
    pub address: String,
}

/// Log, term and role of one server.
#[derive(Debug)]
pub struct ServerLog {
    /// Highest term seen.
    pub term: u64,
    /// Owner in that term.
    pub owner: String,
    /// Promoted in that term.
    pub is_primary: bool,
    /// Whom it follows.
    pub upstream: Option<Upstream>,
    /// Entries, with the time each was received.
    pub entries: Vec<(LogEntry, Instant)>,
    /// How many of them are applied.
    pub applied: usize,
    /// When the primary was last heard.
    pub primary_contact_at: Option<Instant>,
    /// Grows when applied entries were cut off and the data was rebuilt.
    pub generation: u64,
    file: Option<File>,
}

impl ServerLog {
    /// An empty log, or the one kept in `path`.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or written.
    pub fn new(path: Option<&Path>) -> std::io::Result<Self> {
        let mut log = Self {
            term: 0,
            owner: String::new(),
            is_primary: false,
            upstream: None,
            entries: Vec::new(),
            applied: 0,
            primary_contact_at: None,
            generation: 0,
            file: None,
        };
        let Some(path) = path else {
            return Ok(log);
        };
        if path.exists() {
            log.load(path)?;
        }
        log.file = Some(OpenOptions::new().create(true).append(true).open(path)?);
        Ok(log)
    }

    fn load(&mut self, path: &Path) -> std::io::Result<()> {
        for line in BufReader::new(File::open(path)?).lines() {
            // A torn last line is an entry that was never acknowledged.
            let Ok(record) = serde_json::from_str::<Record>(&line?) else {
                break;
            };
            match record {
                Record::Append(entry) => self.entries.push((entry, Instant::now())),
                Record::Truncate(length) => {
                    self.entries.truncate(usize::try_from(length).unwrap_or(0));
                }
                Record::Term(term, owner) => {
                    self.term = term;
                    self.owner = owner;
                }
            }
        }
        Ok(())
    }

    fn persist(&mut self, record: &Record) {
        if let Some(file) = &mut self.file {
            let mut line = serde_json::to_vec(record).expect("a record is plain data");
            line.push(b'\n');
            file.write_all(&line).expect("the log file can be written");
        }
    }

    /// Last entry received.
    pub fn received(&self) -> Position {
        self.entries.last().map_or(Position::ZERO, |(entry, _)| entry.position)
    }

    /// Last entry applied.
    pub fn applied_position(&self) -> Position {
        match self.applied {
            0 => Position::ZERO,
            applied => self.entries[applied - 1].0.position,
        }
    }

    /// Takes a new term. The caller has checked that it is allowed.
    pub fn set_term(&mut self, term: u64, owner: &str) {
        if term > self.term {
            self.is_primary = false;
            self.upstream = None;
            self.primary_contact_at = None;
        }
        self.term = term;
        owner.clone_into(&mut self.owner);
        self.persist(&Record::Term(term, owner.to_owned()));
    }

    /// Appends an entry.
    pub fn append(&mut self, entry: LogEntry, now: Instant) {
        self.persist(&Record::Append(entry.clone()));
        self.entries.push((entry, now));
    }

    /// Appends a transaction of our own as primary and returns its place.
    pub fn commit(&mut self, statements: Vec<LoggedStatement>) -> Position {
        let position = Position::new(self.term, self.entries.len() as u64 + 1);
        let entry = LogEntry { position, statements: Arc::new(statements) };
        self.append(entry, Instant::now());
        self.applied = self.entries.len();
        position
    }

    /// Cuts the log to `length` entries. Returns whether applied ones went.
    pub fn truncate(&mut self, length: usize) -> bool {
        if length >= self.entries.len() {
            return false;
        }
        self.entries.truncate(length);
        self.persist(&Record::Truncate(length as u64));
        if self.applied <= length {
            return false;
        }
        self.applied = 0;
        self.generation += 1;
        true
    }

    /// Last index of each term in the log, oldest term first.
    pub fn term_ends(&self) -> Vec<Position> {
        let mut ends: Vec<Position> = Vec::new();
        for (entry, _) in &self.entries {
            match ends.last_mut() {
                Some(last) if last.term == entry.position.term => *last = entry.position,
                _ => ends.push(entry.position),
            }
        }
        ends
    }

    /// How many leading entries this log shares with one of these ends.
    pub fn common_length(&self, other: &[Position]) -> usize {
        let mut common = 0;
        for (mine, theirs) in self.term_ends().iter().zip(other) {
            if mine.term != theirs.term {
                break;
            }
            common = mine.index.min(theirs.index);
            if mine.index != theirs.index {
                break;
            }
        }
        usize::try_from(common).unwrap_or(usize::MAX)
    }
}
