//! Accepts client connections and implements the PostgreSQL protocol on them.

use std::fmt::Debug;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::BytesMut;
use chervilwharf_lib::classify;
use chervilwharf_lib::classify::StatementClass;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::protos::Column;
use chervilwharf_lib::protos::Failure;
use chervilwharf_lib::protos::Parameter;
use chervilwharf_lib::protos::Result as StatementResult;
use chervilwharf_lib::protos::Submit;
use futures::Sink;
use futures::stream;
use log::debug;
use pgwire::api::ClientInfo;
use pgwire::api::ClientPortalStore;
use pgwire::api::PgWireServerHandlers;
use pgwire::api::Type;
use pgwire::api::auth::StartupHandler;
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
use pgwire::api::stmt::QueryParser;
use pgwire::api::stmt::StoredStatement;
use pgwire::api::store::PortalStore;
use pgwire::error::PgWireError;
use pgwire::error::PgWireResult;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::DataRow;
use tokio::net::TcpListener;
use tokio::sync::Mutex;

use crate::answer::failure_with;
use crate::answer::kind_of;
use crate::answer::to_wire;
use crate::context::Shared;
use crate::entry::Reply;
use crate::entry::Session;
use crate::entry::Statement;
use crate::entry_startup::EntryStartup;
use crate::filter::FilterChain;

/// Accepts client connections until the instance stops.
pub async fn accept(context: Shared, listener: TcpListener) {
    let filters = Arc::new(FilterChain::new());
    let mut stopping = context.stopping.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stopping| *stopping) => return,
        };
        let Ok((socket, address)) = accepted else {
            // The process is most likely out of file descriptors. Waits until some
            // may have been closed.
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let context = context.clone();
        let filters = filters.clone();
        tokio::spawn(async move {
            context.metrics.client_connections.inc();
            let connection = Arc::new(ClientConnection::new(context.clone(), filters));
            let handlers = EntryHandlers(connection.clone());
            let processed = pgwire::tokio::process_socket(socket, None, handlers).await;
            if let Err(error) = processed {
                debug!("connection of client {address} ended: {error}");
            }
            if let Some(session) = connection.session.lock().await.as_mut() {
                session.close().await;
            }
            context.metrics.client_connections.dec();
        });
    }
}

/// Connection of one client, which implements the protocol handlers.
struct ClientConnection {
    context: Shared,
    filters: Arc<FilterChain>,
    startup: Arc<EntryStartup>,
    session: Mutex<Option<Session>>,
}

impl ClientConnection {
    fn new(context: Shared, filters: Arc<FilterChain>) -> Self {
        let startup = Arc::new(EntryStartup::new(context.clone()));
        Self { context, filters, startup, session: Mutex::new(None) }
    }

    /// Returns the session in `slot`. The first statement creates it, since account
    /// and database are known only after the login.
    fn get_or_create_session<'a, C: ClientInfo>(
        &self,
        client: &C,
        slot: &'a mut Option<Session>,
    ) -> &'a mut Session {
        slot.get_or_insert_with(|| {
            let field = |name: &str| client.metadata().get(name).map_or("", String::as_str).into();
            Session::new(
                self.context.clone(),
                self.filters.clone(),
                field(pgwire::api::METADATA_USER),
                field(pgwire::api::METADATA_DATABASE),
            )
        })
    }

    /// Returns the parameter types and the columns of a prepared statement.
    async fn describe_types(
        &self,
        session: &mut Session,
        parsed: &ParsedStatement,
        types: &[Option<Type>],
    ) -> PgWireResult<(Vec<Type>, Vec<Column>)> {
        match &parsed.class {
            StatementClass::Read | StatementClass::Write => {}
            StatementClass::Show { variable } => {
                return Ok((Vec::new(), vec![text_column(variable)]));
            }
            _ => return Ok((Vec::new(), Vec::new())),
        }
        let oids = type_oids(types);
        let described = session.describe(&parsed.sql, oids).await;
        let described = described.map_err(|failure| to_wire(&failure, None))?;
        let types = described.parameter_type_oids.iter();
        let types = types.map(|oid| Type::from_oid(*oid).unwrap_or(Type::UNKNOWN)).collect();
        Ok((types, described.columns))
    }
}

