//! Outages of the store in series, beside lasting jobs: all VMs are killed, workers leave or crash and a
//! VM freezes meanwhile.

use {
    super::*,
    outage::Outage,
    presence::Presence,
    std::{io::Write, ops::Range},
};

/// Number of lasting jobs at first; each series adds one.
const LASTING_JOBS: usize = 6;
/// Minimum number of series in a run.
const MIN_SERIES: usize = 2;
/// Time between the return of the store and the removal of the entry of a worker that is gone: three
/// heartbeats.
const REMOVAL_TIME: Duration = Duration::from_millis(4_500);
/// How long nothing is disturbed after a series.
const CALM_TIME: Duration = Duration::from_secs(13);
/// Interval between two looks at the lasting tasks.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

impl Soak {
    /// Runs series of outages until `end`, at least `MIN_SERIES`, and watches the lasting tasks.
    pub(crate) async fn interrupt(self: Rc<Self>, end: Instant) {
        let series = spawn_local(self.clone().run_outages(end));
        let mut presence = Presence::default();
        while !series.is_finished() {
            presence.look(&self);
            sleep(LOOK_INTERVAL).await;
        }
        // A panic of the task ends the run.
        series.await.expect("a finished task");
    }

    async fn run_outages(self: Rc<Self>, end: Instant) {
        // How often requests draw depends on timing, so the plans have a source of their own.
        let mut random = Pcg64Mcg::seed_from_u64(!self.plan.seed);
        for number in 0..LASTING_JOBS as u32 {
            let (count, milli) = (random.random_range(2..=3), random.random_range(1_000..3_000));
            spawn_local(self.clone().submit_lasting(number, count, milli, Instant::now()));
        }
        for number in LASTING_JOBS.. {
            let outage = Outage::random(&mut random, self.vms.len(), self.workers.len(), number);
            self.record("outages.log", &format!("{outage:?}"));
            self.clone().run_outage(outage, number as u32).await;
            if number + 1 >= LASTING_JOBS + MIN_SERIES && Instant::now() >= end {
                break;
            }
        }
    }

    /// Appends a line to a file beside the VMs' logs.
    pub(crate) fn record(&self, file: &str, line: &str) {
        let path = self.plan.directory.join(file);
        let file = fs::File::options().append(true).create(true).open(path);
        let written = file.and_then(|mut file| writeln!(file, "{line}"));
        written.expect("a writable directory of logs");
    }

    /// Runs the series of one outage, and waits for the calm after it.
    async fn run_outage(self: Rc<Self>, outage: Outage, number: u32) {
        self.calm_since.set(None);
        let start = Instant::now();
        let back = start + outage.silence.end;
        let at = |span: Range<Duration>| start + span.start..start + span.end;
        let mut faults = vec![spawn_local(self.clone().silence(at(outage.silence), outage.lapses))];
        for span in outage.kills {
            faults.push(spawn_local(self.clone().kill_all(at(span))));
        }
        if let Some((vm, span)) = outage.freeze {
            faults.push(spawn_local(self.clone().freeze(vm, at(span))));
        }
        let mut others = Vec::new();
        for (worker, span) in outage.crashes {
            others.push(spawn_local(self.clone().crash_worker(worker, at(span))));
        }
        for (worker, span) in &outage.leaving {
            others.push(spawn_local(self.clone().leave(*worker, at(span.clone()), back)));
        }
        let (time, count, milli) = outage.job;
        let submission = self.clone().submit_lasting(number, count, milli, start + time);
        others.push(spawn_local(submission));
        if let Some((index, time)) = outage.cancellation {
            others.push(spawn_local(self.clone().cancel_one(index, start + time)));
        }
        for fault in faults {
            // A panic of the task ends the run.
            fault.await.expect("a finished task");
        }
        self.calm_since.set(Some(Instant::now()));
        sleep(CALM_TIME).await;
        for other in others {
            other.await.expect("a finished task");
        }
        for vm in &self.vms {
            if !vm.is_running() {
                self.ledger.record_violation(format!("the VM at {} ended by itself", vm.front));
            }
        }
        self.spawn_vms();
        for (number, _) in outage.leaving {
            let (worker, relay) = &self.workers[number];
            relay.heal();
            worker.register(&self.store, relay.address, false);
        }
    }

    async fn silence(self: Rc<Self>, span: Range<Instant>, lapses: bool) {
        sleep_until(span.start).await;
        self.count(if lapses { "outage-lapse" } else { "outage-keep" });
        self.store.set_availability(Availability::Silent);
        sleep_until(span.end).await;
        if lapses {
            self.store.revoke_all();
        }
        self.store.set_availability(Availability::Up);
    }

    async fn kill_all(self: Rc<Self>, span: Range<Instant>) {
        sleep_until(span.start).await;
        self.count("herd");
        self.vms.iter().for_each(|vm| vm.signal(Signal::KILL));
        sleep_until(span.end).await;
        self.spawn_vms();
    }

    async fn freeze(self: Rc<Self>, number: usize, span: Range<Instant>) {
        sleep_until(span.start).await;
        self.count("freeze");
        self.vms[number].pause(true);
        sleep_until(span.end).await;
        self.vms[number].pause(false);
    }

    /// Crashes a worker, which restarts under its ID.
    async fn crash_worker(self: Rc<Self>, number: usize, span: Range<Instant>) {
        sleep_until(span.start).await;
        self.count("worker-crash");
        let (worker, relay) = &self.workers[number];
        relay.cut();
        worker.crash();
        sleep_until(span.end).await;
        relay.heal();
        worker.register(&self.store, relay.address, false);
    }

    /// Lets a worker say that it leaves, and end. Its entry goes some time after the store is `back`.
    async fn leave(self: Rc<Self>, number: usize, span: Range<Instant>, back: Instant) {
        sleep_until(span.start).await;
        self.count("worker-leave");
        let (worker, relay) = &self.workers[number];
        worker.register(&self.store, relay.address, true);
        sleep_until(span.end).await;
        relay.cut();
        worker.crash();
        sleep_until(back + REMOVAL_TIME).await;
        self.store.remove(&format!("servers/{}", worker.id));
    }

    /// Cancels a lasting job that was accepted, at a time.
    async fn cancel_one(self: Rc<Self>, index: usize, at: Instant) {
        sleep_until(at).await;
        let id = {
            let jobs = self.jobs.borrow();
            let mut lasting = jobs.values().filter(|job| job.lasting_milli.is_some()).skip(index);
            lasting.find(|job| job.accepted).map(|job| job.id.clone())
        };
        if let Some(id) = id {
            self.count("lasting-cancel");
            self.cancel(&id).await;
        }
    }
}
