//! Client accounts of the configuration: their API keys and rate limits.
//!
//! Only digests of the keys are stored and sent to other instances. A digest suffices
//! to recognise a key, and the traffic between instances does not reveal the keys.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;

use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::id::AccountId;

/// Length of a key's digest in bytes.
const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of an API key.
///
/// Digests are compared in constant time, so that the time of a refusal reveals nothing
/// about existing keys.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Decodes a digest received from another instance; `None` if the length is wrong.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// The bytes of the digest, as sent to other instances.
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

/// Omits the digest, because a weak key can be recovered from it.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// Limit on the operations that an account may start at all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Sustained rate, in operations per second.
    pub rate_per_s: f64,
    /// Operations that may start at once after a pause.
    pub burst: f64,
}

/// One account of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Limit on its operations; `None` if they are not limited.
    pub limit: Option<QuotaLimit>,
}

/// The accounts of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accounts {
    accounts: HashMap<AccountId, Account>,
    /// The account of each key; `None` for a key that is listed in several accounts.
    owners: HashMap<KeyDigest, Option<AccountId>>,
}

impl Accounts {
    /// Adds an account.
    ///
    /// An account that is listed twice has the keys of both entries and the lower limit.
    /// A key that is listed in two accounts belongs to neither: if it were accepted for
    /// one, statements of the other could run on that account's behalf.
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

    /// The account that a key belongs to; `None` if the key is unknown or is listed in
    /// several accounts.
    #[must_use]
    pub fn owner(&self, key: &KeyDigest) -> Option<&AccountId> {
        self.owners.get(key)?.as_ref()
    }

    /// Limit on the operations of an account; `None` if they are not limited or the
    /// account is unknown.
    #[must_use]
    pub fn limit(&self, id: &str) -> Option<QuotaLimit> {
        self.accounts.get(id)?.limit
    }

    /// Whether the configuration has an account.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.accounts.contains_key(id)
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
