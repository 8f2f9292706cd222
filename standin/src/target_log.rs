//! The replicated log of a stand-in server, with its term and its role, primary or replica.

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

/// A parameter value of a logged statement.
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
    /// Its SQL text in the form for SQLite, without casts of parameters.
    pub sql: String,
    /// Its parameters.
    pub values: Vec<LoggedValue>,
}

/// One committed transaction.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LogEntry {
    /// Its position in the log.
    pub position: Position,
    /// The statements that wrote, in order; none in the first entry of a term.
    pub statements: Arc<Vec<LoggedStatement>>,
}

/// A line of the log file: one change of log or term. A restart reads the file from the
/// beginning and repeats the changes.
#[derive(Serialize, Deserialize)]
enum Record {
    Append(LogEntry),
    /// Number of entries that remained.
    Truncate(u64),
    /// Term and its owner.
    Term(u64, String),
}

/// The primary from which a replica pulls its log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Name of the primary.
    pub id: String,
    /// Address at which it serves its log.
    pub address: String,
}

/// Log, term and role of one server.
#[derive(Debug)]
pub struct ServerLog {
    /// Highest term that the server has received.
    pub term: u64,
    /// Owner of that term.
    pub owner: String,
    /// Whether the server was promoted in that term.
    pub is_primary: bool,
    /// The primary that the server follows, if any.
    pub upstream: Option<Upstream>,
    /// Entries, each with the time when the server received it.
    pub entries: Vec<(LogEntry, Instant)>,
    /// Number of leading entries that are applied.
    pub applied: usize,
    /// Time of the last pull that the primary answered, or of the call that set the
    /// upstream.
    pub primary_contact_at: Option<Instant>,
    /// Increases by one each time applied entries are removed, which makes the server
    /// rebuild its data.
    pub generation: u64,
    file: Option<File>,
}

impl ServerLog {
    /// Creates a log, with the content of the file `path` if it exists. Later changes are
    /// added to the file. Without `path`, the log is empty and only in memory.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or opened for writing.
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
            // A crash can leave an incomplete last line. Its change was never
            // acknowledged, so it is left out.
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

    /// Adds a record to the log file, if there is one.
    fn persist(&mut self, record: &Record) {
        if let Some(file) = &mut self.file {
            let mut line = serde_json::to_vec(record).expect("a record is plain data");
            line.push(b'\n');
            file.write_all(&line).expect("the log file can be written");
        }
    }

    /// Position of the last entry received.
    pub fn received(&self) -> Position {
        self.entries.last().map_or(Position::ZERO, |(entry, _)| entry.position)
    }

    /// Position of the last entry applied.
    pub fn applied_position(&self) -> Position {
        match self.applied {
            0 => Position::ZERO,
            applied => self.entries[applied - 1].0.position,
        }
    }

    /// Sets term and owner. A higher term ends the server's role in the former one. The
    /// caller has to check that the server may take the term.
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

    /// Appends an entry that was received at `now`.
    pub fn append(&mut self, entry: LogEntry, now: Instant) {
        self.persist(&Record::Append(entry.clone()));
        self.entries.push((entry, now));
    }

    /// Appends a transaction that this server committed as primary, and returns its
    /// position. The transaction counts as applied.
    pub fn commit(&mut self, statements: Vec<LoggedStatement>) -> Position {
        let position = Position::new(self.term, self.entries.len() as u64 + 1);
        let entry = LogEntry { position, statements: Arc::new(statements) };
        self.append(entry, Instant::now());
        self.applied = self.entries.len();
        position
    }

    /// Shortens the log to `length` entries. Returns whether it removed applied entries, so
    /// that the caller has to rebuild the data.
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

    /// Last position of each term in the log, oldest term first.
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

    /// Number of leading entries that this log shares with another one, whose term ends are
    /// `other`.
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
