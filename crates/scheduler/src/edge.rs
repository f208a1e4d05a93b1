//! Calls to the key-value service, the workers and the VM list, each answered by an input.

use super::*;

/// How often the VM list is read.
pub const LIST_PERIOD: Duration = Duration::from_secs(2);

/// What came back from a call.
#[derive(Clone, Debug)]
pub struct Input {
    /// The cell, or none when it concerns all.
    pub cell: Option<cell::Id>,
    /// What happened.
    pub event: Event,
}

/// Calls to the platform. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Edge {
    inputs: mpsc::Sender<Input>,
    store: platform::store::Client,
    vms: vms::Client,
    workers: workers::Client,
}

impl Edge {
    /// Returns an edge that passes what comes back to `inputs`.
    pub fn new(
        store: platform::store::Client,
        vms: vms::Client,
        inputs: mpsc::Sender<Input>,
    ) -> Self {
        Self { inputs, store, vms, workers: workers::Client::new() }
    }

    /// Reads the VM list again and again.
    pub async fn list(self, leave: CancellationToken) {
        let mut period = time::interval(LIST_PERIOD);
        while !leave.is_cancelled() {
            period.tick().await;
            match self.vms.list().await {
                Ok(listed) => {
                    let listed = listed.into_iter().map(|vm| Listing {
                        leaving: vm.state == vms::State::Leaving,
                        vm: vm.name,
                    });
                    self.put(None, Event::Listed(listed.collect())).await;
                }
                Err(error) => log::warn!(error = error.to_string(); "vm_list_failed"),
            }
        }
    }

    /// Sends a batch to the worker at `address`.
    pub async fn send(
        self,
        cell: cell::Id,
        vm: Name,
        address: Option<SocketAddr>,
        batch: worker::Batch,
    ) {
        let epoch = batch.epoch;
        let answer = match address {
            Some(address) => self.workers.send(address, &batch, contact::SEND_LIMIT).await,
            None => return self.put(Some(cell), Event::Unreached { epoch, vm }).await,
        };
        let event = match answer {
            Ok(workers::Answer::Report(report)) => Event::Reported { epoch, report, vm },
            Ok(workers::Answer::Stale { .. }) => Event::Stale { epoch, vm },
            Err(error) => {
                log::info!(error = error.to_string(), vm = vm.to_string(); "worker_unreached");
                Event::Unreached { epoch, vm }
            }
        };
        self.put(Some(cell), event).await;
    }

    /// Calls the key-value service.
    pub async fn store(self, cell: cell::Id, call: u64, request: store::Request) {
        let reply = self.ask(&request).await.unwrap_or_else(|error| {
            log::warn!(cell = cell.to_string(), error = error.to_string(); "store_call_failed");
            translate::failure(&error)
        });
        self.put(Some(cell), Event::Store { call, reply }).await;
    }

    async fn ask(&self, request: &store::Request) -> Result<store::Reply, platform::Error> {
        match request {
            store::Request::Commit(txn) => {
                let commit = self.store.commit(&translate::txn(txn)).await?;
                Ok(match commit.succeeded {
                    true => store::Reply::Committed,
                    false => store::Reply::Conflict,
                })
            }
            store::Request::Grant => {
                Ok(store::Reply::Granted(self.store.grant(lease::TTL).await?.0))
            }
            store::Request::KeepAlive(lease) => {
                self.store.keep_alive(platform::store::Lease(*lease)).await?;
                Ok(store::Reply::Kept)
            }
            store::Request::List(prefix) => {
                let values = self.store.list(prefix).await?;
                Ok(store::Reply::Values(values.into_iter().map(translate::value).collect()))
            }
            store::Request::Read(keys) => self.read(keys).await,
        }
    }

    async fn put(&self, cell: Option<cell::Id>, event: Event) {
        let _ = self.inputs.send(Input { cell, event }).await;
    }

    async fn read(&self, keys: &[String]) -> Result<store::Reply, platform::Error> {
        let mut values = Vec::new();
        for key in keys {
            values.extend(self.store.get(key).await?.map(translate::value));
        }
        Ok(store::Reply::Values(values))
    }
}
