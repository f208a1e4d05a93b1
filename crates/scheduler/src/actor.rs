//! The owners of every cell in one process: passes events to them and carries their actions out.

use super::*;

/// Calls that wait for an answer at once.
pub const MAX_CALLS: usize = 4_096;
/// How long a call waits for its answer; after that the caller has given up.
pub const CALL_LIMIT: Duration = Duration::from_secs(10);

/// The owners of every cell in one process.
#[derive(Debug)]
pub struct Actor {
    addresses: BTreeMap<Name, SocketAddr>,
    cells: BTreeMap<cell::Id, Owner>,
    edge: Edge,
    follower: Follower,
    incarnation: u64,
    leaving: bool,
    listed: Vec<Listing>,
    metrics: Arc<StatsdClient>,
    settings: settings::Scheduler,
    started: time::Instant,
    tickets: BTreeMap<Ticket, Waiting>,
    tickets_given: u64,
}

/// A call that waits for its answer.
#[derive(Debug)]
struct Waiting {
    incoming: Incoming,
    since: time::Instant,
}

impl Actor {
    /// Returns an actor without cells; they come with the configuration.
    pub fn new(
        settings: settings::Scheduler,
        edge: Edge,
        follower: Follower,
        metrics: Arc<StatsdClient>,
    ) -> Self {
        Self {
            addresses: BTreeMap::new(),
            cells: BTreeMap::new(),
            edge,
            follower,
            incarnation: (uuid::Uuid::now_v7().as_u128() >> 64) as u64,
            leaving: false,
            listed: Vec::new(),
            metrics,
            settings,
            started: time::Instant::now(),
            tickets: BTreeMap::new(),
            tickets_given: 0,
        }
    }

    /// Takes a peer's call.
    pub fn call(&mut self, incoming: Incoming) {
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
        if !self.cells.contains_key(&cell) || self.tickets.len() >= MAX_CALLS {
            let reason = match self.cells.contains_key(&cell) {
                true => answer::Refusal::Overloaded,
                false => answer::Refusal::NotOwner,
            };
            let text = format!("cell `{cell}` cannot take the call at `{}`", self.settings.name);
            return reply(incoming, translate::answer(Answer::refuse(reason, text)));
        }
        self.tickets_given += 1;
        let ticket = Ticket(self.tickets_given);
        self.tickets.insert(ticket, Waiting { incoming, since: time::Instant::now() });
        self.event(&cell, Event::Call { call, ticket });
    }

    /// Puts a configuration in force.
    pub fn configure(&mut self, in_force: &ActiveConfig) {
        let partition = Partition::new(&in_force.config);
        for vm in &in_force.config.vms {
            self.addresses.insert(vm.name.clone(), vm.address);
        }
        for cell in partition.cells.keys() {
            if let Err(error) = self.join(cell) {
                log::error!(cell = cell.to_string(), error = error.to_string(); "cell_not_joined");
            }
        }
        for cell in self.cells.keys().cloned().collect::<Vec<_>>() {
            let vms = partition.cells.get(&cell).cloned().unwrap_or_default();
            let config = in_force.config.clone();
            self.event(&cell, Event::Configured { config, vms: vms.into() });
        }
        log::info!(revision = in_force.revision.0; "configuration_in_force");
    }

    /// Takes what came back from a call.
    pub fn input(&mut self, input: edge::Input) {
        match (input.cell, input.event) {
            (Some(cell), event) => self.event(&cell, event),
            (None, event) => {
                if let Event::Listed(listed) = &event {
                    self.listed = listed.clone();
                }
                self.each(&event);
            }
        }
    }

    /// Returns whether every cell is handed over.
    pub fn is_released(&self) -> bool {
        self.leaving && self.cells.values().all(Owner::is_released)
    }

    /// Begins to hand the cells over.
    pub fn leave(&mut self) {
        self.leaving = true;
        log::info!(scheduler = self.settings.name.to_string(); "leaving");
        self.each(&Event::Leave);
    }

    /// Lets time go by.
    pub fn tick(&mut self) {
        self.each(&Event::Tick);
        while self.tickets.first_entry().is_some_and(|e| e.get().since.elapsed() > CALL_LIMIT) {
            self.tickets.pop_first();
        }
    }

    /// Tells how much there is.
    pub fn measure(&self) {
        let now = self.now();
        let owned = self.cells.values().filter(|owner| owner.epoch(now).is_some()).count();
        let _ = self.metrics.gauge("cells_owned", owned as u64);
        let _ = self.metrics.gauge("calls_waiting", self.tickets.len() as u64);
    }

    fn act(&mut self, cell: &cell::Id, action: Action) {
        match action {
            Action::Answer { answer, ticket } => {
                if let Some(waiting) = self.tickets.remove(&ticket) {
                    reply(waiting.incoming, translate::answer(answer));
                }
            }
            Action::Note(note) => tell(cell, &note),
            Action::Send { batch, vm } => {
                let _ = self.metrics.count("batches_sent", 1);
                let address = self.addresses.get(&vm).copied();
                tokio::spawn(self.edge.clone().send(cell.clone(), vm, address, batch));
            }
            Action::Store { call, request } => {
                let _ = self.metrics.count("store_calls", 1);
                tokio::spawn(self.edge.clone().store(cell.clone(), call, request));
            }
        }
    }

    fn each(&mut self, event: &Event) {
        for cell in self.cells.keys().cloned().collect::<Vec<_>>() {
            self.event(&cell, event.clone());
        }
    }

    fn event(&mut self, cell: &cell::Id, event: Event) {
        let now = self.now();
        let Some(owner) = self.cells.get_mut(cell) else { return };
        for action in owner.handle(now, event) {
            self.act(cell, action);
        }
    }

    /// Takes part in a cell from now on.
    fn join(&mut self, cell: &cell::Id) -> Result<(), Error> {
        if self.cells.contains_key(cell) || self.leaving {
            return Ok(());
        }
        let own = (&self.settings.name, &self.settings.zone);
        let peers: Vec<(&Name, &Name)> =
            self.settings.peers.iter().map(|peer| (&peer.name, &peer.zone)).collect();
        let rank = Partition::rank(cell, own, &peers);
        let holder = Holder {
            epoch: cell::Epoch(0),
            incarnation: self.incarnation,
            scheduler: self.settings.name.clone(),
        };
        let owner = Owner::new(cell.clone(), holder, rank, Faults::None)
            .map_err(|cause| Error::new(&self.settings.name, cause))?;
        self.cells.insert(cell.clone(), owner);
        self.event(cell, Event::Listed(self.listed.clone()));
        Ok(())
    }

    fn now(&self) -> Instant {
        Instant::from_millis(1) + self.started.elapsed()
    }

    fn probe(&self, now: Instant) -> call::Probe {
        let owned = self.cells.iter().filter_map(|(cell, owner)| {
            let epoch = owner.epoch(now)?;
            Some((cell.clone(), epoch))
        });
        call::Probe {
            cells: owned.collect(),
            incarnation: self.incarnation,
            leaving: self.leaving,
            name: self.settings.name.clone(),
            revision: self.follower.current().map(|in_force| in_force.revision).unwrap_or_default(),
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

fn tell(cell: &cell::Id, note: &Note) {
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
