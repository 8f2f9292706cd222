//! Filter chain that every client request passes at its entry instance: checks of
//! size, access, rate and request id, and the defaults of the service.

use std::sync::Arc;
use std::time::Instant;

use chervilwharf_lib::classify::STATEMENT_LIMIT_BYTES;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::ledger::REQUEST_ID_LIMIT_BYTES;
use chervilwharf_lib::limits::AccountLimits;
use chervilwharf_lib::protos::Failure;
use chervilwharf_lib::protos::Submit;
use uuid::Uuid;

use crate::answer::failure;
use crate::answer::failure_after;
use crate::answer::failure_with;
use crate::context::ActiveConfig;
use crate::context::Context;

/// One step of the chain, which may change a request or refuse it.
pub trait Filter: Send + Sync {
    /// Checks or changes a request before it is sent to the owner.
    ///
    /// # Errors
    ///
    /// The failure for the client when the filter refuses the request, which has
    /// not run then.
    fn apply(
        &self,
        context: &Context,
        active: &ActiveConfig,
        submit: &mut Submit,
    ) -> Result<(), Failure>;
}

/// The filters in the order in which they are applied.
pub struct FilterChain {
    filters: Vec<Box<dyn Filter>>,
}

impl Default for FilterChain {
    fn default() -> Self {
        Self::new()
    }
}

impl FilterChain {
    /// Creates the standard chain. The cheapest checks come first.
    #[must_use]
    pub fn new() -> Self {
        Self {
            filters: vec![
                Box::new(SizeFilter),
                Box::new(AccessFilter),
                Box::new(RateFilter),
                Box::new(RequestIdFilter),
                Box::new(DefaultsFilter),
            ],
        }
    }

    /// Applies all filters to a request.
    ///
    /// # Errors
    ///
    /// The failure of the first filter that refuses the request.
    pub fn apply(&self, context: &Context, submit: &mut Submit) -> Result<(), Failure> {
        let active: Arc<ActiveConfig> = context.config();
        for filter in &self.filters {
            filter.apply(context, &active, submit)?;
        }
        Ok(())
    }
}

/// Refuses statements that exceed the size limit together with their parameters.
struct SizeFilter;

impl Filter for SizeFilter {
    fn apply(&self, _: &Context, _: &ActiveConfig, submit: &mut Submit) -> Result<(), Failure> {
        let parameters: usize = submit.parameters.iter().map(|p| p.value.len()).sum();
        let size = submit.sql.len() + parameters;
        if size <= STATEMENT_LIMIT_BYTES {
            return Ok(());
        }
        let message =
            format!("the statement has {size} bytes, at most {STATEMENT_LIMIT_BYTES} are accepted");
        Err(failure_with(ErrorKind::StatementTooLarge, message))
    }
}

/// Refuses requests of an account for databases that its service does not depend
/// on. A request without a service gets the first service of the account.
struct AccessFilter;

impl Filter for AccessFilter {
    fn apply(
        &self,
        _: &Context,
        active: &ActiveConfig,
        submit: &mut Submit,
    ) -> Result<(), Failure> {
        let config = &active.config;
        if !config.databases.contains_key(submit.database.as_str()) {
            let message = format!("database \"{}\" does not exist", submit.database);
            return Err(failure_with(ErrorKind::UnknownDatabase, message));
        }
        if submit.service.is_empty() {
            let account = config.accounts.get(submit.account.as_str());
            let first = account.and_then(|account| account.services.first());
            submit.service = first.map(ToString::to_string).unwrap_or_default();
        }
        if config.allows(&submit.account, &submit.service, &submit.database) {
            return Ok(());
        }
        let message = format!(
            "account \"{}\" may not use database \"{}\" for service \"{}\"",
            submit.account, submit.database, submit.service
        );
        Err(failure_with(ErrorKind::NotAllowed, message))
    }
}

/// Refuses requests of an account that exceeds its request rate.
struct RateFilter;

impl Filter for RateFilter {
    fn apply(
        &self,
        context: &Context,
        active: &ActiveConfig,
        submit: &mut Submit,
    ) -> Result<(), Failure> {
        let Some(account) = active.config.accounts.get(submit.account.as_str()) else {
            return Err(failure(ErrorKind::NotAllowed));
        };
        let now = Instant::now();
        let mut limits = context.account_limits.lock().expect("never poisoned");
        let limits = limits
            .entry(submit.account.as_str().into())
            .or_insert_with(|| AccountLimits::new(now, account.requests_per_s));
        limits
            .try_request(now, account.requests_per_s)
            .map_err(|retry_after| failure_after(ErrorKind::RateLimited, retry_after))
    }
}

/// Gives every request an id, by which its outcome can be looked up later, and
/// refuses ids that are too long.
struct RequestIdFilter;

impl Filter for RequestIdFilter {
    fn apply(&self, _: &Context, _: &ActiveConfig, submit: &mut Submit) -> Result<(), Failure> {
        if submit.request_id.is_empty() {
            submit.request_id = Uuid::now_v7().to_string();
        }
        if submit.request_id.len() > REQUEST_ID_LIMIT_BYTES {
            let message = format!("the request id has more than {REQUEST_ID_LIMIT_BYTES} bytes");
            return Err(failure_with(ErrorKind::BadStatement, message));
        }
        Ok(())
    }
}

/// Fills in the deadline and the freshness of the service where the request has
/// none.
struct DefaultsFilter;

impl Filter for DefaultsFilter {
    fn apply(
        &self,
        _: &Context,
        active: &ActiveConfig,
        submit: &mut Submit,
    ) -> Result<(), Failure> {
        let Some(service) = active.config.services.get(submit.service.as_str()) else {
            return Err(failure(ErrorKind::NotAllowed));
        };
        if submit.deadline_ms == 0 {
            submit.deadline_ms = service.deadline_ms;
        }
        if submit.freshness.is_none() {
            submit.freshness = Some(crate::forward::freshness_to_wire(service.freshness.into()));
        }
        Ok(())
    }
}
