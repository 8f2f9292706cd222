//! The PostgreSQL wire protocol of the stand-in server.

use std::fmt::Debug;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use futures::Sink;
use futures::stream;
use pgwire::api::ClientInfo;
use pgwire::api::ClientPortalStore;
use pgwire::api::PgWireServerHandlers;
use pgwire::api::Type;
use pgwire::api::auth::StartupHandler;
use pgwire::api::auth::noop::NoopStartupHandler;
use pgwire::api::portal::Format;
use pgwire::api::portal::Portal;
use pgwire::api::query::ExtendedQueryHandler;
use pgwire::api::query::SimpleQueryHandler;
use pgwire::api::results::DataRowEncoder;
use pgwire::api::results::DescribePortalResponse;
use pgwire::api::results::DescribeStatementResponse;
use pgwire::api::results::FieldFormat;
use pgwire::api::results::FieldInfo;
use pgwire::api::results::QueryResponse;
use pgwire::api::results::Response;
use pgwire::api::results::Tag;
use pgwire::api::stmt::NoopQueryParser;
use pgwire::api::stmt::StoredStatement;
use pgwire::api::store::PortalStore;
use pgwire::error::ErrorInfo;
use pgwire::error::PgWireError;
use pgwire::error::PgWireResult;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use rusqlite::types::Value;
use tokio::net::TcpListener;
use tokio::sync::Mutex;

use crate::target::TargetCore;
use crate::target_session::Outcome;
use crate::target_session::Rows;
use crate::target_session::Session;
use crate::target_session::SqlError;
use crate::target_session::strip_casts;

/// Accepts client connections as long as the server runs.
pub async fn accept(listener: TcpListener, core: Arc<TargetCore>) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        let _ = socket.set_nodelay(true);
        let core = core.clone();
        tokio::spawn(async move {
            core.connection_count.fetch_add(1, Ordering::Relaxed);
            if let Ok(session) = Session::new(core.clone()) {
                let session = Mutex::new(session);
                let handler = Arc::new(WireHandler { core: core.clone(), session });
                let _ = pgwire::tokio::process_socket(socket, None, Handlers(handler)).await;
            }
            core.connection_count.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

struct Handlers(Arc<WireHandler>);

impl PgWireServerHandlers for Handlers {
    fn simple_query_handler(&self) -> Arc<impl SimpleQueryHandler> {
        self.0.clone()
    }

    fn extended_query_handler(&self) -> Arc<impl ExtendedQueryHandler> {
        self.0.clone()
    }

    fn startup_handler(&self) -> Arc<impl StartupHandler> {
        self.0.clone()
    }
}

struct WireHandler {
    core: Arc<TargetCore>,
    session: Mutex<Session>,
}

#[async_trait]
impl NoopStartupHandler for WireHandler {
    async fn post_startup<C>(&self, client: &mut C, _: PgWireFrontendMessage) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let user = client.metadata().get(pgwire::api::METADATA_USER);
        if self.core.options.login.as_ref().is_some_and(|login| Some(login) != user) {
            return Err(user_error("FATAL", "28000", "no such login"));
        }
        tokio::time::sleep(self.core.options.connect_cost).await;
        if self.core.connection_count.load(Ordering::Relaxed) > self.core.options.connections {
            return Err(user_error("FATAL", "53300", "sorry, too many clients already"));
        }
        Ok(())
    }
}

fn user_error(severity: &str, code: &str, message: &str) -> PgWireError {
    let info = ErrorInfo::new(severity.into(), code.into(), message.into());
    PgWireError::UserError(Box::new(info))
}

fn to_wire_error(error: &SqlError) -> PgWireError {
    user_error("ERROR", error.code, &error.message)
}

#[async_trait]
impl SimpleQueryHandler for WireHandler {
    async fn do_query<C>(&self, _: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let mut session = self.session.lock().await;
        let outcome = session.run(query, &[]).await.map_err(|e| to_wire_error(&e))?;
        Ok(vec![respond(outcome, &Format::UnifiedText)?])
    }
}

#[async_trait]
impl ExtendedQueryHandler for WireHandler {
    type Statement = String;
    type QueryParser = NoopQueryParser;

    fn query_parser(&self) -> Arc<Self::QueryParser> {
        Arc::new(NoopQueryParser::new())
    }

    async fn do_describe_statement<C>(
        &self,
        _: &mut C,
        target: &StoredStatement<String>,
    ) -> PgWireResult<DescribeStatementResponse>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = String>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let types = parameter_types(target);
        let mut session = self.session.lock().await;
        let columns = session.describe(&target.statement).map_err(|e| to_wire_error(&e))?;
        Ok(DescribeStatementResponse::new(types, fields(&columns, &Format::UnifiedText)))
    }

    async fn do_describe_portal<C>(
        &self,
        _: &mut C,
        target: &Portal<String>,
    ) -> PgWireResult<DescribePortalResponse>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = String>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let mut session = self.session.lock().await;
        let columns =
            session.describe(&target.statement.statement).map_err(|e| to_wire_error(&e))?;
        Ok(DescribePortalResponse::new(fields(&columns, &target.result_column_format)))
    }

    async fn do_query<C>(
        &self,
        _: &mut C,
        portal: &Portal<String>,
        _max_rows: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = String>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let values = parameters(portal)?;
        let mut session = self.session.lock().await;
        let sql = &portal.statement.statement;
        let outcome = session.run(sql, &values).await.map_err(|e| to_wire_error(&e))?;
        respond(outcome, &portal.result_column_format)
    }
}

