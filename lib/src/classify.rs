//! Parses SQL texts: splits them into statements, classifies each statement,
//! and reads the options in its comment.

use std::ops::ControlFlow;
use std::time::Duration;

use sqlparser::ast::Expr;
use sqlparser::ast::Query;
use sqlparser::ast::Set;
use sqlparser::ast::SetExpr;
use sqlparser::ast::Statement;
use sqlparser::ast::Visit;
use sqlparser::ast::Visitor;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use crate::floors::Freshness;

/// Largest accepted statement, in bytes.
pub const STATEMENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Kind of a statement, which determines where and how often it may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementClass {
    /// Only reads: it may run at a replica and may run more than once.
    Read,
    /// May change data: it runs at the primary and at most once.
    Write,
    /// `BEGIN`.
    Begin,
    /// `COMMIT`.
    Commit,
    /// `ROLLBACK`.
    Rollback,
    /// `SET` of a `chervilwharf.…` variable or of another one. The instance that
    /// the client is connected to keeps the value.
    Set {
        /// Name of the variable, in lower case.
        variable: String,
        /// Its new value, without quotes.
        value: String,
    },
    /// `SHOW variable`.
    Show {
        /// Name of the variable, in lower case.
        variable: String,
    },
    /// Nothing but white space and comments.
    Empty,
    /// Not supported, since the proxy may run each statement of a session on
    /// another connection. The text names the feature.
    Unsupported(&'static str),
}

/// Splits a text into its statements and classifies each.
///
/// # Errors
///
/// Returns the message of the SQL parser, which includes the position.
pub fn split(sql: &str) -> Result<Vec<(String, StatementClass)>, String> {
    if sql.trim().is_empty() {
        return Ok(vec![(String::new(), StatementClass::Empty)]);
    }
    // The parser expects the data of a COPY in the text itself and would fail.
    if sql.trim_start().get(..5).is_some_and(|word| word.eq_ignore_ascii_case("copy ")) {
        return Ok(vec![(sql.to_owned(), StatementClass::Unsupported("COPY"))]);
    }
    let statements = Parser::parse_sql(&PostgreSqlDialect {}, sql).map_err(|e| e.to_string())?;
    if statements.is_empty() {
        return Ok(vec![(String::new(), StatementClass::Empty)]);
    }
    // The text of a single statement stays unchanged. Of several statements,
    // each is formatted from its syntax tree.
    if let [statement] = statements.as_slice() {
        let text = sql.trim().trim_end_matches(';').to_owned();
        return Ok(vec![(text, classify(statement))]);
    }
    let parts = statements.iter().map(|s| (s.to_string(), classify(s)));
    Ok(parts.collect())
}

fn classify(statement: &Statement) -> StatementClass {
    match statement {
        Statement::Query(query) => classify_query(query),
        Statement::Explain { analyze: false, .. } => StatementClass::Read,
        Statement::StartTransaction { .. } => StatementClass::Begin,
        Statement::Commit { .. } => StatementClass::Commit,
        Statement::Rollback { savepoint: None, .. } => StatementClass::Rollback,
        Statement::Set(Set::SingleAssignment { variable, values, .. }) => StatementClass::Set {
            variable: variable.to_string().to_lowercase(),
            value: values.first().map(literal).unwrap_or_default(),
        },
        Statement::Set(Set::SetTimeZone { value, .. }) => {
            StatementClass::Set { variable: "timezone".into(), value: literal(value) }
        }
        Statement::ShowVariable { variable } => {
            let words: Vec<_> = variable.iter().map(|ident| ident.value.to_lowercase()).collect();
            StatementClass::Show { variable: words.join(".") }
        }
        Statement::Copy { .. } => StatementClass::Unsupported("COPY"),
        Statement::LISTEN { .. } | Statement::NOTIFY { .. } | Statement::UNLISTEN { .. } => {
            StatementClass::Unsupported("LISTEN and NOTIFY")
        }
        Statement::Declare { .. } | Statement::Fetch { .. } => {
            StatementClass::Unsupported("cursors")
        }
        Statement::Prepare { .. } | Statement::Execute { .. } | Statement::Deallocate { .. } => {
            StatementClass::Unsupported("PREPARE as a statement; use the protocol's own")
        }
        Statement::Set(_) => StatementClass::Unsupported("this form of SET"),
        _ => StatementClass::Write,
    }
}

fn literal(value: &Expr) -> String {
    match value {
        Expr::Value(value) => {
            let text = value.value.clone().into_string();
            text.unwrap_or_else(|| value.to_string())
        }
        Expr::Identifier(ident) => ident.value.clone(),
        other => other.to_string(),
    }
}

fn classify_query(query: &Query) -> StatementClass {
    let mut finder = WriteFinder { found: !query.locks.is_empty() };
    let _ = query.visit(&mut finder);
    if finder.found { StatementClass::Write } else { StatementClass::Read }
}

/// Visits the syntax tree of a query to find parts that write or lock.
struct WriteFinder {
    found: bool,
}

/// Built-in functions with side effects. A query that calls any other function
/// that writes is classified as a read; a replica refuses it, and so does the
/// read-only transaction in which a primary runs reads. It then runs as a write.
const WRITING_FUNCTIONS: [&str; 4] = ["nextval", "setval", "pg_advisory_lock", "txid_current"];

impl Visitor for WriteFinder {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let writes = matches!(
            *query.body,
            SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_)
        );
        self.found |= writes || !query.locks.is_empty();
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        if let Expr::Function(function) = expr {
            let name = function.name.to_string().to_lowercase();
            self.found |= WRITING_FUNCTIONS.contains(&name.as_str());
        }
        ControlFlow::Continue(())
    }
}

