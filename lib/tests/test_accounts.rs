//! Whose a key is, and how much an account may ask for.

use chervilwharf_lib::account::Account;
use chervilwharf_lib::account::Accounts;
use chervilwharf_lib::account::KeyDigest;
use chervilwharf_lib::account::QuotaLimit;
use chervilwharf_lib::account_rates::AccountRates;
use chervilwharf_lib::moment::Moment;

fn account(keys: &[&str], rate_per_s: Option<f64>) -> Account {
    let limit = rate_per_s.map(|rate_per_s| QuotaLimit { rate_per_s, burst: rate_per_s });
    Account { keys: keys.iter().map(|key| KeyDigest::of(key)).collect(), limit }
}

fn owner<'a>(accounts: &'a Accounts, key: &str) -> Option<&'a str> {
    accounts.owner(&KeyDigest::of(key)).map(|owner| &**owner)
}

#[test]
fn test_key_leads_to_the_account_that_holds_it() {
    let accounts = Accounts::default()
        .with_account("a".into(), account(&["k1", "k2"], None))
        .with_account("b".into(), account(&["k3"], None));
    assert_eq!(owner(&accounts, "k2"), Some("a"));
    assert_eq!(owner(&accounts, "k3"), Some("b"));
    for unknown in ["", "k", "k1 ", "K1"] {
        assert_eq!(owner(&accounts, unknown), None, "{unknown:?}");
    }
}

#[test]
fn test_key_in_two_accounts_belongs_to_neither() {
    // Symptom: statements of one account run in the name of another.
    // Sequence: an operator writes the same key under two accounts.
    // Cause: whichever is read last would hold it.
    let accounts = Accounts::default()
        .with_account("a".into(), account(&["shared", "k1"], None))
        .with_account("b".into(), account(&["shared"], None))
        .with_account("c".into(), account(&["shared"], None));
    assert_eq!(owner(&accounts, "shared"), None);
    assert_eq!(owner(&accounts, "k1"), Some("a"));
}

#[test]
fn test_account_listed_twice_has_all_keys_and_the_lower_limit() {
    let accounts = Accounts::default()
        .with_account("a".into(), account(&["k1"], Some(30.0)))
        .with_account("a".into(), account(&["k1", "k2"], Some(10.0)));
    assert_eq!(owner(&accounts, "k1"), Some("a"));
    assert_eq!(owner(&accounts, "k2"), Some("a"));
    assert_eq!(accounts.limit("a"), Some(QuotaLimit { rate_per_s: 10.0, burst: 10.0 }));
}

#[test]
fn test_account_without_a_rate_is_not_limited() {
    let accounts = Accounts::default().with_account("a".into(), account(&["k1"], None));
    assert_eq!(accounts.limit("a"), None);
    assert_eq!(accounts.limit("unknown"), None);
}

#[test]
fn test_key_digests_are_not_printed() {
    let shown = format!("{:?}", account(&["secret"], None));
    assert!(!shown.contains("secret") && !shown.contains("43"), "{shown}");
    let digest = KeyDigest::of("secret");
    assert_eq!(KeyDigest::from_bytes(digest.as_bytes()), Some(digest));
    assert_eq!(KeyDigest::from_bytes(b"short"), None);
}

#[test]
fn test_account_that_requests_more_often_has_the_higher_rate() {
    let mut rates = AccountRates::default();
    for ms in (0..4_000).step_by(100) {
        rates.observe(Moment::from_millis(ms), &"often".into());
        if ms % 1_000 == 0 {
            rates.observe(Moment::from_millis(ms), &"seldom".into());
        }
    }
    let now = Moment::from_secs(4);
    assert!(rates.of(now, &"often".into()) > 4.0 * rates.of(now, &"seldom".into()));
    let later = Moment::from_secs(40);
    assert!(rates.of(later, &"often".into()) < 0.1);
}
