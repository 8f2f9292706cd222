//! Tests of the summary that combines the metrics texts of several instances.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::load_summary::CountKind;
use chervilwharf_lib::load_summary::LoadSummary;
use chervilwharf_lib::load_summary::Reading;
use chervilwharf_lib::load_summary::metrics_text::Labels;
use chervilwharf_lib::load_summary::metrics_text::MetricsText;
use serde_json::Value;

/// An instance with waiting requests, refusals, a keeper's lease and current information.
const BUSY: &str = r#"# HELP chervilwharf_waiting_by_priority Requests that wait for a connection.
# TYPE chervilwharf_waiting_by_priority gauge
chervilwharf_waiting{group="orders"} 7
chervilwharf_waiting_by_priority{group="orders",priority="1"} 2
chervilwharf_waiting_by_priority{group="orders",priority="5"} 5
chervilwharf_longest_wait_seconds{group="orders",priority="1"} 0.02
chervilwharf_longest_wait_seconds{group="orders",priority="5"} 0.4
chervilwharf_waiting_by_account{account="shop"} 4
chervilwharf_waiting_by_account{account="other"} 3
chervilwharf_refused_total{group="orders",priority="5",reason="overloaded"} 10
chervilwharf_refused_total{group="orders",priority="none",reason="quota_unknown"} 3
chervilwharf_account_statements_total{account="shop",outcome="ok"} 90
chervilwharf_account_statements_total{account="shop",outcome="rate_limited"} 4
chervilwharf_quota_shards{role="keeper"} 2
chervilwharf_quota_shards{role="share_counted"} 1
chervilwharf_quota_shards{role="share_standby"} 3
chervilwharf_account_homes{account="shop",group="orders",home="a"} 1
chervilwharf_configuration_version 12
chervilwharf_configuration_age_seconds 30.5
chervilwharf_sample_age_seconds{group="orders"} 0.1
chervilwharf_store_answer_age_seconds{kind="config"} 0.5
chervilwharf_unknown_metric{with="a label"} 4
# EOF
"#;

/// An instance without load whose information is outdated.
const OUTDATED: &str = r#"chervilwharf_quota_shards{role="keeper"} 0
chervilwharf_quota_shards{role="share_counted"} 1
chervilwharf_quota_shards{role="share_standby"} 0
chervilwharf_waiting_by_priority{group="orders",priority="5"} 1
chervilwharf_longest_wait_seconds{group="orders",priority="5"} 1.25
chervilwharf_refused_total{group="orders",priority="5",reason="overloaded"} 5
chervilwharf_account_homes{account="shop",group="orders",home="c"} 1
chervilwharf_configuration_version 11
chervilwharf_configuration_age_seconds 900
chervilwharf_sample_age_seconds{group="orders"} 4.5
chervilwharf_sample_age_seconds{group="stock"} 0.1
chervilwharf_store_answer_age_seconds{kind="config"} 61
chervilwharf_store_answer_age_seconds{kind="servers"} 60
"#;

/// An instance of a build without the metrics that came with the summary.
const EARLIER_BUILD: &str = r#"chervilwharf_waiting{group="orders"} 6
chervilwharf_account_statements_total{account="shop",outcome="ok"} 10
chervilwharf_configuration_version 12
chervilwharf_sample_age_seconds{group="orders"} 0.1
chervilwharf_store_answer_age_seconds{kind="config"} 0.5
"#;

fn reading(address: &str, read_at_s: u64, text: &str) -> Reading {
    Reading::new(address.into(), Duration::from_secs(read_at_s), Ok(text))
}

fn labels(pairs: &[(&str, &str)]) -> Labels {
    pairs.iter().map(|(name, value)| (Arc::from(*name), Arc::from(*value))).collect()
}

