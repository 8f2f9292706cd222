//! Client for the platform's store and for the admin interface of the instances.

use std::time::Duration;

use chervilwharf_daemon::platform::CONFIGURATION_KEY;
use chervilwharf_daemon::platform::HttpPlatform;
use chervilwharf_daemon::platform::INSTANCES_KEY;
use chervilwharf_daemon::platform::Platform;
use chervilwharf_daemon::platform_sync::ListedInstance;
use chervilwharf_daemon::platform_sync::StoredConfiguration;
use serde_json::Value;

/// Timeout of a query to an instance.
const INSTANCE_TIMEOUT: Duration = Duration::from_secs(8);

/// Reads the platform's store and queries the instances that it lists.
pub struct Client {
    /// Client of the store.
    pub platform: HttpPlatform,
    http: reqwest::Client,
}

impl Client {
    /// Creates a client for the store at the base address `store_url`.
    ///
    /// # Panics
    ///
    /// Panics only if the HTTP client refuses its fixed options, which it accepts.
    #[must_use]
    pub fn new(store_url: &str) -> Self {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(INSTANCE_TIMEOUT)
            .build()
            .expect("the HTTP client accepts its fixed options");
        Self { platform: HttpPlatform::new(store_url.into()), http }
    }

    /// Reads the configuration and its version; `None` if the store holds none.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer or the stored value cannot be read.
    pub async fn configuration(&self) -> Result<Option<(u64, StoredConfiguration)>, String> {
        let stored = self.platform.get(CONFIGURATION_KEY).await.map_err(|e| e.to_string())?;
        let Some(stored) = stored else {
            return Ok(None);
        };
        let configuration = serde_json::from_str(&stored.value)
            .map_err(|error| format!("configuration {} cannot be read: {error}", stored.version))?;
        Ok(Some((stored.version, configuration)))
    }

    /// Reads the list of instances; it is empty if the store holds none.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer or the list cannot be read.
    pub async fn instances(&self) -> Result<Vec<ListedInstance>, String> {
        let stored = self.platform.get(INSTANCES_KEY).await.map_err(|e| e.to_string())?;
        let Some(stored) = stored else {
            return Ok(Vec::new());
        };
        serde_json::from_str(&stored.value)
            .map_err(|error| format!("the instance list cannot be read: {error}"))
    }

    /// Sends a GET request for `path` to the admin address of an instance and returns the
    /// JSON answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance does not answer in time, or not in JSON.
    pub async fn query_instance(
        &self,
        instance: &ListedInstance,
        path: &str,
        query: &[(&str, &str)],
    ) -> Result<Value, String> {
        let url = format!("http://{}/{path}", instance.admin_address);
        let request = self.http.get(url).query(query);
        let failed = |error: reqwest::Error| {
            format!("instance {} does not answer: {}", instance.id, error.without_url())
        };
        request.send().await.map_err(failed)?.json().await.map_err(failed)
    }
}