struct EntryHandlers(Arc<ClientConnection>);

impl PgWireServerHandlers for EntryHandlers {
    fn simple_query_handler(&self) -> Arc<impl SimpleQueryHandler> {
        self.0.clone()
    }

    fn extended_query_handler(&self) -> Arc<impl ExtendedQueryHandler> {
        self.0.clone()
    }

    fn startup_handler(&self) -> Arc<impl StartupHandler> {
        self.0.startup.clone()
    }
}

#[async_trait]
impl SimpleQueryHandler for ClientConnection {
    async fn do_query<C>(&self, client: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let mut slot = self.session.lock().await;
        let session = self.get_or_create_session(client, &mut slot);
        let (replies, failure) = session.run_text(query).await;
        let mut responses: Vec<Response> =
            replies.into_iter().map(|reply| to_response(reply, &Format::UnifiedText)).collect();
        match failure {
            Some(failure) if kind_of(&failure) == ErrorKind::Stopping => {
                return Err(to_wire(&failure, session.last_request_id()));
            }
            Some(failure) => responses.push(error_response(session, &failure)),
            None => {}
        }
        Ok(responses)
    }
}

/// Returns a failure as part of a response, so that the client also receives the
/// results of the statements before it.
fn error_response(session: &Session, failure: &Failure) -> Response {
    match to_wire(failure, session.last_request_id()) {
        PgWireError::UserError(info) => Response::Error(info),
        other => Response::Error(Box::new(other.into())),
    }
}

/// A statement that the client has prepared.
#[derive(Clone, Debug)]
struct ParsedStatement {
    sql: String,
    class: StatementClass,
}

/// Parses and classifies statements when the client prepares them.
struct StatementParser;

#[async_trait]
impl QueryParser for StatementParser {
    type Statement = ParsedStatement;

    async fn parse_sql<C>(
        &self,
        _client: &C,
        sql: &str,
        _types: &[Option<Type>],
    ) -> PgWireResult<Option<ParsedStatement>>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        let invalid =
            |message: String| to_wire(&failure_with(ErrorKind::BadStatement, message), None);
        let mut statements = classify::split(sql).map_err(invalid)?;
        if statements.len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return Err(invalid(message.to_owned()));
        }
        let parsed = statements.pop().filter(|(_, class)| *class != StatementClass::Empty);
        Ok(parsed.map(|(sql, class)| ParsedStatement { sql, class }))
    }

    fn get_parameter_types(&self, _: &ParsedStatement) -> PgWireResult<Vec<Type>> {
        Ok(Vec::new())
    }

    fn get_result_schema(
        &self,
        _: &ParsedStatement,
        _: Option<&Format>,
    ) -> PgWireResult<Vec<FieldInfo>> {
        Ok(Vec::new())
    }
}

#[async_trait]
impl ExtendedQueryHandler for ClientConnection {
    type Statement = ParsedStatement;
    type QueryParser = StatementParser;

    fn query_parser(&self) -> Arc<Self::QueryParser> {
        Arc::new(StatementParser)
    }

    async fn do_describe_statement<C>(
        &self,
        client: &mut C,
        target: &StoredStatement<ParsedStatement>,
    ) -> PgWireResult<DescribeStatementResponse>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = ParsedStatement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let mut slot = self.session.lock().await;
        let session = self.get_or_create_session(client, &mut slot);
        let described =
            self.describe_types(session, &target.statement, &target.parameter_types).await;
        let (types, columns) = described?;
        Ok(DescribeStatementResponse::new(types, field_infos(&columns, None)))
    }

    async fn do_describe_portal<C>(
        &self,
        client: &mut C,
        target: &Portal<ParsedStatement>,
    ) -> PgWireResult<DescribePortalResponse>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = ParsedStatement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let mut slot = self.session.lock().await;
        let session = self.get_or_create_session(client, &mut slot);
        let statement = &target.statement;
        let described =
            self.describe_types(session, &statement.statement, &statement.parameter_types);
        let (_, columns) = described.await?;
        Ok(DescribePortalResponse::new(field_infos(&columns, Some(&target.result_column_format))))
    }

    async fn do_query<C>(
        &self,
        client: &mut C,
        portal: &Portal<ParsedStatement>,
        _max_rows: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = ParsedStatement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let mut slot = self.session.lock().await;
        let session = self.get_or_create_session(client, &mut slot);
        let parsed = &portal.statement.statement;
        let statement = Statement {
            sql: parsed.sql.clone(),
            class: Some(parsed.class.clone()),
            submit: submit_from_portal(portal),
        };
        match session.run(statement).await {
            Ok(reply) => Ok(to_response(reply, &portal.result_column_format)),
            Err(failure) => Err(to_wire(&failure, session.last_request_id())),
        }
    }
}

