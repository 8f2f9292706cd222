//! Aliases for the identifiers used throughout the product.

use std::sync::Arc;

/// Names one running `chervilwharfd`.
pub type InstanceId = Arc<str>;

/// Names one life of an instance: its name and what tells this life from
/// those before a restart. Servers grant terms to holders, not to instances.
pub type HolderId = Arc<str>;

/// Names one database group: a database with its primary and replicas.
pub type DatabaseId = Arc<str>;

/// Names one database group of the session engine: a primary and its replicas,
/// behind one or more database names.
pub type GroupId = Arc<str>;

/// Names one database server of a group.
pub type TargetId = Arc<str>;

/// Names a client account, as used at login.
pub type AccountId = Arc<str>;

/// Names a service of the configuration text.
pub type ServiceId = Arc<str>;

/// Names a failure domain: what can fail together.
pub type FailureDomainId = Arc<str>;

/// Names one request of one account, for ever.
pub type RequestId = Arc<str>;

/// Fencing token of a database group. A higher term shuts out all lower ones.
pub type Term = u64;

/// Version of the configuration text, as counted by the platform's store.
pub type ConfigVersion = u64;
