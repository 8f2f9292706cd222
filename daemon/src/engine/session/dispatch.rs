//! What happens to a statement of the client: it is answered here, run on this instance's own
//! connections, or sent to another instance.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::id::RequestId;
use chervilwharf_lib::statement::Access;
use chervilwharf_lib::statement::Statement;
use chervilwharf_lib::statement::TransactionState;

use crate::engine::clock::now;
use crate::engine::pass_on;
use crate::engine::remote;
use crate::engine::request::Failure;
use crate::engine::request::Request;
use crate::engine::request::Served;
use crate::engine::session::Session;
use crate::engine::single::Work;
use crate::engine::transaction;
use crate::engine::transaction::Transaction;

/// Part of a statement's timeout that is reserved for the reply to the client: two
/// network trips of 3 ms and the time to write.
const ANSWER_RESERVE: Duration = Duration::from_millis(15);

impl Session {
    pub(super) async fn dispatch(
        &mut self,
        id: RequestId,
        statement: Statement,
    ) -> Result<Option<Served>, Failure> {
        let failed = self.state() == TransactionState::Failed;
        match statement {
            Statement::Commit => self.commit(id).await.map(Some),
            Statement::Rollback => self.roll_back().map(|()| None),
            _ if failed => {
                let refusal = self.transaction.as_mut().map(Transaction::refusal);
                Err(Failure::new(refusal.unwrap_or(ErrorKind::TransactionAborted)))
            }
            Statement::Begin { read_only } => self.begin_transaction(read_only).map(|()| None),
            Statement::Set { name, value } => {
                self.values.insert(name, value);
                Ok(None)
            }
            Statement::Prepare { name, prepared } => {
                self.prepared.insert(name, prepared);
                Ok(None)
            }
            Statement::Deallocate { name } => match self.prepared.remove(&name) {
                Some(_) => Ok(None),
                None => Err(Failure::new(ErrorKind::UnknownPreparedName)),
            },
            Statement::Execute { name, arguments } => {
                let Some(prepared) = self.prepared.get(&name).cloned() else {
                    return Err(Failure::new(ErrorKind::UnknownPreparedName));
                };
                let name = prepared.shared_name();
                let writes = prepared.access == Access::Write;
                let statement = Statement::Execute { name, arguments };
                self.run_operation(id, Work { statement, prepared: Some(prepared) }, writes)
                    .await
                    .map(Some)
            }
            Statement::Read { .. } => {
                self.run_operation(id, Work { statement, prepared: None }, false).await.map(Some)
            }
            Statement::Write { .. } => {
                self.run_operation(id, Work { statement, prepared: None }, true).await.map(Some)
            }
            Statement::Reset => Err(Failure::new(ErrorKind::BadStatement)),
        }
    }

    fn begin_transaction(&mut self, read_only: bool) -> Result<(), Failure> {
        if self.transaction.is_some() {
            return Err(Failure::new(ErrorKind::BadStatement));
        }
        let route = self.resolve()?;
        self.transaction = Some(Transaction::new(route, read_only));
        Ok(())
    }

    /// The route of the session's database in the current configuration.
    fn resolve(&mut self) -> Result<Arc<Route>, Failure> {
        let route = self.engine.route(&self.database);
        let route = route.ok_or_else(|| Failure::new(ErrorKind::UnknownDatabase))?;
        if *self.shard.id() != route.group {
            self.shard = self.engine.shard(&route.group);
        }
        Ok(route)
    }

    fn request(&self, id: RequestId, route: Arc<Route>) -> Request {
        let arrived_at = now();
        let deadline = arrived_at + route.timeout.saturating_sub(ANSWER_RESERVE);
        let objective_left = self.objective_left(arrived_at, &route);
        Request { id, route, arrived_at, deadline, objective_left }
    }

    async fn run_operation(
        &mut self,
        id: RequestId,
        work: Work,
        writes: bool,
    ) -> Result<Served, Failure> {
        let route = match &self.transaction {
            Some(transaction) => transaction.route.clone(),
            None => self.resolve()?,
        };
        self.check_caller(&route)?;
        let request = self.request(id, route);
        self.count_operation(request.time_left(now())).await?;
        let single = self.transaction.is_none();
        let result = self.run_work(&request, &work, writes).await;
        if let (true, Err(failure)) = (single, &result) {
            self.refund_operation(failure);
        }
        result
    }

    /// Runs a request's statement, in the transaction if there is one.
    ///
    /// # Errors
    ///
    /// When the statement did not run, failed, or has an unknown outcome.
    pub async fn run_work(
        &mut self,
        request: &Request,
        work: &Work,
        writes: bool,
    ) -> Result<Served, Failure> {
        self.prepare_affinity(&request.route, writes);
        let Some(mut transaction) = self.transaction.take() else {
            if !self.engine.serves_here(&request.route.group, &self.affinity) {
                return remote::single(self, request, work, writes).await;
            }
            return pass_on::run_single(self, request, work, writes).await;
        };
        self.in_transaction = true;
        let result = if transaction.runs_remotely(&self.engine, &self.affinity) {
            transaction.record_write(writes);
            remote::transaction::in_transaction(self, &mut transaction, request, work).await
        } else {
            pass_on::run_in_transaction(self, &mut transaction, request, work, writes).await
        };
        self.in_transaction = false;
        self.transaction = Some(transaction);
        result
    }

    async fn commit(&mut self, id: RequestId) -> Result<Served, Failure> {
        let Some(transaction) = &self.transaction else {
            return Err(Failure::new(ErrorKind::BadStatement));
        };
        let route = transaction.route.clone();
        self.check_caller(&route)?;
        let request = self.request(id, route);
        self.commit_work(&request).await
    }

    /// Commits the session's transaction.
    ///
    /// # Errors
    ///
    /// When the transaction was rolled back, or when its outcome is unknown.
    pub async fn commit_work(&mut self, request: &Request) -> Result<Served, Failure> {
        let Some(mut transaction) = self.transaction.take() else {
            return Err(Failure::new(ErrorKind::BadStatement));
        };
        if transaction.has_failed() {
            return Err(Failure::new(ErrorKind::TransactionLost));
        }
        if !transaction.runs_remotely(&self.engine, &self.affinity) {
            return transaction::commit(self, &mut transaction, request).await;
        }
        let work = Work { statement: Statement::Commit, prepared: None };
        self.in_transaction = true;
        let result =
            remote::transaction::in_transaction(self, &mut transaction, request, &work).await;
        self.in_transaction = false;
        result
    }

    fn roll_back(&mut self) -> Result<(), Failure> {
        // Dropping the transaction rolls it back.
        match self.transaction.take() {
            Some(_) => Ok(()),
            None => Err(Failure::new(ErrorKind::BadStatement)),
        }
    }
}
