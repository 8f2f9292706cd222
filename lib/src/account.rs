//! Client accounts of the session engine: who a key belongs to, and how much
//! an account may ask for.
//!
//! Keys themselves are kept nowhere: an instance needs to recognise one, not to
//! show it, and what is told between instances could be read on the way.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;

use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::id::AccountId;

/// Bytes of a key's digest.
const DIGEST_BYTES: usize = 32;

/// What is kept of a key: its SHA-256 digest.
///
/// Compared in constant time, so that how long a refusal takes tells nothing of
/// the keys that there are.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// The digest that another instance told; `None` if it is none.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// The digest, to tell it to another instance.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

/// Shows nothing: a digest of a weak key can be turned back.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// How many operations an account may begin, at all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Operations a second in the long run.
    pub rate_per_s: f64,
    /// Operations at once, after a pause.
    pub burst: f64,
}

/// One account of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// What it may ask for; `None` if that is not limited.
    pub limit: Option<QuotaLimit>,
}

/// The accounts of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accounts {
    accounts: HashMap<AccountId, Account>,
    /// Whose a key is; `None` for a key that stands in two accounts.
    owners: HashMap<KeyDigest, Option<AccountId>>,
}

impl Accounts {
    /// With one more account.
    ///
    /// One that is listed twice has the keys of both and the lower limit. A key
    /// in two accounts is nobody's: taken for either, statements could run in the
    /// name of the other.
    #[must_use]
    pub fn with_account(mut self, id: AccountId, account: Account) -> Self {
        for key in &account.keys {
            match self.owners.entry(*key) {
                Entry::Vacant(entry) => {
                    entry.insert(Some(id.clone()));
                }
                Entry::Occupied(mut entry) => {
                    if entry.get().as_ref() != Some(&id) {
                        entry.insert(None);
                    }
                }
            }
        }
        match self.accounts.entry(id) {
            Entry::Vacant(entry) => {
                entry.insert(account);
            }
            Entry::Occupied(mut entry) => entry.get_mut().merge(account),
        }
        self
    }

    /// The account that holds a key.
    #[must_use]
    pub fn owner(&self, key: &KeyDigest) -> Option<&AccountId> {
        self.owners.get(key)?.as_ref()
    }

    /// What an account may ask for; `None` if that is not limited.
    #[must_use]
    pub fn limit(&self, id: &str) -> Option<QuotaLimit> {
        self.accounts.get(id)?.limit
    }

    /// All accounts.
    pub fn iter(&self) -> impl Iterator<Item = (&AccountId, &Account)> {
        self.accounts.iter()
    }
}

impl Account {
    fn merge(&mut self, other: Self) {
        self.keys.extend(other.keys);
        self.limit = match (self.limit, other.limit) {
            (Some(a), Some(b)) => Some(QuotaLimit {
                rate_per_s: a.rate_per_s.min(b.rate_per_s),
                burst: a.burst.min(b.burst),
            }),
            (a, b) => a.or(b),
        };
    }
}
