//! Parses and validates a configuration text, and reports all errors and
//! warnings at once, each with its position in the text.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::DeserializeOwned;
use serde::de::MapAccess;
use serde::de::Visitor;
use serde_json::value::RawValue;

use crate::config::Account;
use crate::config::Config;
use crate::config::Database;
use crate::config::Service;
use crate::verifier::parse_verifier;

/// Largest accepted configuration text. The platform's store accepts values of
/// up to one megabyte.
pub const TEXT_LIMIT_BYTES: usize = 1_000_000;

/// Largest value of `deadline_ms` of a service, in milliseconds.
const DEADLINE_LIMIT_MS: u64 = 3_600_000;

/// Accepted weights of an account. With the highest beside the lowest, the account with the
/// lowest still gets one slot in about a thousand.
const WEIGHTS: RangeInclusive<u32> = 1..=1_000;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The configuration is invalid and cannot be applied.
    Error,
    /// The configuration is valid, but probably not what its author intended.
    Warning,
}

/// An error or warning about a configuration text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Whether it is an error or a warning.
    pub severity: Severity,
    /// Line in the text, starting at 1.
    pub line: usize,
    /// Column in bytes within the line, starting at 1.
    pub column: usize,
    /// Description of the problem and of what was expected.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{}:{}: {severity}: {}", self.line, self.column, self.message)
    }
}

/// The result of [`check`].
#[derive(Clone, Debug)]
pub struct Checked {
    /// The parsed configuration; `None` if there is an error.
    pub config: Option<Config>,
    /// All findings, in the order of their positions.
    pub findings: Vec<Finding>,
}

/// Parses and validates a configuration text.
#[must_use]
pub fn check(text: &str) -> Checked {
    let mut checker = Checker { text, findings: Vec::new() };
    let config = checker.read();
    checker.findings.sort_by_key(|finding| (finding.line, finding.column));
    let has_error = checker.findings.iter().any(|f| f.severity == Severity::Error);
    Checked { config: config.filter(|_| !has_error), findings: checker.findings }
}

/// Members of a JSON object in the order of the text, including duplicates.
///
/// A map would silently keep only the last of two members with the same name,
/// while an operator may edit the first one.
struct Members<'a>(Vec<(String, &'a RawValue)>);

impl<'de: 'a, 'a> Deserialize<'de> for Members<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct MembersVisitor<'a>(PhantomData<&'a ()>);
        impl<'de: 'a, 'a> Visitor<'de> for MembersVisitor<'a> {
            type Value = Members<'a>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
                let mut members = Vec::new();
                while let Some(member) = map.next_entry::<String, &'de RawValue>()? {
                    members.push(member);
                }
                Ok(Members(members))
            }
        }
        deserializer.deserialize_map(MembersVisitor(PhantomData))
    }
}

/// A parsed value with the slice of the text that it was parsed from.
struct Located<'a, T> {
    raw: &'a RawValue,
    value: T,
}

type Section<'a, T> = BTreeMap<String, Located<'a, T>>;

struct Checker<'a> {
    text: &'a str,
    findings: Vec<Finding>,
}

impl<'a> Checker<'a> {
    fn read(&mut self) -> Option<Config> {
        if self.text.len() > TEXT_LIMIT_BYTES {
            let message = format!(
                "the text has {} bytes, at most {TEXT_LIMIT_BYTES} are accepted",
                self.text.len()
            );
            self.error_at(0, message);
            return None;
        }
        let root: &RawValue = match serde_json::from_str(self.text) {
            Ok(root) => root,
            Err(error) => {
                self.syntax_error(&error);
                return None;
            }
        };
        let members = self.members(root)?;
        let mut domains = Vec::new();
        let mut databases = Section::new();
        let mut services = Section::new();
        let mut accounts = Section::new();
        for (name, raw) in members {
            match name.as_str() {
                "failure_domains" => domains = self.value::<Vec<String>>(raw).unwrap_or_default(),
                "databases" => databases = self.section::<Database>(raw),
                "services" => services = self.section::<Service>(raw),
                "accounts" => accounts = self.section::<Account>(raw),
                _ => self.error(
                    raw,
                    format!(
                        "unknown section \"{name}\", expected failure_domains, databases, \
                         services or accounts"
                    ),
                ),
            }
        }
        self.check_databases(&databases, &domains);
        self.check_services(&services, &databases);
        self.check_accounts(&accounts, &services);
        self.warn_unreachable(&databases, &services, &accounts);
        Some(Config {
            failure_domains: domains.into_iter().map(Into::into).collect(),
            databases: into_values(databases),
            services: into_values(services),
            accounts: into_values(accounts),
        })
    }