fn parameter_types(statement: &StoredStatement<String>) -> Vec<Type> {
    let (_, cast_types) = strip_casts(&statement.statement);
    let declared = &statement.parameter_types;
    let count = cast_types.len().max(declared.len());
    (0..count)
        .map(|index| {
            let declared =
                declared.get(index).cloned().flatten().filter(|kind| *kind != Type::UNKNOWN);
            declared.or_else(|| cast_types.get(index).cloned().flatten()).unwrap_or(Type::TEXT)
        })
        .collect()
}

fn parameters(portal: &Portal<String>) -> PgWireResult<Vec<Value>> {
    let types = parameter_types(&portal.statement);
    (0..portal.parameter_len())
        .map(|index| {
            let kind = types.get(index).cloned().unwrap_or(Type::TEXT);
            parameter(portal, index, &kind)
        })
        .collect()
}

fn parameter(portal: &Portal<String>, index: usize, kind: &Type) -> PgWireResult<Value> {
    let integer = |value: Option<i64>| value.map_or(Value::Null, Value::Integer);
    Ok(match *kind {
        Type::INT2 => integer(portal.parameter::<i16>(index, kind)?.map(i64::from)),
        Type::INT4 => integer(portal.parameter::<i32>(index, kind)?.map(i64::from)),
        Type::INT8 => integer(portal.parameter::<i64>(index, kind)?),
        Type::BOOL => integer(portal.parameter::<bool>(index, kind)?.map(i64::from)),
        Type::FLOAT8 => portal.parameter::<f64>(index, kind)?.map_or(Value::Null, Value::Real),
        Type::BYTEA => portal.parameter::<Vec<u8>>(index, kind)?.map_or(Value::Null, Value::Blob),
        _ => portal.parameter::<String>(index, &Type::TEXT)?.map_or(Value::Null, Value::Text),
    })
}

fn fields(columns: &[(String, Type)], format: &Format) -> Vec<FieldInfo> {
    columns
        .iter()
        .enumerate()
        .map(|(index, (name, kind))| {
            FieldInfo::new(name.clone(), None, None, kind.clone(), format.format_for(index))
        })
        .collect()
}

fn respond(outcome: Outcome, format: &Format) -> PgWireResult<Response> {
    Ok(match outcome {
        Outcome::Rows(rows) => Response::Query(encode(&rows, format)?),
        Outcome::Done(tag) => Response::Execution(Tag::new(&tag)),
        Outcome::Begun => Response::TransactionStart(Tag::new("BEGIN")),
        Outcome::Ended(tag) => Response::TransactionEnd(Tag::new(tag)),
    })
}

fn encode(rows: &Rows, format: &Format) -> PgWireResult<QueryResponse> {
    let fields = Arc::new(fields(&rows.columns, format));
    let mut encoder = DataRowEncoder::new(fields.clone());
    let mut encoded = Vec::with_capacity(rows.rows.len());
    for row in &rows.rows {
        for (value, (_, kind)) in row.iter().zip(&rows.columns) {
            encode_value(&mut encoder, value, kind)?;
        }
        encoded.push(Ok(encoder.take_row()));
    }
    Ok(QueryResponse::new(fields, stream::iter(encoded)))
}

/// Encodes a value for its column. SQLite has a type for each value, PostgreSQL for each
/// column; a value that does not fit the type of its column is sent as text.
fn encode_value(encoder: &mut DataRowEncoder, value: &Value, kind: &Type) -> PgWireResult<()> {
    match (value, kind) {
        (Value::Null, _) => encoder.encode_field(&None::<String>),
        (Value::Integer(value), &Type::INT8) => encoder.encode_field(value),
        (Value::Real(value), &Type::FLOAT8) => encoder.encode_field(value),
        (Value::Blob(value), &Type::BYTEA) => encoder.encode_field(&value.as_slice()),
        (Value::Text(value), &Type::BYTEA) => encoder.encode_field(&value.as_bytes()),
        (Value::Integer(value), _) => encode_text(encoder, &value.to_string()),
        (Value::Real(value), _) => encode_text(encoder, &value.to_string()),
        (Value::Text(value), _) => encode_text(encoder, value),
        (Value::Blob(value), _) => encode_text(encoder, &String::from_utf8_lossy(value)),
    }
}

fn encode_text(encoder: &mut DataRowEncoder, text: &str) -> PgWireResult<()> {
    encoder.encode_field_with_type_and_format(
        &text,
        &Type::TEXT,
        FieldFormat::Text,
        &pgwire::types::format::FormatOptions::default(),
    )
}