#[test]
fn test_instances_are_combined_into_one_summary() {
    let readings = [reading("a:1", 0, BUSY), reading("b:1", 0, OUTDATED)];
    let summary = LoadSummary::new(&readings, None);
    assert_eq!((summary.instances_read, summary.counts), (2, CountKind::Total));
    assert_eq!(summary.configuration_version, Some(12.0));
    let waiting: Vec<_> = summary.waiting.rows.iter().collect();
    assert_eq!(waiting.len(), 2);
    assert_eq!((waiting[0].priority.as_deref(), waiting[0].waiting), (Some("5"), 6.0));
    assert_eq!((waiting[0].longest_wait_s, waiting[0].instances), (Some(1.25), 2));
    assert_eq!((waiting[1].priority.as_deref(), waiting[1].waiting), (Some("1"), 2.0));
    let accounts: Vec<_> =
        summary.waiting_accounts.rows.iter().map(|row| (&*row.account, row.waiting)).collect();
    assert_eq!(accounts, [("shop", 4.0), ("other", 3.0)]);
    let refused: Vec<_> = summary
        .refused
        .rows
        .iter()
        .map(|row| (&*row.priority, &*row.reason, row.refused))
        .collect();
    assert_eq!(refused, [("5", "overloaded", 15.0), ("none", "quota_unknown", 3.0)]);
    let failed = &summary.refused_accounts.rows;
    assert_eq!((failed.len(), &*failed[0].reason), (1, "rate_limited"));
    assert_eq!((failed[0].refused, failed[0].served), (4.0, 90.0));
    let quota: Vec<_> = summary.quota.rows.iter().collect();
    assert_eq!((&*quota[0].instance, quota[0].keeper), ("a:1", Some(2.0)));
    assert_eq!((quota[0].share_held, quota[0].share_standby), (Some(4.0), Some(3.0)));
    assert_eq!((&*quota[1].instance, quota[1].share_counted), ("b:1", Some(1.0)));
    let homes = &summary.homes.rows;
    assert_eq!(homes.len(), 1);
    assert_eq!(
        homes[0].homes.iter().map(|(home, n)| (&**home, *n)).collect::<Vec<_>>(),
        [("a", 1), ("c", 1)]
    );
    let outdated = &summary.outdated.rows;
    assert_eq!((outdated.len(), &*outdated[0].instance), (1, "b:1"));
    assert_eq!(outdated[0].configuration_version, Some(11.0));
    assert_eq!(outdated[0].configuration_outdated_s, Some(30.5));
    assert_eq!(outdated[0].position_age_s, Some(4.5));
    assert_eq!(outdated[0].position_group.as_deref(), Some("orders"));
    assert_eq!(outdated[0].store_answer_age_s, Some(60.0));
    assert_eq!(summary.ignored_lines, 0);
}

/// Guards against an instance that is missing without notice because it does not answer, or
/// because its address belongs to something else.
#[test]
fn test_instances_that_cannot_be_read_are_named_and_the_rest_is_summarized() {
    let refused = Err("connection refused".to_owned());
    let readings = [
        Reading::new("a:1".into(), Duration::ZERO, refused),
        reading("b:1", 0, "<html><body>chervilwharf 12</body></html>"),
        reading("c:1", 0, "go_goroutines 12\n"),
        reading("d:1", 0, ""),
        reading("e:1", 0, BUSY),
    ];
    let summary = LoadSummary::new(&readings, None);
    let unread: Vec<_> =
        summary.unread.iter().map(|note| (&*note.instance, &*note.reason)).collect();
    assert_eq!(
        unread,
        [
            ("a:1", "connection refused"),
            ("b:1", "the answer has no metrics"),
            ("c:1", "the answer has no metrics"),
            ("d:1", "the answer has no metrics"),
        ]
    );
    assert_eq!(summary.instances_read, 1);
    assert_eq!(summary.waiting.rows.len(), 2);
}

