//! Client of the platform's store, a versioned key-value store. It holds the
//! configuration, the list of instances and the last known owner of each database.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use displaydoc::Display;
use serde::Deserialize;

/// An object of the store with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Versioned {
    /// Version, which the store increases with each update.
    pub version: u64,
    /// Content of the object.
    pub value: String,
}

/// Reason why a call to the store failed.
#[derive(Clone, Debug)]
#[derive(Display)]
pub enum PlatformError {
    /// the store could not be reached or failed: {0}
    Unavailable(String),
    /// the object was changed by another writer
    Conflict(Option<Versioned>),
}

/// Operations that the proxy needs from the platform's store.
///
/// Each fails with [`PlatformError::Unavailable`] if the store is unreachable or
/// reports a failure.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Reads an object. Returns `None` if it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Versioned>, PlatformError>;

    /// Waits until an object has another version than `after`. Returns `None` if
    /// that does not happen within `wait`.
    async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Versioned>, PlatformError>;

    /// Writes an object if its version is `expected`, where 0 means that it must
    /// not exist. Returns the new version.
    ///
    /// With another version it fails with [`PlatformError::Conflict`], which carries
    /// the current object if the store returned it.
    async fn put(&self, key: &str, value: &str, expected: u64) -> Result<u64, PlatformError>;
}

/// Key of the configuration.
pub const CONFIGURATION_KEY: &str = "configuration";

/// Key of the instance list.
pub const INSTANCES_KEY: &str = "instances";

/// Key of the last known owner of a database.
#[must_use]
pub fn owner_key(database: &str) -> String {
    format!("owners/{database}")
}

/// Client of the store over HTTP.
pub struct HttpPlatform {
    base_url: Arc<str>,
    client: reqwest::Client,
}

/// Timeout of a call to the store, in addition to the time that a watch waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

impl HttpPlatform {
    /// Creates a client of the store at `base_url`.
    ///
    /// # Panics
    ///
    /// Never with these fixed client options.
    #[must_use]
    pub fn new(base_url: Arc<str>) -> Self {
        let client = reqwest::Client::builder()
            .no_proxy()
            .build()
            .expect("the client has no unusual options");
        Self { base_url, client }
    }

    async fn fetch(
        &self,
        url: String,
        timeout: Duration,
    ) -> Result<Option<Versioned>, PlatformError> {
        let response = self.client.get(url).timeout(timeout).send().await.map_err(unavailable)?;
        match response.status().as_u16() {
            200 => response.json().await.map(Some).map_err(unavailable),
            304 | 404 => Ok(None),
            status => Err(PlatformError::Unavailable(format!("status {status}"))),
        }
    }
}

fn unavailable(error: reqwest::Error) -> PlatformError {
    PlatformError::Unavailable(error.without_url().to_string())
}

#[async_trait]
impl Platform for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, PlatformError> {
        self.fetch(format!("{}/objects/{key}", self.base_url), CALL_TIMEOUT).await
    }

    async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Versioned>, PlatformError> {
        let wait_ms = wait.as_millis();
        let url = format!("{}/objects/{key}?after={after}&wait_ms={wait_ms}", self.base_url);
        self.fetch(url, wait + CALL_TIMEOUT).await
    }

    async fn put(&self, key: &str, value: &str, expected: u64) -> Result<u64, PlatformError> {
        #[derive(Deserialize)]
        struct Written {
            version: u64,
        }
        let response = self
            .client
            .put(format!("{}/objects/{key}", self.base_url))
            .header("if-match", expected.to_string())
            .timeout(CALL_TIMEOUT)
            .body(value.to_owned())
            .send()
            .await
            .map_err(unavailable)?;
        match response.status().as_u16() {
            200 => response.json::<Written>().await.map(|w| w.version).map_err(unavailable),
            412 => Err(PlatformError::Conflict(response.json().await.ok())),
            status => Err(PlatformError::Unavailable(format!("status {status}"))),
        }
    }
}
