//! What an instance knows of client accounts beside the configuration.

use chervilwharf_lib::quota::QuotaTolerance;

use crate::engine::quota_control::QuotaControl;
use crate::engine::shared::Engine;
use crate::engine::workload::LastConfigurationPull;

impl Engine {
    /// With the tolerance that the platform grants accounts beyond their limits.
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

    /// Counts of the accounts' operations.
    #[must_use]
    pub fn quota(&self) -> &QuotaControl {
        &self.quota
    }

    /// When others were last asked for a newer configuration.
    #[must_use]
    pub fn last_configuration_pull(&self) -> &LastConfigurationPull {
        &self.last_configuration_pull
    }
}