/// Guards against a missing metric of an earlier build that is shown as 0.
#[test]
fn test_missing_metrics_of_an_earlier_build_are_not_zero() {
    let summary = LoadSummary::new(&[reading("old:1", 0, EARLIER_BUILD)], None);
    let waiting = &summary.waiting.rows;
    assert_eq!((waiting.len(), waiting[0].waiting), (1, 6.0));
    assert_eq!((waiting[0].priority.as_deref(), waiting[0].longest_wait_s), (None, None));
    assert_eq!(summary.refused.reporting_instances, 0);
    assert_eq!(summary.waiting_accounts.reporting_instances, 0);
    assert_eq!(summary.homes.reporting_instances, 0);
    let quota = &summary.quota.rows;
    assert_eq!((quota.len(), quota[0].keeper, quota[0].share_held), (1, None, None));
    assert_eq!(summary.outdated.rows, []);

    let mixed = [reading("old:1", 0, EARLIER_BUILD), reading("a:1", 0, BUSY)];
    let summary = LoadSummary::new(&mixed, None);
    let waiting: Vec<_> =
        summary.waiting.rows.iter().map(|row| (row.priority.as_deref(), row.waiting)).collect();
    assert_eq!(waiting, [(None, 6.0), (Some("5"), 5.0), (Some("1"), 2.0)]);
    assert_eq!(summary.refused.reporting_instances, 1);

    let bare = [reading("bare:1", 0, "chervilwharf_requests_total{outcome=\"ok\"} 3\n")];
    let summary = LoadSummary::new(&bare, None);
    assert_eq!(summary.waiting.reporting_instances, 0);
    let outdated = &summary.outdated.rows;
    assert_eq!((outdated.len(), outdated[0].configuration_version), (1, None));
    assert_eq!((outdated[0].position_age_s, outdated[0].store_answer_age_s), (None, None));
}

#[test]
fn test_counts_are_rates_between_two_reads() {
    let earlier = [reading("a:1", 10, BUSY), reading("b:1", 10, OUTDATED)];
    let later = BUSY.replace("\"overloaded\"} 10", "\"overloaded\"} 30");
    let later = later.replace("outcome=\"ok\"} 90", "outcome=\"ok\"} 100");
    let later = format!(
        "{later}chervilwharf_refused_total{{group=\"stock\",priority=\"1\",reason=\"cut_off\"}} 4\n"
    );
    // The two reads of an instance determine its interval: 4 s and 2 s.
    let readings = [reading("a:1", 14, &later), reading("b:1", 12, OUTDATED)];
    let summary = LoadSummary::new(&readings, Some(&earlier));
    assert_eq!(summary.counts, CountKind::PerSecond);
    let refused: Vec<_> =
        summary.refused.rows.iter().map(|row| (&*row.group, &*row.reason, row.refused)).collect();
    assert_eq!(refused, [("orders", "overloaded", 5.0), ("stock", "cut_off", 1.0)]);
    // Nothing failed between the reads, so that the account has no row.
    assert_eq!(summary.refused_accounts.rows, []);
    assert_eq!(summary.counts_omitted, []);
}

/// Guards against a negative or far too high rate of an instance whose counters began at 0
/// again, and against a rate of one that was not read before.
#[test]
fn test_rates_of_restarted_instances_are_omitted() {
    let earlier = [reading("a:1", 0, BUSY), reading("b:1", 0, OUTDATED)];
    let restarted = BUSY.replace("\"overloaded\"} 10", "\"overloaded\"} 9");
    let later = OUTDATED.replace("\"overloaded\"} 5", "\"overloaded\"} 7");
    let readings =
        [reading("a:1", 2, &restarted), reading("b:1", 2, &later), reading("new:1", 2, BUSY)];
    let summary = LoadSummary::new(&readings, Some(&earlier));
    let refused: Vec<_> =
        summary.refused.rows.iter().map(|row| (&*row.reason, row.refused)).collect();
    assert_eq!(refused, [("overloaded", 1.0)]);
    let omitted: Vec<_> =
        summary.counts_omitted.iter().map(|note| (&*note.instance, &*note.reason)).collect();
    assert_eq!(
        omitted,
        [
            ("a:1", "it was restarted since the read before"),
            ("new:1", "it did not answer the read before"),
        ]
    );
    // What is true at the moment of the read is shown nevertheless.
    let waiting: Vec<_> = summary.waiting.rows.iter().map(|row| row.waiting).collect();
    assert_eq!(waiting, [11.0, 4.0]);

    // Counters that are absent right after a restart fall as well.
    let silent = reading("a:1", 2, EARLIER_BUILD);
    let summary = LoadSummary::new(&[silent], Some(&earlier));
    assert_eq!(summary.counts_omitted.len(), 1);
}