    fn section<T: DeserializeOwned>(&mut self, raw: &'a RawValue) -> Section<'a, T> {
        let mut section = Section::new();
        for (name, raw) in self.members(raw).unwrap_or_default() {
            if name.is_empty() {
                self.error(raw, "a name must not be empty".into());
            }
            if let Some(value) = self.value::<T>(raw) {
                section.insert(name, Located { raw, value });
            }
        }
        section
    }

    /// Returns the members of an object, and reports duplicate names.
    fn members(&mut self, raw: &'a RawValue) -> Option<Vec<(String, &'a RawValue)>> {
        let members = match serde_json::from_str::<Members<'a>>(raw.get()) {
            Ok(Members(members)) => members,
            Err(error) => {
                self.error(
                    raw,
                    format!("{}, expected an object", message_without_position(&error)),
                );
                return None;
            }
        };
        let mut seen = BTreeSet::new();
        for (name, raw) in &members {
            if !seen.insert(name.clone()) {
                self.error(raw, format!("duplicate name \"{name}\""));
            }
        }
        Some(members)
    }

    fn value<T: DeserializeOwned>(&mut self, raw: &'a RawValue) -> Option<T> {
        match serde_json::from_str::<T>(raw.get()) {
            Ok(value) => Some(value),
            Err(error) => {
                let start = self.offset(raw);
                let inner = offset_of(raw.get(), error.line(), error.column());
                self.error_at(start + inner, message_without_position(&error));
                None
            }
        }
    }

    fn check_databases(&mut self, databases: &Section<'a, Database>, domains: &[String]) {
        let mut seen = BTreeSet::new();
        for (name, located) in databases {
            let servers = &located.value.servers;
            if servers.is_empty() {
                self.error(located.raw, format!("database \"{name}\" has no server"));
            } else if servers.len() % 2 == 0 {
                self.warning(
                    located.raw,
                    format!(
                        "database \"{name}\" has {} servers; an even number tolerates no \
                         more failures than one server fewer",
                        servers.len()
                    ),
                );
            }
            self.check_reserve(name, located);
            for server in servers {
                let place = self.first_offset_of(located.raw, &server.id);
                if !seen.insert(server.id.clone()) {
                    let place = self.last_offset_of(located.raw, &server.id);
                    self.error_at(place, format!("duplicate server \"{}\"", server.id));
                }
                if server.address.parse::<SocketAddr>().is_err() {
                    let place = self.first_offset_of(located.raw, &server.address);
                    self.error_at(
                        place,
                        format!(
                            "address \"{}\" of server \"{}\" is not an IP address and a port",
                            server.address, server.id
                        ),
                    );
                }
                if !domains.iter().any(|domain| **domain == *server.failure_domain) {
                    let place = self.first_offset_of(located.raw, &server.failure_domain);
                    self.error_at(
                        place,
                        format!(
                            "server \"{}\" is in the unknown failure domain \"{}\"{}",
                            server.id,
                            server.failure_domain,
                            suggest(&server.failure_domain, domains.iter().map(String::as_str))
                        ),
                    );
                }
                if server.slots == 0 || server.connections < server.slots {
                    self.error_at(
                        place,
                        format!(
                            "server \"{}\" has {} slots and {} connections, expected at least \
                             one slot and no fewer connections than slots",
                            server.id, server.slots, server.connections
                        ),
                    );
                }
            }
        }
    }

    fn check_reserve(&mut self, name: &str, located: &Located<'a, Database>) {
        let reserve = located.value.urgent_reserve;
        let Some(slots) = located.value.servers.iter().map(|server| server.slots).min() else {
            return;
        };
        if reserve == 0 || reserve < slots {
            return;
        }
        let place = member(located.raw, "urgent_reserve");
        self.error(
            place,
            format!(
                "database \"{name}\" has urgent_reserve {reserve}, expected 0 to {}: fewer than \
                 the slots of each of its servers",
                slots.saturating_sub(1)
            ),
        );
    }

