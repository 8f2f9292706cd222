//! State of client accounts that is not part of the configuration: quotas and their
//! counts.

use chervilwharf_lib::quota::QuotaTolerance;

use crate::engine::quota_control::QuotaControl;
use crate::engine::shared::Engine;
use crate::engine::workload::LastConfigurationPull;

impl Engine {
    /// Sets the tolerance that the platform grants accounts beyond their limits.
    #[must_use]
    pub fn with_quota_tolerance(mut self, tolerance: Option<QuotaTolerance>) -> Self {
        self.quota_tolerance = tolerance;
        self
    }

    /// The tolerance that the platform grants accounts beyond their limits.
    #[must_use]
    pub fn quota_tolerance(&self) -> Option<QuotaTolerance> {
        self.quota_tolerance
    }

    /// Quota state of the accounts.
    #[must_use]
    pub fn quota(&self) -> &QuotaControl {
        &self.quota
    }

    /// When other instances were last asked for a newer configuration.
    #[must_use]
    pub fn last_configuration_pull(&self) -> &LastConfigurationPull {
        &self.last_configuration_pull
    }
}
