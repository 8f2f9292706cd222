//! Login of callers: SCRAM against verifiers from the configuration, and the
//! limit on connections of an account.

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

/// Iterations told for an account that does not exist.
const MOCK_ITERATIONS: usize = 4096;

/// Finds the verifier of an account.
struct Verifiers {
    context: Shared,
}

impl Debug for Verifiers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Verifiers")
    }
}

/// A verifier that no password fits. A login as an unknown account goes on
/// as if it existed, so that nobody can learn which accounts there are.
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
        // Only the verifier is known here, never the password.
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

/// Counts a connection of an account until it ends.
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

/// Login of one caller.
pub struct EntryStartup {
    context: Shared,
    scram: SASLAuthStartupHandler<DefaultServerParameterProvider>,
    connection_count: Mutex<Option<ConnectionCount>>,
}

impl EntryStartup {
    /// A login that has not begun.
    #[must_use]
    pub fn new(context: Shared) -> Self {
        let verifiers = Arc::new(Verifiers { context: context.clone() });
        let parameters = Arc::new(DefaultServerParameterProvider::default());
        let scram = SASLAuthStartupHandler::new(parameters).with_scram(ScramAuth::new(verifiers));
        Self { context, scram, connection_count: Mutex::new(None) }
    }

    /// Checks what can only be checked once the caller has proved who it is.
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

/// An error after which the connection is closed.
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