    fn check_services(
        &mut self,
        services: &Section<'a, Service>,
        databases: &Section<'a, Database>,
    ) {
        for (name, located) in services {
            let service = &located.value;
            if !(service.objective > 0.0 && service.objective < 1.0) {
                self.error(
                    located.raw,
                    format!(
                        "service \"{name}\" has the objective {}, expected a fraction between 0 and 1",
                        service.objective
                    ),
                );
            }
            if service.deadline_ms == 0 || service.deadline_ms > DEADLINE_LIMIT_MS {
                self.error(
                    located.raw,
                    format!(
                        "service \"{name}\" has deadline_ms {}, expected 1 to {DEADLINE_LIMIT_MS}",
                        service.deadline_ms
                    ),
                );
            }
            for database in &service.depends_on.databases {
                if !databases.contains_key(&**database) {
                    let place = self.first_offset_of(located.raw, database);
                    let hint = suggest(database, databases.keys().map(String::as_str));
                    let message = format!(
                        "service \"{name}\" depends on the unknown database \"{database}\"{hint}"
                    );
                    self.error_at(place, message);
                }
            }
            for other in &service.depends_on.services {
                if !services.contains_key(&**other) {
                    let place = self.first_offset_of(located.raw, other);
                    let hint = suggest(other, services.keys().map(String::as_str));
                    let message = format!(
                        "service \"{name}\" depends on the unknown service \"{other}\"{hint}"
                    );
                    self.error_at(place, message);
                }
            }
        }
        self.check_cycles(services);
    }

    fn check_cycles(&mut self, services: &Section<'a, Service>) {
        let mut reported = BTreeSet::new();
        for name in services.keys() {
            let Some(cycle) = find_cycle(name, services) else {
                continue;
            };
            let members: BTreeSet<_> = cycle.iter().cloned().collect();
            if !reported.insert(members) {
                continue;
            }
            let raw = services[name].raw;
            self.error(
                raw,
                format!("services depend on each other in a cycle: {}", cycle.join(" -> ")),
            );
        }
    }

    fn check_accounts(&mut self, accounts: &Section<'a, Account>, services: &Section<'a, Service>) {
        for (name, located) in accounts {
            let account = &located.value;
            if account.services.is_empty() {
                self.error(located.raw, format!("account \"{name}\" has no service"));
            }
            for service in &account.services {
                if !services.contains_key(&**service) {
                    let place = self.first_offset_of(located.raw, service);
                    let hint = suggest(service, services.keys().map(String::as_str));
                    let message = format!(
                        "account \"{name}\" acts for the unknown service \"{service}\"{hint}"
                    );
                    self.error_at(place, message);
                }
            }
            if !WEIGHTS.contains(&account.weight) {
                let place = member(located.raw, "weight");
                self.error(
                    place,
                    format!(
                        "account \"{name}\" has the weight {}, expected {} to {}",
                        account.weight,
                        WEIGHTS.start(),
                        WEIGHTS.end()
                    ),
                );
            }
            if parse_verifier(&account.verifier).is_none() {
                self.error(
                    located.raw,
                    format!(
                        "the verifier of account \"{name}\" is not of the form \
                         SCRAM-SHA-256$iterations:salt$stored_key:server_key; \
                         `chervilwharf verifier` generates one"
                    ),
                );
            }
        }
    }

    fn warn_unreachable(
        &mut self,
        databases: &Section<'a, Database>,
        services: &Section<'a, Service>,
        accounts: &Section<'a, Account>,
    ) {
        for (name, located) in databases {
            let used = services
                .values()
                .any(|service| service.value.depends_on.databases.iter().any(|id| **id == **name));
            if !used {
                self.warning(located.raw, format!("no service uses database \"{name}\""));
            }
        }
        for (name, located) in services {
            let used = accounts
                .values()
                .any(|account| account.value.services.iter().any(|id| **id == **name));
            if !used {
                self.warning(located.raw, format!("no account acts for service \"{name}\""));
            }
        }
    }

    fn syntax_error(&mut self, error: &serde_json::Error) {
        let message = message_without_position(error);
        self.findings.push(Finding {
            severity: Severity::Error,
            line: error.line().max(1),
            column: error.column().max(1),
            message,
        });
    }

