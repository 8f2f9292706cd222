//! What a statement is, and what its comment says about it.

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

/// Largest accepted statement.
pub const STATEMENT_LIMIT_BYTES: usize = 1024 * 1024;

/// What a statement does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementClass {
    /// Reads only; may run at a replica and may be repeated.
    Read,
    /// Changes something; runs at most once.
    Write,
    /// `BEGIN`.
    Begin,
    /// `COMMIT`.
    Commit,
    /// `ROLLBACK`.
    Rollback,
    /// `SET chervilwharf.…`, or another variable, which is kept by the entry.
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
    /// Cannot work through a proxy that runs each statement anywhere.
    Unsupported(&'static str),
}

/// Splits a text of several statements and classifies each.
///
/// # Errors
///
/// Returns the message of the SQL parser, with the place.
pub fn split(sql: &str) -> Result<Vec<(String, StatementClass)>, String> {
    if sql.trim().is_empty() {
        return Ok(vec![(String::new(), StatementClass::Empty)]);
    }
    // The parser wants the data of a COPY in the text itself.
    if sql.trim_start().get(..5).is_some_and(|word| word.eq_ignore_ascii_case("copy ")) {
        return Ok(vec![(sql.to_owned(), StatementClass::Unsupported("COPY"))]);
    }
    let statements = Parser::parse_sql(&PostgreSqlDialect {}, sql).map_err(|e| e.to_string())?;
    if statements.is_empty() {
        return Ok(vec![(String::new(), StatementClass::Empty)]);
    }
    // A single statement keeps its text to the letter; only a text of
    // several has to be written anew from the tree.
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

/// Looks for a part of a query that writes or locks.
struct WriteFinder {
    found: bool,
}

/// Functions with an effect that a plain name betrays. Any other function
/// that writes is refused by a replica, and by the read-only transaction in
/// which a primary runs reads; it then runs as a write.
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

/// What the comment of a statement asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommentHints {
    /// Names the request.
    pub request_id: Option<String>,
    /// How current its read must be.
    pub freshness: Option<Freshness>,
    /// How long it may take.
    pub deadline: Option<Duration>,
}

/// Reads the last comment of a statement, in the form of sqlcommenter:
/// `/*request_id='…',freshness='fresh',max_age_ms='500',deadline_ms='2000'*/`.
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

/// Reads `own_writes`, `fresh` or a number of milliseconds.
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
