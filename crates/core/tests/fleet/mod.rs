//! A simulation of processes that follow the configuration, in virtual time.

use {
    oleanderstage_core::{
        Instant, Name,
        config::{Accepted, Revision},
        follow::{Action, Answer, CALL_TIMEOUT, Event, Machine, PERIOD, Reading, Refusal},
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{collections::BTreeMap, time::Duration},
};

/// One-way latency between any two processes.
const LATENCY: Duration = Duration::from_millis(2);

/// A message or event that arrives at a process.
enum Arrival {
    Ask { from: usize, have: Revision },
    Event { event: Event, incarnation: u32 },
}

/// One process of the fleet.
pub(crate) struct Process {
    pub(crate) alive: bool,
    pub(crate) applied: Vec<(Instant, Revision)>,
    incarnation: u32,
    machine: Machine,
    pub(crate) refused: Vec<Refusal>,
    /// The side of a network partition that it is on. Processes on other sides can't be reached.
    pub(crate) side: u8,
}

/// All processes and the key-value service.
pub(crate) struct Fleet {
    queue: BTreeMap<(Instant, u64), (usize, Arrival)>,
    /// Share of calls that are lost, in thousandths.
    pub(crate) loss_milli: u32,
    names: Vec<Name>,
    pub(crate) now: Instant,
    pub(crate) processes: Vec<Process>,
    pub(crate) peer_calls: u64,
    random: Pcg64Mcg,
    pub(crate) reads: u64,
    serial: u64,
    pub(crate) stored: Option<Accepted>,
    /// Whether side 0 can reach the key-value service.
    pub(crate) store_up: bool,
}

pub(crate) fn accepted(revision: u64) -> Accepted {
    Accepted {
        by: String::new(),
        config: Default::default(),
        past: vec![],
        revision: Revision(revision),
        submission: format!("submission-{revision}"),
    }
}

impl Fleet {
    pub(crate) fn new(processes: usize, seed: u64) -> Self {
        let names: Vec<Name> =
            (0..processes).map(|i| Name::try_from(format!("entry-{i}")).unwrap()).collect();
        let mut fleet = Self {
            queue: BTreeMap::new(),
            loss_milli: 0,
            names,
            now: Instant::default(),
            processes: vec![],
            peer_calls: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            reads: 0,
            serial: 0,
            stored: None,
            store_up: true,
        };
        for index in 0..processes {
            let machine = fleet.machine(index);
            fleet.processes.push(Process {
                alive: true,
                applied: vec![],
                incarnation: 0,
                machine,
                refused: vec![],
                side: 0,
            });
            fleet.schedule_first_tick(index);
        }
        fleet
    }

    pub(crate) fn restart(&mut self, index: usize) {
        let machine = self.machine(index);
        let process = &mut self.processes[index];
        *process = Process {
            alive: true,
            applied: vec![],
            incarnation: process.incarnation + 1,
            machine,
            refused: vec![],
            side: process.side,
        };
        self.schedule_first_tick(index);
    }

    pub(crate) fn revision(&self, index: usize) -> Option<u64> {
        self.processes[index].machine.current().map(|current| current.revision.0)
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((now, _), (index, arrival)) = entry.remove_entry();
            self.now = now;
            self.arrive(index, arrival);
        }
        self.now = end;
    }

    pub(crate) fn store(&mut self, revision: u64) {
        self.stored = Some(accepted(revision));
    }

    /// Returns the indexes of the live processes that read the key-value service.
    pub(crate) fn watchers(&self) -> Vec<usize> {
        let processes = self.processes.iter().enumerate();
        let watching = processes.filter(|(_, p)| p.alive && p.machine.watches());
        watching.map(|(index, _)| index).collect()
    }

    fn arrive(&mut self, index: usize, arrival: Arrival) {
        match arrival {
            Arrival::Ask { from, have } => self.reply(index, from, have),
            Arrival::Event { event, incarnation } => {
                let process = &mut self.processes[index];
                if !process.alive || process.incarnation != incarnation {
                    return;
                }
                if event == Event::Tick {
                    self.schedule(PERIOD, index, Event::Tick);
                }
                let actions = self.processes[index].machine.handle(self.now, event);
                actions.into_iter().for_each(|action| self.act(index, action));
            }
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::Apply(accepted) => {
                let now = self.now;
                self.processes[index].applied.push((now, accepted.revision));
            }
            Action::Ask(peer) => self.ask(index, &peer),
            Action::Read => self.read(index),
            Action::Refuse(refusal) => self.processes[index].refused.push(refusal),
        }
    }

    fn ask(&mut self, index: usize, name: &Name) {
        self.peer_calls += 1;
        let peer = self.names.iter().position(|other| other == name).unwrap();
        let have = self.processes[index].machine.current().map_or(Revision(0), |c| c.revision);
        let reachable = self.processes[peer].alive
            && self.processes[peer].side == self.processes[index].side
            && !self.is_lost();
        if reachable {
            let at = self.key(LATENCY);
            self.queue.insert(at, (peer, Arrival::Ask { from: index, have }));
        } else {
            let event = Event::Answer { answer: Answer::Failed, peer: name.clone() };
            self.schedule(CALL_TIMEOUT, index, event);
        }
    }

    fn reply(&mut self, index: usize, to: usize, have: Revision) {
        let current = self.processes[index].machine.current();
        let newer = current.filter(|current| current.revision > have).cloned();
        let answer = newer.map_or(Answer::Nothing, Answer::Newer);
        let peer = self.names[index].clone();
        let lost = self.is_lost();
        let (time, answer) = if lost { (CALL_TIMEOUT, Answer::Failed) } else { (LATENCY, answer) };
        self.schedule(time, to, Event::Answer { answer, peer });
    }

    fn read(&mut self, index: usize) {
        self.reads += 1;
        let reached = self.store_up && self.processes[index].side == 0 && !self.is_lost();
        let reading = match &self.stored {
            _ if !reached => Reading::Failed,
            Some(accepted) => Reading::Found(accepted.clone()),
            None => Reading::Nothing,
        };
        let time = if reached { LATENCY * 2 } else { CALL_TIMEOUT };
        self.schedule(time, index, Event::Reading(reading));
    }

    fn key(&mut self, time: Duration) -> (Instant, u64) {
        self.serial += 1;
        (self.now + time, self.serial)
    }

    fn is_lost(&mut self) -> bool {
        self.loss_milli > 0 && self.random.random_range(0..1_000) < self.loss_milli
    }

    fn machine(&self, index: usize) -> Machine {
        Machine::new(&self.names[index], &self.names)
    }

    fn schedule(&mut self, time: Duration, index: usize, event: Event) {
        let incarnation = self.processes[index].incarnation;
        let at = self.key(time);
        self.queue.insert(at, (index, Arrival::Event { event, incarnation }));
    }

    fn schedule_first_tick(&mut self, index: usize) {
        let offset = Duration::from_millis(self.random.random_range(0..1_000));
        self.schedule(offset, index, Event::Tick);
    }
}
