//! Tasks that crash their workers, and workers whose capacity changes, beside workers that crash by
//! themselves and a VM that is killed now and then.

use super::*;

/// Time between two changes of a worker's capacity.
const RESIZE_INTERVAL: Duration = Duration::from_millis(700);
/// Time between two workers that crash by themselves.
const CRASH_INTERVAL: Duration = Duration::from_millis(2_600);
/// Time between two VMs that are killed.
const KILL_INTERVAL: Duration = Duration::from_millis(6_000);
/// Time after which a killed VM is started again.
const ABSENCE: Duration = Duration::from_millis(500);

impl Soak {
    /// Changes capacities, crashes workers and kills VMs in turn until `end`.
    pub(crate) async fn crash(self: Rc<Self>, end: Instant) {
        let others =
            [spawn_local(self.clone().crash_workers(end)), spawn_local(self.clone().kill_vms(end))];
        while Instant::now() < end {
            let (number, milli) = {
                let mut random = self.random.borrow_mut();
                let number = random.random_range(0..self.workers.len());
                (number, random.random_range(2_000..=CAPACITY_MILLI))
            };
            self.count("worker-resize");
            self.resize(number, milli);
            sleep(RESIZE_INTERVAL).await;
        }
        for task in others {
            // A panic of the task ends the run.
            task.await.expect("a finished task");
        }
        (0..self.workers.len()).for_each(|number| self.resize(number, CAPACITY_MILLI));
    }

    fn resize(&self, number: usize, milli: u64) {
        let (worker, relay) = &self.workers[number];
        worker.set_capacity(milli);
        worker.register(&self.store, relay.address, false);
    }

    async fn crash_workers(self: Rc<Self>, end: Instant) {
        while Instant::now() < end {
            let number = self.random.borrow_mut().random_range(0..self.workers.len());
            self.count("worker-crash");
            self.workers[number].0.crash();
            sleep(CRASH_INTERVAL).await;
        }
    }

    async fn kill_vms(self: Rc<Self>, end: Instant) {
        for vm in self.vms.iter().cycle() {
            sleep(KILL_INTERVAL).await;
            if Instant::now() >= end {
                break;
            }
            self.count("kill");
            vm.mark_disturbed();
            vm.signal(Signal::KILL);
            sleep(ABSENCE).await;
            if vm.spawn().is_err() {
                self.ledger.record_violation("an ended VM could not be started again".into());
            }
        }
    }
}
