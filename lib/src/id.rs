//! Type aliases of the identifiers that are used in all crates.

use std::sync::Arc;

/// Name of an instance: one running proxy process (`chervilwharfd`). A
/// restarted process may keep the name; [`HolderId`] distinguishes its runs.
pub type InstanceId = Arc<str>;

/// Name of one incarnation of an instance, that is one run between its start
/// and its exit: the name of the instance with a part that differs in each run.
/// Servers grant terms to holders, not to instances.
pub type HolderId = Arc<str>;

/// Name of a database group: a database with its primary and replicas.
pub type DatabaseId = Arc<str>;

/// Name of a database group of the session engine: a primary and its replicas,
/// which serve one or more database names.
pub type GroupId = Arc<str>;

/// Name of a database server of a group.
pub type TargetId = Arc<str>;

/// Login name of a client account.
pub type AccountId = Arc<str>;

/// Name of a service in the configuration text.
pub type ServiceId = Arc<str>;

/// Name of a failure domain: servers and instances that can fail together.
pub type FailureDomainId = Arc<str>;

/// Identifier of a request, unique among all requests of its account.
pub type RequestId = Arc<str>;

/// Fencing token of a database group. A higher term supersedes all lower ones.
pub type Term = u64;

/// Version of the configuration text, counted by the platform's store.
pub type ConfigVersion = u64;
