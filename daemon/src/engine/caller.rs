//! Who a session's client is: the account that holds its key now.

use std::time::Duration;

use chervilwharf_lib::account::KeyDigest;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::ConfigVersion;
use chervilwharf_lib::moment::Moment;
use futures::future::join_all;
use tokio::sync::Mutex;

use crate::engine::clock::now;
use crate::engine::peer_records::pull_directory;
use crate::engine::shared::Engine;

/// A session's client.
#[derive(Clone, Debug)]
pub struct Caller {
    /// What is kept of the key that it showed.
    pub key: KeyDigest,
    /// The account that its statements run for; `None` where clients need no key.
    pub account: Option<AccountId>,
    /// The configuration that says so.
    pub configuration_version: ConfigVersion,
}

impl Caller {
    /// A client that may use a route.
    ///
    /// # Errors
    ///
    /// When the configuration has no account with this key.
    pub fn new(catalog: &Catalog, route: &Route, key: KeyDigest) -> Result<Self, ErrorKind> {
        let account = match &catalog.accounts {
            Some(accounts) if !route.is_public => {
                Some(accounts.owner(&key).cloned().ok_or(ErrorKind::UnknownKey)?)
            }
            _ => None,
        };
        Ok(Self { key, account, configuration_version: catalog.version })
    }

    /// The same client by the configuration that is in force now.
    ///
    /// # Errors
    ///
    /// When no account has its key any more.
    pub fn check_again(&self, catalog: &Catalog, route: &Route) -> Result<Self, ErrorKind> {
        if catalog.version <= self.configuration_version {
            return Ok(self.clone());
        }
        Self::new(catalog, route, self.key)
    }
}

/// After other instances were asked for a newer configuration they are not asked
/// again for this long: a flood of wrong keys must not become one of questions.
const PULL_INTERVAL: Duration = Duration::from_millis(250);

/// Instances that are asked for a newer configuration.
const PULL_PEERS: usize = 2;

/// When others were last asked for a newer configuration.
#[derive(Default)]
pub struct LastConfigurationPull(Mutex<Option<Moment>>);

impl Engine {
    /// The client that shows a key, on a route.
    ///
    /// A key that is not known here may have been added just now: others are asked
    /// for a newer configuration before the client is told, who takes the answer for
    /// final.
    ///
    /// # Errors
    ///
    /// When no account has the key.
    pub async fn caller(&self, route: &Route, key: KeyDigest) -> Result<Caller, ErrorKind> {
        match Caller::new(&self.catalog(), route, key) {
            Err(ErrorKind::UnknownKey) => {
                self.pull_newer_configuration().await;
                Caller::new(&self.catalog(), route, key)
            }
            known => known,
        }
    }

    async fn pull_newer_configuration(&self) {
        // Those who come meanwhile wait for the answers of the first.
        let mut asked_at = self.last_configuration_pull().0.lock().await;
        if asked_at.is_some_and(|at| at + PULL_INTERVAL > now()) {
            return;
        }
        let relays = self.relays_to_ask();
        join_all(relays.iter().map(|peer| pull_directory(self, peer))).await;
        *asked_at = Some(now());
    }

    /// Instances that read the present configuration, near ones first.
    fn relays_to_ask(&self) -> Vec<InstanceRecord> {
        let home = &self.me().failure_domain;
        let mut relays = self.with_fleet(|fleet| fleet.relays(now()));
        relays.sort_by_key(|record| record.failure_domain != *home);
        relays.truncate(PULL_PEERS);
        relays
    }
}
