//! Client of the key-value service: etcd v3 over HTTP and JSON.

use super::*;

pub use {
    crate::{error::Error, error::Kind, error::Step},
    txn::{Commit, Condition, Lease, Operation, Txn},
    value::Value,
    watch::{Event, Watch},
};

/// Timeout of one call, and of the start of a watch.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The largest value that the service accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Client of the key-value service. Cheap to clone; clones share their connections.
#[derive(Clone, Debug)]
pub struct Client {
    base_url: Arc<str>,
    http: reqwest::Client,
}

impl Client {
    /// Builds a client for the service at `base_url`, such as `http://127.0.0.1:2379`.
    pub fn new(base_url: &str) -> Result<Self, Error> {
        let base_url = base_url.trim_end_matches('/');
        Ok(Self { base_url: base_url.into(), http: http::client(base_url, CALL_TIMEOUT)? })
    }

    /// Commits the transaction. After an error for which `in_doubt` returns true, read back the
    /// state before anything else.
    pub async fn commit(&self, txn: &Txn) -> Result<Commit, Error> {
        let body = gateway::Txn::from(txn);
        let answer: gateway::TxnAnswer = self.call(Step::Commit, "/v3/kv/txn", &body).await?;
        Ok(Commit { revision: answer.header.revision.0, succeeded: answer.succeeded })
    }

    /// Returns the key's value, if it exists.
    pub async fn get(&self, key: &str) -> Result<Option<Value>, Error> {
        Ok(self.range(&gateway::Range::key(key)).await?.kvs.pop().map(Value::from))
    }

    /// Requests a lease of `ttl`, rounded up to whole seconds.
    pub async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let seconds = ttl.as_millis().div_ceil(1_000) as i64;
        let body = gateway::Lease { ttl: gateway::Long(seconds), ..Default::default() };
        let answer: gateway::Lease = self.call(Step::Grant, "/v3/lease/grant", &body).await?;
        Ok(Lease(answer.id.0))
    }

    /// Renews the lease and returns its time to live. `Kind::Lapsed` if it has ended.
    pub async fn keep_alive(&self, lease: Lease) -> Result<Duration, Error> {
        let body = gateway::Lease { id: gateway::Long(lease.0), ..Default::default() };
        let step = Step::KeepAlive;
        let answer: gateway::Streamed<gateway::Lease> =
            self.call(step, "/v3/lease/keepalive", &body).await?;
        let ttl = answer.result.ttl.0;
        if ttl <= 0 {
            let cause = format!("lease `{}` is gone", lease.0);
            return Err(Error::new(step, &self.base_url, Kind::Lapsed, cause));
        }
        Ok(Duration::from_secs(ttl.unsigned_abs()))
    }

    /// Returns every key that starts with `prefix`, in order.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Value>, Error> {
        let answer = self.range(&gateway::Range::prefix(prefix)).await?;
        Ok(answer.kvs.into_iter().map(Value::from).collect())
    }

    /// Returns the revision of the key's last change, without its value, if it exists.
    pub async fn modified(&self, key: &str) -> Result<Option<i64>, Error> {
        let range = gateway::Range { keys_only: true, ..gateway::Range::key(key) };
        Ok(self.range(&range).await?.kvs.pop().map(|kv| kv.mod_revision.0))
    }

    /// Revokes the lease, which deletes the keys attached to it. `Kind::Lapsed` if it has ended.
    pub async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        let body = gateway::Lease { id: gateway::Long(lease.0), ..Default::default() };
        let _: gateway::Lease = self.call(Step::Revoke, "/v3/lease/revoke", &body).await?;
        Ok(())
    }

    /// Watches every key that starts with `prefix`, from revision `from`, or from now when 0.
    pub async fn watch(&self, prefix: &str, from: i64) -> Result<Watch, Error> {
        let range = gateway::Range::prefix(prefix);
        let create_request = gateway::WatchCreate {
            key: range.key,
            progress_notify: true,
            range_end: range.range_end,
            start_revision: gateway::Long(from),
        };
        let body = gateway::WatchRequest { create_request };
        let response = self.send(Step::Watch, "/v3/watch", &body).await?;
        if !response.status().is_success() {
            return Err(http::status_error(Step::Watch, &self.base_url, response).await);
        }
        Ok(Watch::new(&self.base_url, response))
    }

    async fn call<T: DeserializeOwned>(
        &self,
        step: Step,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let call = async {
            let response = self.send(step, path, body).await?;
            http::decode(step, &self.base_url, response).await
        };
        tokio::time::timeout(CALL_TIMEOUT, call)
            .await
            .unwrap_or_else(|_| Err(self.timeout_error(step)))
    }

    fn timeout_error(&self, step: Step) -> Error {
        let kind = if step.writes() { Kind::Doubt } else { Kind::Unsent };
        Error::new(step, &self.base_url, kind, "no answer in time")
    }

    async fn range(&self, range: &gateway::Range) -> Result<gateway::RangeAnswer, Error> {
        self.call(Step::Range, "/v3/kv/range", range).await
    }

    async fn send(
        &self,
        step: Step,
        path: &str,
        body: &impl Serialize,
    ) -> Result<reqwest::Response, Error> {
        let request = self.http.post(format!("{}{path}", self.base_url)).json(body).send();
        tokio::time::timeout(CALL_TIMEOUT, request)
            .await
            .map_err(|_| self.timeout_error(step))?
            .map_err(|error| Error::transport(step, &self.base_url, &error))
    }
}