#[test]
fn test_values_that_are_no_numbers_are_ignored_and_counted() {
    let broken = format!(
        "{BUSY}chervilwharf_waiting_by_priority{{group=\"stock\",priority=\"1\"}} many\n\
         chervilwharf_waiting_by_account{{account=\"x\"}} NaN\n\
         chervilwharf_waiting_by_account{{account=\"y\"}} +Inf\n\
         chervilwharf_waiting_by_account{{account=\"z\n\
         chervilwharf_waiting_by_account{{account=\"v\"}}\n\
         chervilwharf_unknown_metric many\n"
    );
    let summary = LoadSummary::new(&[reading("a:1", 0, &broken)], None);
    assert_eq!(summary.ignored_lines, 5);
    assert_eq!(
        summary.waiting.rows,
        LoadSummary::new(&[reading("a:1", 0, BUSY)], None).waiting.rows
    );
    assert_eq!(summary.waiting_accounts.rows.len(), 2);
}

/// Guards against labels that are torn apart at characters that are escaped or have a meaning
/// outside of quotation marks.
#[test]
fn test_metrics_text_is_parsed() {
    let text = "m{a=\"x\\\"y\\\\z\\nw\",b=\"{}, =#\"} 1.5e3 1700000000\n\
                m 2\n\
                m{} 3\n\
                m{a=\"1\",} -4\n\
                other{a=\"1\"} 5\n\
                m_longer 6\n\
                chervilwharf_sessions 7\n";
    let parsed = MetricsText::parse(text, &["m"]).unwrap();
    let value = |pairs: &[(&str, &str)]| parsed.value("m", &labels(pairs));
    assert_eq!(value(&[("a", "x\"y\\z\nw"), ("b", "{}, =#")]), Some(1500.0));
    assert_eq!(value(&[]), Some(3.0));
    assert_eq!(value(&[("a", "1")]), Some(-4.0));
    assert_eq!(value(&[("a", "2")]), None);
    assert_eq!(parsed.samples("m").count(), 3);
    assert!(!parsed.has("m_longer") && !parsed.has("other"));
    assert_eq!(parsed.ignored_lines, 0);
}

/// Guards against most instances of a large fleet in the table of outdated information: relays
/// read the store for them, so that they get no answers themselves.
#[test]
fn test_instances_that_relays_serve_need_no_answer_of_the_store() {
    let silent = BUSY.replace("{kind=\"config\"} 0.5", "{kind=\"config\"} 4000");
    let served = format!("{silent}chervilwharf_served_by_relays 1\n");
    let reading_itself = format!("{silent}chervilwharf_served_by_relays 0\n");
    let readings = [reading("a:1", 0, &served), reading("b:1", 0, &reading_itself)];
    let summary = LoadSummary::new(&readings, None);
    let outdated: Vec<_> =
        summary.outdated.rows.iter().map(|row| (&*row.instance, row.store_answer_age_s)).collect();
    assert_eq!(outdated, [("b:1", Some(4000.0))]);
}

#[test]
fn test_rows_are_limited() {
    let summary = LoadSummary::new(&[reading("a:1", 0, BUSY)], None).limit(1);
    let waiting: Vec<_> = summary.waiting.rows.iter().map(|row| row.waiting).collect();
    assert_eq!((waiting, summary.waiting.rows_omitted), (vec![5.0], 1));
    assert_eq!((summary.refused.rows.len(), summary.refused.rows_omitted), (1, 1));
    assert_eq!((summary.homes.rows.len(), summary.homes.rows_omitted), (1, 0));
}

#[test]
fn test_summary_as_json_has_units_and_missing_values() {
    let readings = [reading("old:1", 0, EARLIER_BUILD), reading("b:1", 0, OUTDATED)];
    let text = serde_json::to_string(&LoadSummary::new(&readings, None)).unwrap();
    let value: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(value["counts"], "total");
    assert_eq!(value["waiting"]["rows"][0]["priority"], Value::Null);
    assert_eq!(value["waiting"]["rows"][1]["longest_wait_s"], 1.25);
    assert_eq!(value["outdated"]["rows"][0]["position_age_s"], 4.5);
    assert_eq!(value["homes"]["rows"][0]["homes"]["c"], 1);
}
