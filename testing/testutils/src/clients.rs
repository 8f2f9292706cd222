//! Callers of a deployment under test.

use tokio_postgres::Client;
use tokio_postgres::Error;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

use crate::cluster::Cluster;
use crate::cluster::password;

impl Cluster {
    /// Connects to an instance, through its proxy.
    ///
    /// # Errors
    ///
    /// When the login is refused or the instance is down.
    pub async fn try_connect(
        &self,
        instance: usize,
        account: &str,
        password: &str,
        database: &str,
    ) -> Result<Client, Error> {
        let address = self.instances[instance].client_proxy.address;
        let mut config = tokio_postgres::Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(account)
            .password(password)
            .dbname(database);
        let (client, connection) = config.connect(NoTls).await?;
        tokio::spawn(connection);
        Ok(client)
    }

    /// Connects as an account.
    ///
    /// # Panics
    ///
    /// When the login fails.
    pub async fn connect(&self, instance: usize, account: &str) -> Client {
        let password = password(account, &self.secret);
        self.try_connect(instance, account, &password, "db1").await.expect("the login works")
    }
}

/// First value of the first row of a result.
#[must_use]
pub fn first_value(messages: &[SimpleQueryMessage]) -> Option<String> {
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

/// SQLSTATE of an error, or nothing if the connection broke.
#[must_use]
pub fn sqlstate(error: &Error) -> &str {
    error.code().map_or("", tokio_postgres::error::SqlState::code)
}

/// What an error says about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Reads what an error says. A broken connection says nothing.
#[must_use]
pub fn told(error: &Error) -> Told {
    let detail = error.as_db_error().and_then(tokio_postgres::error::DbError::detail);
    match detail {
        Some(detail) if detail.starts_with("outcome=not run") => Told::NotRun,
        _ => Told::Unknown,
    }
}
