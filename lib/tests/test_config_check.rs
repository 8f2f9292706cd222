//! Tests of parsing and validating the configuration text.

use chervilwharf_lib::config_check::Severity;
use chervilwharf_lib::config_check::check;
use chervilwharf_lib::verifier;
use quickcheck::quickcheck;

const PL_MID: &str = include_str!("../../examples/pl-mid.json");
const PNW: &str = include_str!("../../examples/pnw.json");

/// Line, column and message of each error.
fn errors(text: &str) -> Vec<(usize, usize, String)> {
    let found = check(text).findings.into_iter();
    let errors = found.filter(|finding| finding.severity == Severity::Error);
    errors.map(|finding| (finding.line, finding.column, finding.message)).collect()
}

#[test]
fn test_examples_have_no_finding() {
    for text in [PL_MID, PNW] {
        let checked = check(text);
        assert_eq!(checked.findings, []);
        assert_eq!(checked.config.unwrap().databases.len(), 3);
    }
}

#[test]
fn test_syntax_error_names_its_place() {
    let found = errors("{\n  \"services\": {,}\n}");
    assert_eq!(found.len(), 1);
    assert_eq!((found[0].0, found[0].1), (2, 16));
}

#[test]
fn test_all_errors_are_found_at_once_each_with_its_place() {
    let text = r#"{
  "failure_domains": ["hall1"],
  "databases": {
    "ledger": {"servers": [
      {"id": "a", "address": "localhost:1", "failure_domain": "hall1"},
      {"id": "a", "address": "127.0.0.1:1", "failure_domain": "hal1"},
      {"id": "b", "address": "127.0.0.1:2", "failure_domain": "hall1", "slots": 0}
    ]},
    "typo": {"serverz": []}
  },
  "services": {
    "s": {"objective": 1.5, "depends_on": {"databases": ["leger"], "services": ["t"]}},
    "t": {"deadline_ms": "5 s", "depends_on": {"services": ["s"]}},
    "u": {"deadline_ms": 0}
  },
  "accounts": {
    "x": {"verifier": "secret", "services": ["sss"]}
  },
  "extra": 1
}"#;
    let found = errors(text);
    let lines: Vec<_> = found.iter().map(|(line, _, _)| *line).collect();
    assert_eq!(lines, [5, 6, 6, 7, 9, 12, 12, 12, 13, 14, 17, 17, 19], "{found:#?}");
    let has = |part: &str| found.iter().any(|(_, _, message)| message.contains(part));
    assert!(has("did you mean \"hall1\"?"));
    assert!(has("did you mean \"ledger\"?"));
    assert!(has("unknown field `serverz`"));
    assert!(has("unknown section \"extra\""));
    assert!(has("expected u64"));
}

#[test]
fn test_cycle_of_services_is_reported() {
    let text = r#"{"failure_domains": [], "databases": {}, "accounts": {}, "services": {
        "a": {"depends_on": {"services": ["b"]}},
        "b": {"depends_on": {"services": ["c"]}},
        "c": {"depends_on": {"services": ["a"]}}}}"#;
    let found = errors(text);
    assert_eq!(found.len(), 1);
    assert!(found[0].2.contains("a -> b -> c -> a"), "{found:?}");
}

#[test]
fn test_duplicate_name_is_an_error() {
    let text = "{\"services\": {\n\"a\": {},\n\"a\": {}}}";
    let found = errors(text);
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].0, 3);
}

#[test]
fn test_text_over_the_limit_of_the_store_is_refused() {
    let found = errors(&" ".repeat(1_000_001));
    assert!(found[0].2.contains("at most 1000000"));
}

quickcheck! {
    fn prop_any_text_is_read_or_refused_with_a_place(text: String) -> bool {
        let checked = check(&text);
        let placed = checked.findings.iter().all(|f| f.line >= 1 && f.column >= 1);
        placed && (checked.config.is_some() || !checked.findings.is_empty())
    }

    fn prop_any_damage_to_a_valid_text_is_survived(at: usize, with: String) -> bool {
        let mut text = PL_MID.to_owned();
        let mut at = at % text.len();
        while !text.is_char_boundary(at) {
            at -= 1;
        }
        text.insert_str(at, &with);
        let checked = check(&text);
        checked.config.is_some() || !checked.findings.is_empty()
    }

    fn prop_a_verifier_is_read_back(password: String, salt: Vec<u8>) -> bool {
        let salt = [salt, vec![1]].concat();
        verifier::parse_verifier(&verifier::make_verifier(&password, &salt)).is_some()
    }
}

/// Guards against a reserve that leaves no slot for most services, and against a weight that
/// starves other accounts or itself.
#[test]
fn test_reserve_and_weight_out_of_range_are_reported_at_their_values() {
    let text = |reserve: &str, weight: &str| {
        format!(
            r#"{{
  "failure_domains": ["hall1"],
  "databases": {{
    "ledger": {{
      "urgent_reserve": {reserve}, "servers": [
      {{"id": "a", "address": "127.0.0.1:1", "failure_domain": "hall1", "slots": 5}},
      {{"id": "b", "address": "127.0.0.1:2", "failure_domain": "hall1", "slots": 3}},
      {{"id": "c", "address": "127.0.0.1:3", "failure_domain": "hall1", "slots": 4}}
    ]}}
  }},
  "services": {{"s": {{"depends_on": {{"databases": ["ledger"]}}}}}},
  "accounts": {{
    "x": {{"services": ["s"], "verifier": "{}",
      "weight":   {weight}}}
  }}
}}"#,
            verifier::make_verifier("secret", b"salt")
        )
    };
    for (reserve, weight) in [("0", "1"), ("2", "1000")] {
        let checked = check(&text(reserve, weight));
        assert_eq!(checked.findings, []);
        let config = checked.config.unwrap();
        assert_eq!(config.databases["ledger"].urgent_reserve.to_string(), reserve);
        assert_eq!(config.accounts["x"].weight.to_string(), weight);
        assert_eq!(config.has_weights(), weight != "1");
    }
    let found = errors(&text("3", "0"));
    let places: Vec<_> = found.iter().map(|(line, column, _)| (*line, *column)).collect();
    assert_eq!(places, [(5, 25), (14, 19)], "{found:#?}");
    assert!(found[0].2.contains("urgent_reserve 3, expected 0 to 2"), "{found:#?}");
    assert!(found[1].2.contains("weight 0, expected 1 to 1000"), "{found:#?}");
    assert_eq!(errors(&text("0", "1001")).len(), 1);
    for (reserve, weight, line) in [("-1", "1", 5), ("0", "1.5", 14), ("0", "\"2\"", 14)] {
        let found = errors(&text(reserve, weight));
        assert!(found.iter().any(|(at, ..)| *at == line), "{found:#?}");
    }
}
