//! Access to the store and to the instances.

use std::time::Duration;

use chervilwharf_daemon::platform::CONFIGURATION_KEY;
use chervilwharf_daemon::platform::HttpPlatform;
use chervilwharf_daemon::platform::INSTANCES_KEY;
use chervilwharf_daemon::platform::Platform;
use chervilwharf_daemon::platform_sync::ListedInstance;
use chervilwharf_daemon::platform_sync::StoredConfiguration;
use serde_json::Value;

/// Longest wait for an instance.
const INSTANCE_TIMEOUT: Duration = Duration::from_secs(8);

/// The store and the instances it lists.
pub struct Client {
    /// The store.
    pub platform: HttpPlatform,
    http: reqwest::Client,
}

impl Client {
    /// The store at `store_url`.
    ///
    /// # Panics
    ///
    /// Never with these fixed client options.
    #[must_use]
    pub fn new(store_url: &str) -> Self {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(INSTANCE_TIMEOUT)
            .build()
            .expect("the client has no unusual options");
        Self { platform: HttpPlatform::new(store_url.into()), http }
    }

    /// The configuration with its version, if there is one.
    ///
    /// # Errors
    ///
    /// When the store does not answer or holds something else.
    pub async fn configuration(&self) -> Result<Option<(u64, StoredConfiguration)>, String> {
        let stored = self.platform.get(CONFIGURATION_KEY).await.map_err(|e| e.to_string())?;
        let Some(stored) = stored else {
            return Ok(None);
        };
        let configuration = serde_json::from_str(&stored.value)
            .map_err(|error| format!("configuration {} cannot be read: {error}", stored.version))?;
        Ok(Some((stored.version, configuration)))
    }

    /// The instances on the platform's list.
    ///
    /// # Errors
    ///
    /// When the store does not answer.
    pub async fn instances(&self) -> Result<Vec<ListedInstance>, String> {
        let stored = self.platform.get(INSTANCES_KEY).await.map_err(|e| e.to_string())?;
        let Some(stored) = stored else {
            return Ok(Vec::new());
        };
        serde_json::from_str(&stored.value)
            .map_err(|error| format!("the instance list cannot be read: {error}"))
    }

    /// Asks an instance.
    ///
    /// # Errors
    ///
    /// When it does not answer.
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
