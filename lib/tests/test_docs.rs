//! The reference of settings and configuration names what the code reads.

use std::collections::BTreeSet;

use chervilwharf_lib::config_check;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::settings;
use serde_json::Value;
use serde_json::json;

const REFERENCE: &str = include_str!("../../docs/CONFIGURATION.md");
const DESIGN: &str = include_str!("../../docs/DESIGN.md");
const PL_MID: &str = include_str!("../../examples/pl-mid.json");

/// Names of the members of an object.
fn names(value: &Value) -> BTreeSet<String> {
    value.as_object().map(|object| object.keys().cloned().collect()).unwrap_or_default()
}

/// Last parts of all keys the reference lists.
fn documented() -> BTreeSet<String> {
    REFERENCE
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .map(|key| key.rsplit(['.', ']']).next().unwrap_or(key).to_owned())
        .collect()
}

#[test]
fn test_reference_lists_exactly_the_keys_that_are_read() {
    let text = json!({
        "instance": "a", "failure_domain": "b", "client_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:2", "admin_address": "127.0.0.1:3",
        "store_url": "http://127.0.0.1:4", "peer_key": "0123456789abcdef",
    });
    let settings = settings::parse(&text.to_string()).unwrap();
    let config = config_check::check(PL_MID).config.unwrap();
    let first = |section: &str| {
        let value = serde_json::to_value(&config).unwrap();
        value[section].as_object().unwrap().values().next().unwrap().clone()
    };
    let mut read = names(&serde_json::to_value(&settings).unwrap());
    read.extend(names(&first("databases")));
    read.extend(names(&first("databases")["servers"][0]));
    read.extend(names(&first("services")));
    read.extend(names(&first("accounts")));
    read.insert("failure_domains".into());
    assert_eq!(documented(), read);
}

#[test]
fn test_bad_settings_are_refused_with_a_reason() {
    let cases = [
        ("{}", "missing field `instance`"),
        ("{\"instance\": \"a\", \"colour\": 1}", "unknown field `colour`"),
        ("{", "EOF"),
    ];
    for (text, expected) in cases {
        let error = settings::parse(text).unwrap_err();
        assert!(error.contains(expected) && error.contains("line"), "{error}");
    }
    let mut text = json!({
        "instance": "a", "failure_domain": "b", "client_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:2", "admin_address": "127.0.0.1:3",
        "store_url": "127.0.0.1:4", "peer_key": "0123456789abcdef",
    });
    assert!(settings::parse(&text.to_string()).unwrap_err().contains("store_url"));
    text["store_url"] = json!("http://127.0.0.1:4");
    text["peer_key"] = json!("short");
    assert!(settings::parse(&text.to_string()).unwrap_err().contains("peer_key"));
    text["peer_key"] = json!("0123456789abcdef");
    text["log"] = json!({ "level": "loud" });
    assert!(settings::parse(&text.to_string()).unwrap_err().contains("log.level"));
}

#[test]
fn test_design_names_the_state_for_unknown_outcomes() {
    assert!(DESIGN.contains(ErrorKind::OutcomeUnknown.rule().sqlstate));
}
