//! The client of a session, identified by its key: which account has that key in the
//! configuration in force.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::account::KeyDigest;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::fair_order::Flow;
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
    /// Digest of the client's key.
    pub key: KeyDigest,
    /// The account that its statements run for; `None` if clients need no key.
    pub account: Option<AccountId>,
    /// Version of the configuration that assigns the key to the account.
    pub configuration_version: ConfigVersion,
}

impl Caller {
    /// A client with a key that may use a route.
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

    /// The same client according to `catalog`, or unchanged if `catalog` is not newer.
    ///
    /// # Errors
    ///
    /// When no account has the key any more.
    pub fn check_again(&self, catalog: &Catalog, route: &Route) -> Result<Self, ErrorKind> {
        if catalog.version <= self.configuration_version {
            return Ok(self.clone());
        }
        Self::new(catalog, route, self.key)
    }

    /// The flow of its requests in the order of service. An account that is no longer in the
    /// configuration has the weight of one without a limit.
    #[must_use]
    pub fn flow(&self, catalog: &Catalog) -> Flow {
        let limit = self.account.as_ref().and_then(|id| catalog.accounts.as_ref()?.limit(id));
        Flow::of(self.account.clone(), limit)
    }
}

/// Shortest interval at which other instances are asked for a newer configuration, so that
/// a flood of unknown keys does not cause a flood of requests to them.
const PULL_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time that a client waits for a pull. A longer pull goes on in the background.
const PULL_WAIT: Duration = Duration::from_millis(300);

/// Number of instances that are asked for a newer configuration.
const PULL_PEERS: usize = 2;

/// When other instances were last asked for a newer configuration.
#[derive(Default)]
pub struct LastConfigurationPull(Mutex<Option<Moment>>);

impl Engine {
    /// The client with a key, on a route.
    ///
    /// A key that this instance does not have may have been added just now. Clients do not
    /// retry after an unknown key, so other instances are asked for a newer configuration
    /// first.
    ///
    /// # Errors
    ///
    /// When no account has the key.
    pub async fn caller(
        self: &Arc<Self>,
        route: &Route,
        key: KeyDigest,
    ) -> Result<Caller, ErrorKind> {
        match Caller::new(&self.catalog(), route, key) {
            Err(ErrorKind::UnknownKey) => {
                self.pull_newer_configuration().await;
                Caller::new(&self.catalog(), route, key)
            }
            result => result,
        }
    }

    async fn pull_newer_configuration(self: &Arc<Self>) {
        // Concurrent callers wait at the lock for the result of the first one.
        let mut asked_at = self.last_configuration_pull().0.lock().await;
        if asked_at.is_some_and(|at| at + PULL_INTERVAL > now()) {
            return;
        }
        if let Some(pulling) = self.begin_pull() {
            let engine = self.clone();
            tokio::spawn(async move {
                let _pulling = pulling;
                let relays = engine.relays_to_ask();
                join_all(relays.iter().map(|peer| pull_directory(&engine, peer))).await;
            });
        }
        // Whether the pull ended in time shows in the configuration in force.
        let _ended = tokio::time::timeout(PULL_WAIT, self.pull_ended()).await;
        *asked_at = Some(now());
    }

    /// Instances that read the current configuration from the store, those in the same
    /// failure domain first.
    fn relays_to_ask(&self) -> Vec<InstanceRecord> {
        let home = &self.me().failure_domain;
        let mut relays = self.with_fleet(|fleet| fleet.relays(now()));
        relays.sort_by_key(|record| record.failure_domain != *home);
        relays.truncate(PULL_PEERS);
        relays
    }
}
