//! Executes the calls to the key-value service, the workers and the VM list, and sends their results
//! to the actor as events.

use super::*;

/// Interval between two reads of the VM list.
pub const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// The result of a call to the platform.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The cell that the event is for; `None` for every cell.
    pub cell: Option<cell::Id>,
    /// The result, as an event for the owner of the cell.
    pub event: Event,
}

/// Executes calls to the platform. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Executor {
    completions: mpsc::Sender<Completion>,
    store: platform::store::Client,
    vm_list: vms::Client,
    workers: workers::Client,
}

impl Executor {
    /// Returns an executor that sends the results of its calls to `completions`.
    pub fn new(
        store: platform::store::Client,
        vm_list: vms::Client,
        completions: mpsc::Sender<Completion>,
    ) -> Self {
        Self { completions, store, vm_list, workers: workers::Client::new() }
    }

    /// Reads the VM list every `VM_LIST_INTERVAL` until `stop`. A failed read is only logged.
    pub async fn poll_vm_list(self, stop: CancellationToken) {
        let mut interval = time::interval(VM_LIST_INTERVAL);
        while !stop.is_cancelled() {
            interval.tick().await;
            match self.vm_list.list().await {
                Ok(listed) => {
                    let listed = listed.into_iter().map(|vm| Listing {
                        leaving: vm.state == vms::State::Leaving,
                        vm: vm.name,
                    });
                    self.complete(None, Event::Listed(listed.collect())).await;
                }
                Err(error) => log::warn!(error = error.to_string(); "vm_list_failed"),
            }
        }
    }

    /// Sends a batch to the worker at `address`; without an address the worker counts as unreached.
    pub async fn send_batch(
        self,
        cell: cell::Id,
        vm: Name,
        address: Option<SocketAddr>,
        batch: worker::Batch,
    ) {
        let epoch = batch.epoch;
        let answer = match address {
            Some(address) => self.workers.send(address, &batch, contact::BATCH_VALIDITY).await,
            None => return self.complete(Some(cell), Event::Unreached { epoch, vm }).await,
        };
        let event = match answer {
            Ok(workers::Answer::Report(report)) => Event::Reported { epoch, report, vm },
            Ok(workers::Answer::Stale { .. }) => Event::Stale { epoch, vm },
            Err(error) => {
                log::info!(error = error.to_string(), vm = vm.to_string(); "worker_unreached");
                Event::Unreached { epoch, vm }
            }
        };
        self.complete(Some(cell), event).await;
    }

    /// Sends `request` to the key-value service, as the owner's call number `call`.
    pub async fn call_store(self, cell: cell::Id, call: u64, request: store::Request) {
        let reply = self.execute(&request).await.unwrap_or_else(|error| {
            log::warn!(cell = cell.to_string(), error = error.to_string(); "store_call_failed");
            translate::failure(&error)
        });
        self.complete(Some(cell), Event::Store { call, reply }).await;
    }

    async fn execute(&self, request: &store::Request) -> Result<store::Reply, platform::Error> {
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
            store::Request::Read(keys) => self.read_keys(keys).await,
        }
    }

    async fn complete(&self, cell: Option<cell::Id>, event: Event) {
        // Sending fails only after the actor has ended, which needs no more events.
        let _ = self.completions.send(Completion { cell, event }).await;
    }

    async fn read_keys(&self, keys: &[String]) -> Result<store::Reply, platform::Error> {
        let mut values = Vec::new();
        for key in keys {
            values.extend(self.store.get(key).await?.map(translate::value));
        }
        Ok(store::Reply::Values(values))
    }
}
