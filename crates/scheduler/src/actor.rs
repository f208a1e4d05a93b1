//! The owners of all cells in one process. Passes events to them and executes their actions.

use super::*;

/// Maximum number of calls that wait for an answer. A further call is refused as overloaded.
pub const MAX_PENDING_CALLS: usize = 4_096;
/// Time after which an unanswered call is dropped, because its caller has stopped waiting.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The owners of all cells in one process, with the calls that wait for their answers.
#[derive(Debug)]
pub struct Actor {
    /// Addresses of the workers, by VM. Those of VMs that left the configuration are kept.
    worker_addresses: BTreeMap<Name, SocketAddr>,
    /// One owner for each cell that a configuration since the start of the process has had, whether
    /// or not this process owns the cell now.
    owners: BTreeMap<cell::Id, Owner>,
    executor: Executor,
    follower: Follower,
    /// Differs at each start of the process: the upper half of a UUIDv7, mostly its timestamp.
    incarnation: u64,
    leaving: bool,
    /// The VM list as it was last read.
    vm_list: Vec<Listing>,
    metrics: Arc<StatsdClient>,
    settings: settings::Scheduler,
    started: time::Instant,
    /// The calls that wait for an answer. Tickets ascend, so the oldest call is the first.
    pending_calls: BTreeMap<Ticket, PendingCall>,
    /// Number of the last ticket.
    last_ticket: u64,
}

/// A call that waits for its answer.
#[derive(Debug)]
struct PendingCall {
    incoming: Incoming,
    received: time::Instant,
}

impl Actor {
    /// Returns an actor without cells; `configure` adds them.
    pub fn new(
        settings: settings::Scheduler,
        executor: Executor,
        follower: Follower,
        metrics: Arc<StatsdClient>,
    ) -> Self {
        Self {
            worker_addresses: BTreeMap::new(),
            owners: BTreeMap::new(),
            executor,
            follower,
            incarnation: (uuid::Uuid::now_v7().as_u128() >> 64) as u64,
            leaving: false,
            vm_list: Vec::new(),
            metrics,
            settings,
            started: time::Instant::now(),
            pending_calls: BTreeMap::new(),
            last_ticket: 0,
        }
    }

