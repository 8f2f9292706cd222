//! Login of clients: SCRAM authentication against the verifiers in the
//! configuration, and the limit on the connections of a client account.
//!
//! A verifier allows a server to check a password without storing it.

use std::fmt::Debug;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use async_trait::async_trait;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::limits::AccountLimits;
use chervilwharf_lib::verifier::parse_verifier;
use futures::Sink;
use pgwire::api::ClientInfo;
use pgwire::api::METADATA_DATABASE;
use pgwire::api::METADATA_USER;
use pgwire::api::PgWireConnectionState;
use pgwire::api::auth::AuthSource;
use pgwire::api::auth::DefaultServerParameterProvider;
use pgwire::api::auth::LoginInfo;
use pgwire::api::auth::Password;
use pgwire::api::auth::StartupHandler;
use pgwire::api::auth::sasl::SASLAuthStartupHandler;
use pgwire::api::auth::sasl::scram::ScramAuth;
use pgwire::api::auth::sasl::scram::ScramSecret;
use pgwire::error::PgWireError;
use pgwire::error::PgWireResult;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use sha2::Digest;
use sha2::Sha256;

use crate::answer::failure;
use crate::answer::failure_with;
use crate::answer::to_wire;
use crate::context::Shared;

/// Iteration count that is sent to a client whose account does not exist.
const MOCK_ITERATIONS: usize = 4096;

/// Looks up the verifier of an account in the configuration.
struct Verifiers {
    context: Shared,
}

impl Debug for Verifiers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Verifiers")
    }
}

/// Derives a verifier that no password matches. With it the login to an unknown
/// account proceeds as if the account existed, so that a client cannot find out
/// which accounts exist.
fn mock_verifier(key: &str, account: &str) -> ScramSecret {
    let derive = |purpose: &str| {
        let mut hasher = Sha256::new();
        hasher.update(key);
        hasher.update(purpose);
        hasher.update(account);
        hasher.finalize().to_vec()
    };
    ScramSecret::Verifier {
        salt: derive("salt")[..16].to_vec(),
        iterations: MOCK_ITERATIONS,
        stored_key: derive("stored"),
        server_key: derive("server"),
    }
}

fn decode_verifier(text: &str) -> Option<ScramSecret> {
    let (iterations, salt, stored_key, server_key) = parse_verifier(text)?;
    Some(ScramSecret::Verifier {
        salt: STANDARD.decode(salt).ok()?,
        iterations,
        stored_key: STANDARD.decode(stored_key).ok()?,
        server_key: STANDARD.decode(server_key).ok()?,
    })
}

#[async_trait]
impl AuthSource for Verifiers {
    async fn get_password(&self, login: &LoginInfo) -> PgWireResult<Password> {
        // The configuration contains verifiers only, never passwords.
        Err(PgWireError::InvalidPassword(login.user().unwrap_or_default().to_owned()))
    }

    async fn get_scram_secret(&self, login: &LoginInfo) -> PgWireResult<(ScramSecret, Option<()>)> {
        let name = login.user().unwrap_or_default();
        let active = self.context.config();
        let account = active.config.accounts.get(name);
        let secret = account.and_then(|account| decode_verifier(&account.verifier));
        let mock = || mock_verifier(&self.context.settings.peer_key, name);
        Ok((secret.unwrap_or_else(mock), None))
    }
}

/// Counts a connection of an account until the connection closes.
struct ConnectionCount {
    context: Shared,
    account: Arc<str>,
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        let mut limits = self.context.account_limits.lock().expect("never poisoned");
        if let Some(limits) = limits.get_mut(&self.account) {
            limits.disconnect();
        }
    }
}

/// Handler for the login of one client connection.
pub struct EntryStartup {
    context: Shared,
    scram: SASLAuthStartupHandler<DefaultServerParameterProvider>,
    connection_count: Mutex<Option<ConnectionCount>>,
}

impl EntryStartup {
    /// Creates a handler for a login that has not started.
    #[must_use]
    pub fn new(context: Shared) -> Self {
        let verifiers = Arc::new(Verifiers { context: context.clone() });
        let parameters = Arc::new(DefaultServerParameterProvider::default());
        let scram = SASLAuthStartupHandler::new(parameters).with_scram(ScramAuth::new(verifiers));
        Self { context, scram, connection_count: Mutex::new(None) }
    }

    /// Checks, after the client has authenticated, that the database exists and
    /// that the account has fewer connections than its limit.
    fn admit<C: ClientInfo>(&self, client: &C) -> PgWireResult<()> {
        let metadata_value = |name: &str| client.metadata().get(name).map_or("", String::as_str);
        let (name, database) = (metadata_value(METADATA_USER), metadata_value(METADATA_DATABASE));
        let active = self.context.config();
        if !active.config.databases.contains_key(database) {
            let message = format!("database \"{database}\" does not exist");
            return Err(fatal(&failure_with(ErrorKind::UnknownDatabase, message)));
        }
        let Some(account) = active.config.accounts.get(name) else {
            return Err(fatal(&failure(ErrorKind::NotAllowed)));
        };
        let id: Arc<str> = name.into();
        let mut limits = self.context.account_limits.lock().expect("never poisoned");
        let entry = limits
            .entry(id.clone())
            .or_insert_with(|| AccountLimits::new(Instant::now(), account.requests_per_s));
        if !entry.try_connect(account.max_connections) {
            return Err(fatal(&failure(ErrorKind::TooManyConnections)));
        }
        let connection_count = ConnectionCount { context: self.context.clone(), account: id };
        *self.connection_count.lock().expect("never poisoned") = Some(connection_count);
        Ok(())
    }
}

/// Returns a failure as a PostgreSQL error after which the connection is closed.
fn fatal(failure: &chervilwharf_lib::protos::Failure) -> PgWireError {
    match to_wire(failure, None) {
        PgWireError::UserError(mut info) => {
            "FATAL".clone_into(&mut info.severity);
            PgWireError::UserError(info)
        }
        other => other,
    }
}

#[async_trait]
impl StartupHandler for EntryStartup {
    async fn on_startup<C>(
        &self,
        client: &mut C,
        message: PgWireFrontendMessage,
    ) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.scram.on_startup(client, message).await?;
        if matches!(client.state(), PgWireConnectionState::ReadyForQuery) {
            self.admit(client)?;
        }
        Ok(())
    }
}
