//! Reads the metrics text of an instance, in the text format of Prometheus.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

/// Prefix of the names of all metrics of an instance.
const PREFIX: &str = "chervilwharf_";

/// Labels of a sample, by name.
pub type Labels = BTreeMap<Arc<str>, Arc<str>>;

/// The samples of a metrics text that a summary uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MetricsText {
    samples: HashMap<&'static str, HashMap<Labels, f64>>,
    /// Lines of used metrics whose value is no finite number, or that cannot be read.
    pub ignored_lines: usize,
}

impl MetricsText {
    /// Reads a metrics text and keeps the samples of the metrics `used`. Lines of other
    /// metrics are ignored; unreadable lines of used ones are counted.
    ///
    /// # Errors
    ///
    /// Returns a description if the text has no line of a metric of an instance, so that it
    /// comes from something else.
    pub fn parse(text: &str, used: &[&'static str]) -> Result<Self, String> {
        let mut parsed = Self::default();
        let mut is_of_instance = false;
        for line in text.lines().map(str::trim).filter(|line| !line.starts_with('#')) {
            let end = line.find(['{', ' ', '\t']).unwrap_or(line.len());
            let (name, rest) = line.split_at(end);
            is_of_instance |= name.starts_with(PREFIX);
            let Some(name) = used.iter().find(|known| **known == name) else {
                continue;
            };
            match parse_sample(rest) {
                Some((labels, value)) => {
                    parsed.samples.entry(name).or_default().insert(labels, value);
                }
                None => parsed.ignored_lines += 1,
            }
        }
        if is_of_instance { Ok(parsed) } else { Err("the answer has no metrics".to_owned()) }
    }

    /// The samples of a metric.
    pub fn samples(&self, name: &str) -> impl Iterator<Item = (&Labels, f64)> {
        let samples = self.samples.get(name).into_iter().flatten();
        samples.map(|(labels, value)| (labels, *value))
    }

    /// The value of the sample with exactly these labels; `None` if there is none.
    #[must_use]
    pub fn value(&self, name: &str, labels: &Labels) -> Option<f64> {
        self.samples.get(name)?.get(labels).copied()
    }

    /// Whether there is a sample of a metric.
    #[must_use]
    pub fn has(&self, name: &str) -> bool {
        self.samples.contains_key(name)
    }
}

/// Reads the part of a line after the name: labels, if any, the value, and an optional
/// timestamp, which is ignored.
fn parse_sample(rest: &str) -> Option<(Labels, f64)> {
    let (labels, rest) = match rest.strip_prefix('{') {
        Some(rest) => parse_labels(rest)?,
        None => (Labels::new(), rest),
    };
    let value: f64 = rest.split_whitespace().next()?.parse().ok()?;
    value.is_finite().then_some((labels, value))
}

/// Reads labels up to the closing brace and returns them with the text after it.
fn parse_labels(mut rest: &str) -> Option<(Labels, &str)> {
    let mut labels = Labels::new();
    loop {
        rest = rest.trim_start_matches([',', ' ']);
        if let Some(after) = rest.strip_prefix('}') {
            return Some((labels, after));
        }
        let (name, quoted) = rest.split_once('=')?;
        let (value, after) = parse_quoted(quoted.trim_start().strip_prefix('"')?)?;
        labels.insert(name.trim().into(), value.into());
        rest = after;
    }
}

/// Reads a label's value up to the closing quotation mark, with the escapes `\\`, `\"` and
/// `\n`, and returns it with the text after it.
fn parse_quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut characters = text.char_indices();
    while let Some((at, character)) = characters.next() {
        match character {
            '"' => return Some((value, &text[at + 1..])),
            '\\' => match characters.next()?.1 {
                'n' => value.push('\n'),
                escaped => value.push(escaped),
            },
            other => value.push(other),
        }
    }
    None
}