    fn error(&mut self, raw: &RawValue, message: String) {
        let offset = self.offset(raw);
        self.error_at(offset, message);
    }

    fn error_at(&mut self, offset: usize, message: String) {
        self.push(Severity::Error, offset, message);
    }

    fn warning(&mut self, raw: &RawValue, message: String) {
        let offset = self.offset(raw);
        self.push(Severity::Warning, offset, message);
    }

    fn push(&mut self, severity: Severity, offset: usize, message: String) {
        let (line, column) = line_and_column(self.text, offset);
        self.findings.push(Finding { severity, line, column, message });
    }

    /// Byte offset of a raw value in the text. The raw value is a slice of the
    /// text, so the offset is the difference of their addresses.
    fn offset(&self, raw: &RawValue) -> usize {
        let start = self.text.as_ptr() as usize;
        (raw.get().as_ptr() as usize).saturating_sub(start).min(self.text.len())
    }

    /// Byte offset in the text of the last occurrence of a JSON string in a raw
    /// value.
    fn last_offset_of(&self, raw: &RawValue, needle: &str) -> usize {
        let quoted = serde_json::to_string(needle).unwrap_or_default();
        self.offset(raw) + raw.get().rfind(&quoted).unwrap_or(0)
    }

    /// Byte offset in the text of the first occurrence of a JSON string in a raw
    /// value.
    fn first_offset_of(&self, raw: &RawValue, needle: &str) -> usize {
        let quoted = serde_json::to_string(needle).unwrap_or_default();
        self.offset(raw) + raw.get().find(&quoted).unwrap_or(0)
    }
}

/// The member of an object with this name, or the object itself if it has none.
fn member<'a>(object: &'a RawValue, name: &str) -> &'a RawValue {
    let members = serde_json::from_str::<Members<'a>>(object.get());
    let members = members.map_or_else(|_| Vec::new(), |Members(members)| members);
    members.into_iter().find(|(member, _)| member == name).map_or(object, |(_, raw)| raw)
}

fn into_values<K: From<String> + Ord, T>(section: Section<'_, T>) -> BTreeMap<K, T> {
    section.into_iter().map(|(name, located)| (name.into(), located.value)).collect()
}

/// The message of an error without its position, which a [`Finding`] has in
/// fields of its own.
fn message_without_position(error: &serde_json::Error) -> String {
    let text = error.to_string();
    match text.rfind(" at line ") {
        Some(end) => text[..end].to_owned(),
        None => text,
    }
}

fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = &text.as_bytes()[..offset.min(text.len())];
    let line = text[..before.len()].matches('\n').count() + 1;
    let line_start = before.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
    (line, before.len() - line_start + 1)
}

fn offset_of(text: &str, line: usize, column: usize) -> usize {
    let skipped: usize =
        text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum();
    (skipped + column.saturating_sub(1)).min(text.len())
}

fn find_cycle(start: &str, services: &Section<'_, Service>) -> Option<Vec<String>> {
    let mut path = vec![start.to_owned()];
    let mut visited = BTreeSet::new();
    visit(start, start, services, &mut path, &mut visited).then_some(path)
}

fn visit(
    at: &str,
    goal: &str,
    services: &Section<'_, Service>,
    path: &mut Vec<String>,
    visited: &mut BTreeSet<String>,
) -> bool {
    let Some(located) = services.get(at) else {
        return false;
    };
    for next in &located.value.depends_on.services {
        path.push(next.to_string());
        if **next == *goal {
            return true;
        }
        if visited.insert(next.to_string()) && visit(next, goal, services, path, visited) {
            return true;
        }
        path.pop();
    }
    false
}

/// Returns a hint with the known name that is most similar to `unknown`, or an
/// empty text if none is similar enough.
fn suggest<'b>(unknown: &str, known: impl Iterator<Item = &'b str>) -> String {
    let closest = known
        .map(|word| (edit_distance(unknown, word), word))
        .filter(|(distance, word)| *distance <= 2.max(word.len() / 4))
        .min();
    closest.map_or_else(String::new, |(_, word)| format!(", did you mean \"{word}\"?"))
}

fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let substituted = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