fn type_oids(types: &[Option<Type>]) -> Vec<u32> {
    types.iter().map(|kind| kind.as_ref().map_or(0, Type::oid)).collect()
}

/// Builds the message for a portal. The parameters keep the encoding that the
/// client chose, since the database server decodes them.
fn submit_from_portal(portal: &Portal<ParsedStatement>) -> Submit {
    let parameters = portal.parameters.iter().map(|value| Parameter {
        null: value.is_none(),
        value: value.as_ref().map(|bytes| bytes.to_vec()).unwrap_or_default(),
    });
    Submit {
        parameters: parameters.collect(),
        parameter_type_oids: type_oids(&portal.statement.parameter_types),
        parameter_formats: format_codes(&portal.parameter_format),
        result_formats: format_codes(&portal.result_column_format),
        ..Submit::default()
    }
}

fn format_codes(format: &Format) -> Vec<i32> {
    match format {
        Format::UnifiedText => Vec::new(),
        Format::UnifiedBinary => vec![1],
        Format::Individual(codes) => codes.iter().map(|code| i32::from(*code)).collect(),
    }
}

fn field_infos(columns: &[Column], format: Option<&Format>) -> Vec<FieldInfo> {
    columns
        .iter()
        .enumerate()
        .map(|(at, column)| {
            let kind = Type::from_oid(column.type_oid).unwrap_or(Type::UNKNOWN);
            let own = FieldFormat::from(i16::try_from(column.format).unwrap_or(0));
            let format = format.map_or(own, |format| format.format_for(at));
            FieldInfo::new(column.name.clone(), None, None, kind, format)
                .with_type_size(i16::try_from(column.type_size).unwrap_or(-1))
                .with_type_modifier(column.type_modifier)
        })
        .collect()
}

fn text_column(name: &str) -> Column {
    Column {
        name: name.to_owned(),
        type_oid: Type::TEXT.oid(),
        type_size: -1,
        type_modifier: -1,
        format: 0,
    }
}

fn to_response(reply: Reply, format: &Format) -> Response {
    match reply {
        Reply::Empty => Response::EmptyQuery,
        Reply::Begun => Response::TransactionStart(Tag::new("BEGIN")),
        Reply::Ended(tag) => Response::TransactionEnd(Tag::new(tag)),
        Reply::Value(name, value) => value_response(&name, &value, format),
        Reply::Result(result) if result.has_rows => rows_response(result),
        Reply::Result(result) => Response::Execution(Tag::new(&result.command_tag)),
    }
}

fn rows_response(result: StatementResult) -> Response {
    let schema = Arc::new(field_infos(&result.columns, None));
    let rows = result.rows.into_iter().map(|row| {
        let data = BytesMut::from(row.data.as_slice());
        Ok(DataRow::new(data, i16::try_from(row.column_count).unwrap_or(i16::MAX)))
    });
    let mut response = QueryResponse::new(schema, stream::iter(rows.collect::<Vec<_>>()));
    // pgwire counts the rows and appends the count, so the tag must not have one.
    let command = result.command_tag.rsplit_once(' ').map_or("SELECT", |(command, _)| command);
    response.set_command_tag(command);
    Response::Query(response)
}

fn value_response(name: &str, value: &str, format: &Format) -> Response {
    let schema = Arc::new(field_infos(&[text_column(name)], Some(format)));
    let mut encoder = DataRowEncoder::new(schema.clone());
    let row = encoder.encode_field(&value).map(|()| encoder.take_row());
    let mut response = QueryResponse::new(schema, stream::iter(vec![row]));
    response.set_command_tag("SHOW");
    Response::Query(response)
}