/// Options that a client sets in the comment of a statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommentHints {
    /// Id of the request.
    pub request_id: Option<String>,
    /// Freshness that a read must have.
    pub freshness: Option<Freshness>,
    /// Time limit of the request.
    pub deadline: Option<Duration>,
}

/// Parses the comment at the end of a statement, in the sqlcommenter format:
/// `/*request_id='…',freshness='fresh',max_age_ms='500',deadline_ms='2000'*/`.
///
/// Unknown keys and invalid values are ignored.
#[must_use]
pub fn comment_hints(sql: &str) -> CommentHints {
    let mut hints = CommentHints::default();
    let Some(end) = sql.trim_end_matches([' ', ';', '\n', '\t']).strip_suffix("*/") else {
        return hints;
    };
    let Some(start) = end.rfind("/*") else {
        return hints;
    };
    for pair in end[start + 2..].split(',') {
        let Some((key, value)) = pair.split_once('=') else {
            continue;
        };
        let value = percent_decode(value.trim().trim_matches('\''));
        match key.trim() {
            "request_id" => hints.request_id = Some(value),
            "freshness" => hints.freshness = parse_freshness(&value),
            "max_age_ms" => {
                let age = value.parse().ok().map(Duration::from_millis);
                hints.freshness = age.map(Freshness::MaxAge).or(hints.freshness);
            }
            "deadline_ms" => hints.deadline = value.parse().ok().map(Duration::from_millis),
            _ => {}
        }
    }
    hints
}

/// Parses `own_writes`, `fresh` or a maximum age in milliseconds.
#[must_use]
pub fn parse_freshness(value: &str) -> Option<Freshness> {
    match value {
        "own_writes" => Some(Freshness::OwnWrites),
        "fresh" => Some(Freshness::Fresh),
        age_ms => age_ms.parse().ok().map(Duration::from_millis).map(Freshness::MaxAge),
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes
            .get(at + 1..at + 3)
            .filter(|_| bytes[at] == b'%')
            .and_then(|hex| std::str::from_utf8(hex).ok())
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        decoded.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