    /// Handles a call of a peer: replies at once, or passes it to the owner of its cell.
    pub fn on_call(&mut self, incoming: Incoming) {
        let now = self.now();
        let (cell, call) = match incoming.call.clone() {
            Call::Cancel(id) => (id.cell.clone(), owner::Call::Cancel(id)),
            Call::Config { have } => return reply(incoming, self.follower.reply(have)),
            Call::Explain(id) => (id.cell.clone(), owner::Call::Explain(id)),
            Call::Job(id) => (id.cell.clone(), owner::Call::Job(id)),
            Call::Key(_) | Call::KeyAnswer { .. } | Call::KeyEnd(_) => {
                let text = format!("`{}` is a scheduler: ask an entry", self.settings.name);
                let refusal = Answer::refuse(answer::Refusal::Invalid, text);
                return reply(incoming, translate::answer(refusal));
            }
            Call::Probe(_) => return reply(incoming, Reply::Probe(self.probe(now))),
            Call::Submit { id, spec } => (id.cell.clone(), owner::Call::Submit { id, spec }),
        };
        if !self.owners.contains_key(&cell) || self.pending_calls.len() >= MAX_PENDING_CALLS {
            let reason = match self.owners.contains_key(&cell) {
                true => answer::Refusal::Overloaded,
                false => answer::Refusal::NotOwner,
            };
            let text = format!("cell `{cell}` cannot take the call at `{}`", self.settings.name);
            return reply(incoming, translate::answer(Answer::refuse(reason, text)));
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.pending_calls.insert(ticket, PendingCall { incoming, received: time::Instant::now() });
        self.handle(&cell, Event::Call { call, ticket });
    }

    /// Activates a configuration: adds its new cells and passes it to every owner. An owner
    /// whose cell is not in the configuration gets no VMs.
    pub fn configure(&mut self, active: &ActiveConfig) {
        let layout = Layout::new(&active.config);
        for vm in &active.config.vms {
            self.worker_addresses.insert(vm.name.clone(), vm.address);
        }
        for cell in layout.cells.keys() {
            if let Err(error) = self.add_cell(cell) {
                log::error!(cell = cell.to_string(), error = error.to_string(); "cell_not_joined");
            }
        }
        for cell in self.owners.keys().cloned().collect::<Vec<_>>() {
            let vms = layout.cells.get(&cell).cloned().unwrap_or_default();
            let config = active.config.clone();
            self.handle(&cell, Event::Configured { config, vms: vms.into() });
        }
        log::info!(revision = active.revision.0; "configuration_in_force");
    }

    /// Handles the result of a call to the platform.
    pub fn on_completion(&mut self, completion: executor::Completion) {
        match (completion.cell, completion.event) {
            (Some(cell), event) => self.handle(&cell, event),
            (None, event) => {
                if let Event::Listed(vm_list) = &event {
                    self.vm_list = vm_list.clone();
                }
                self.handle_in_all(&event);
            }
        }
    }

    /// Returns whether the process is leaving and every cell is handed over.
    pub fn is_released(&self) -> bool {
        self.leaving && self.owners.values().all(Owner::is_released)
    }

    /// Starts to hand the cells over.
    pub fn leave(&mut self) {
        self.leaving = true;
        log::info!(scheduler = self.settings.name.to_string(); "leaving");
        self.handle_in_all(&Event::Leave);
    }

    /// Passes a tick to every owner and drops the calls older than `CALL_TIMEOUT`.
    pub fn tick(&mut self) {
        self.handle_in_all(&Event::Tick);
        while self
            .pending_calls
            .first_entry()
            .is_some_and(|e| e.get().received.elapsed() > CALL_TIMEOUT)
        {
            self.pending_calls.pop_first();
        }
    }

    /// Sends the gauges of owned cells and pending calls.
    pub fn send_gauges(&self) {
        let now = self.now();
        let owned = self.owners.values().filter(|owner| owner.epoch(now).is_some()).count();
        let _ = self.metrics.gauge("cells_owned", owned as u64);
        let _ = self.metrics.gauge("calls_waiting", self.pending_calls.len() as u64);
    }

    fn execute(&mut self, cell: &cell::Id, action: Action) {
        match action {
            Action::Answer { answer, ticket } => {
                if let Some(pending) = self.pending_calls.remove(&ticket) {
                    reply(pending.incoming, translate::answer(answer));
                }
            }
            Action::Note(note) => log_note(cell, &note),
            Action::Send { batch, vm } => {
                let _ = self.metrics.count("batches_sent", 1);
                let address = self.worker_addresses.get(&vm).copied();
                tokio::spawn(self.executor.clone().send_batch(cell.clone(), vm, address, batch));
            }
            Action::Store { call, request } => {
                let _ = self.metrics.count("store_calls", 1);
                tokio::spawn(self.executor.clone().call_store(cell.clone(), call, request));
            }
        }
    }

    /// Passes an event to every owner.
    fn handle_in_all(&mut self, event: &Event) {
        for cell in self.owners.keys().cloned().collect::<Vec<_>>() {
            self.handle(&cell, event.clone());
        }
    }

    /// Passes an event to the owner of `cell` and executes the resulting actions.
    fn handle(&mut self, cell: &cell::Id, event: Event) {
        let now = self.now();
        let Some(owner) = self.owners.get_mut(cell) else { return };
        for action in owner.handle(now, event) {
            self.execute(cell, action);
        }
    }

    /// Adds an owner for `cell`, which from now on takes the cell over when it is vacant. Does
    /// nothing if there is one already or the process is leaving.
    fn add_cell(&mut self, cell: &cell::Id) -> Result<(), Error> {
        if self.owners.contains_key(cell) || self.leaving {
            return Ok(());
        }
        let own = (&self.settings.name, &self.settings.zone);
        let peers: Vec<(&Name, &Name)> =
            self.settings.peers.iter().map(|peer| (&peer.name, &peer.zone)).collect();
        let rank = Layout::rank(cell, own, &peers);
        let holder = Holder {
            epoch: cell::Epoch(0),
            incarnation: self.incarnation,
            scheduler: self.settings.name.clone(),
        };
        let owner = Owner::new(cell.clone(), holder, rank, Faults::None)
            .map_err(|cause| Error::new(&self.settings.name, cause))?;
        self.owners.insert(cell.clone(), owner);
        self.handle(cell, Event::Listed(self.vm_list.clone()));
        Ok(())
    }

    /// Returns the time on the owners' clock, which starts at 1 ms with the process.
    fn now(&self) -> Instant {
        Instant::from_millis(1) + self.started.elapsed()
    }

    fn probe(&self, now: Instant) -> call::Probe {
        let owned = self.owners.iter().filter_map(|(cell, owner)| {
            let epoch = owner.epoch(now)?;
            Some((cell.clone(), epoch))
        });
        call::Probe {
            cells: owned.collect(),
            incarnation: self.incarnation,
            leaving: self.leaving,
            name: self.settings.name.clone(),
            revision: self.follower.current().map(|active| active.revision).unwrap_or_default(),
        }
    }
}

fn reply(incoming: Incoming, reply: Reply) {
    tokio::spawn(async move {
        if let Err(error) = incoming.answer(&reply).await {
            log::info!(error = error.to_string(); "reply_not_sent");
        }
    });
}

fn log_note(cell: &cell::Id, note: &Note) {
    let cell = cell.to_string();
    match note {
        Note::Lost => log::warn!(cell; "cell_lost"),
        Note::Refused(error) => log::error!(cell, error; "value_refused"),
        Note::Released => log::info!(cell; "cell_released"),
        Note::TookOver { epoch, jobs } => {
            log::info!(cell, epoch = epoch.0, jobs; "cell_taken_over");
        }
    }
}
