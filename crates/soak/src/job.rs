//! Callers' requests: submissions, cancellations and queries of jobs, with checks of the answers.

use {super::*, std::ops::Range};

/// A submitted job, as its caller knows it from answers.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// Whether a submission was answered with success.
    pub accepted: bool,
    /// Whether a cancellation was sent.
    pub cancelling: bool,
    /// When a cancellation was answered with success.
    pub cancelled: Option<Instant>,
    /// Whether its first task crashes each worker that starts it.
    pub crashing: bool,
    /// Job ID, as in the path of its requests.
    pub id: String,
    /// Processors of each task in thousandths of a core, if its tasks run until it is cancelled.
    pub lasting_milli: Option<u64>,
    /// State in the last answer to a query, empty before the first.
    pub state: String,
    /// Whether every submission so far was refused or did not reach a VM.
    pub refused: bool,
    /// Number of tasks of each step.
    pub steps: Vec<u32>,
}

/// Share of jobs with a task that crashes each worker that starts it.
const CRASHING_SHARE: f64 = 0.02;
/// Share of jobs with longer tasks beside cuts, partitions and restarts of workers, and their run time in milliseconds.
const LONG_SHARE: f64 = 0.5;
const LONG_MS: Range<u64> = 1_000..7_000;
/// How long a caller waits for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of times that a submission or a cancellation is sent.
const MAX_TRIES: usize = 4;
/// Number of the first lasting job in its ID.
const FIRST_LASTING: u32 = 1 << 31;
/// Run time of a lasting task at a worker, in milliseconds: longer than any run of the soak.
const LASTING_MS: u64 = 24 * 60 * 60 * 1_000;
/// For this long after SIGTERM, a VM answers every request that it has read.
const GRACEFUL_PERIOD: Duration = Duration::from_secs(4);
/// For this long after a fault other than a graceful stop, an unanswered request is no violation.
const DISTURBANCE_PERIOD: Duration = Duration::from_secs(8);

impl Soak {
    /// Sends a request to a VM, and reports a violation if a graceful stop cut it off.
    pub(crate) async fn send(
        &self,
        vm: &Vm,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<http::Answer, http::Error> {
        let sent = Instant::now();
        let answer = self.http.call(vm.front, method.clone(), path, body, REQUEST_TIMEOUT).await;
        let is_undisturbed = |fault_at: Option<Instant>| {
            fault_at.is_none_or(|at| sent.duration_since(at) > DISTURBANCE_PERIOD)
        };
        let sent_while_stopping = vm
            .stop_requested_at
            .get()
            .is_some_and(|at| sent.elapsed() < GRACEFUL_PERIOD && sent >= at);
        let in_grace = vm.stop_requested_at.get().is_some_and(|at| at.elapsed() < GRACEFUL_PERIOD);
        let undisturbed =
            is_undisturbed(vm.disturbed_at.get()) && is_undisturbed(self.disturbed_at.get());
        if matches!(answer, Err(http::Error::Unanswered))
            && sent_while_stopping
            && in_grace
            && undisturbed
        {
            self.ledger.record_violation(format!("{method} {path} was cut off by a graceful stop"));
        }
        answer
    }

    /// Submits a random job until it is accepted, and cancels some jobs after that. `number` becomes
    /// the last half of the job's ID.
    pub(crate) async fn submit(self: Rc<Self>, number: u64) {
        let (id, steps, body, cancels, crashing) = self.random_job(number);
        let job = Job { crashing, id: id.clone(), refused: true, steps, ..Job::default() };
        if self.offer(job, body).await && cancels {
            sleep(Duration::from_millis(150)).await;
            self.cancel(&id).await;
        }
    }

    /// Submits a job until it is accepted, and returns whether it was.
    async fn offer(&self, job: Job, body: Vec<u8>) -> bool {
        let id = job.id.clone();
        self.jobs.borrow_mut().insert(id.clone(), job);
        for _ in 0..MAX_TRIES {
            let vm = self.random_vm();
            let answer = self.send(&vm, Method::POST, &format!("/q/{id}"), body.clone()).await;
            let status = answer.as_ref().map(|answer| answer.status.as_u16());
            let refused = matches!(status, Ok(429 | 503) | Err(http::Error::Unreachable));
            self.update(&id, |job| job.refused &= refused);
            if matches!(status, Ok(200)) {
                self.update(&id, |job| job.accepted = true);
                return true;
            }
            sleep(Duration::from_millis(700)).await;
        }
        false
    }

    /// Submits a job at a time: `count` tasks that run until it is cancelled, each on `milli`
    /// thousandths of a core and another worker. `number` counts the lasting jobs.
    pub(crate) async fn submit_lasting(
        self: Rc<Self>,
        number: u32,
        count: u32,
        milli: u64,
        at: Instant,
    ) {
        let id = format!("{:08x}{:08x}", self.plan.seed, FIRST_LASTING + number);
        let body = json!({
            "spec": format!("{LASTING_MS} {milli}"),
            "steps": [{
                "count": count, "cpu": milli, "mem_mb": 64, "estimate_ms": 500, "long_running": true,
                "anti_affinity": 1,
            }],
        });
        let job = Job {
            id,
            lasting_milli: Some(milli),
            refused: true,
            steps: vec![count],
            ..Job::default()
        };
        sleep_until(at).await;
        self.offer(job, body.to_string().into_bytes()).await;
    }

    /// Cancels every lasting job that is not cancelled.
    pub(crate) async fn cancel_lasting(&self) {
        let jobs: Vec<Job> = self.jobs.borrow().values().cloned().collect();
        let is_open = |job: &&Job| job.lasting_milli.is_some() && job.cancelled.is_none();
        for job in jobs.iter().filter(is_open) {
            self.cancel(&job.id).await;
        }
    }

    pub(crate) async fn cancel(&self, id: &str) {
        self.update(id, |job| job.cancelling = true);
        for _ in 0..MAX_TRIES {
            let vm = self.random_vm();
            let answer = self.send(&vm, Method::DELETE, &format!("/q/{id}"), Vec::new()).await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                self.update(id, |job| job.cancelled = Some(Instant::now()));
                return;
            }
            sleep(Duration::from_millis(500)).await;
        }
    }

    /// Queries a job's state, and reports a violation if an accepted job is unknown.
    pub(crate) async fn query(&self, id: &str) {
        let vm = self.random_vm();
        // The answer may describe the state at any moment since the query was sent, so only an
        // acceptance before that counts.
        let accepted = self.jobs.borrow()[id].accepted;
        let answer = self.send(&vm, Method::GET, &format!("/q/{id}"), Vec::new()).await;
        let Ok(answer) = answer else { return };
        if answer.status.as_u16() == 410 && accepted {
            self.ledger
                .record_violation(format!("job {id} was accepted but a VM does not know it"));
        }
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        if let Some(state) = body["state"].as_str() {
            self.record_state(id, state);
        }
    }

    /// Checks a reported state against the last one and against the tasks' ends at the workers, then
    /// records it.
    fn record_state(&self, id: &str, state: &str) {
        let job = self.jobs.borrow()[id].clone();
        let final_states = ["completed", "failed", "cancelled"];
        if final_states.contains(&job.state.as_str()) && job.state != state {
            self.ledger.record_violation(format!(
                "job {id} changed from the final state {} to {state}",
                job.state
            ));
        }
        if state == "completed" && self.tasks(&job).any(|task| self.ledger.entry(&task).done == 0) {
            self.ledger
                .record_violation(format!("job {id} is completed but not all its tasks are"));
        }
        let exhausted = |task: String| self.ledger.entry(&task).failures >= soak::MAX_TASK_ATTEMPTS;
        let crashed = self.tasks(&job).any(|task| self.ledger.entry(&task).crashes >= 2);
        if state == "failed" && !crashed && !self.tasks(&job).any(exhausted) {
            self.ledger.record_violation(format!(
                "job {id} is failed but none of its tasks used up its attempts or crashes workers"
            ));
        }
        self.update(id, |job| job.state = state.into());
    }

    /// Returns the names of a job's tasks, as workers receive them.
    pub(crate) fn tasks<'a>(&self, job: &'a Job) -> impl Iterator<Item = String> + 'a {
        (0..).zip(&job.steps).flat_map(move |(step, count)| {
            (0..*count).map(move |index| format!("{}.0.{step}.{index}", job.id))
        })
    }

    fn update(&self, id: &str, change: impl FnOnce(&mut Job)) {
        if let Some(job) = self.jobs.borrow_mut().get_mut(id) {
            change(job);
        }
    }

    /// Generates a random job: its ID, the number of tasks of each step, its request body, and
    /// whether its caller cancels it, and whether it crashes workers.
    fn random_job(&self, number: u64) -> (String, Vec<u32>, Vec<u8>, bool, bool) {
        let mut random = self.random.borrow_mut();
        let id = format!("{:08x}{number:08x}", self.plan.seed);
        let steps: Vec<u32> =
            (0..random.random_range(1..=2)).map(|_| random.random_range(1..=4)).collect();
        let (mut estimate_ms, mut cpu_milli) =
            (random.random_range(50..900), random.random_range(500..4_000));
        let is_cut = matches!(
            self.plan.disruption,
            Disruption::Cuts | Disruption::Lives | Disruption::Partitions
        );
        if is_cut && random.random_bool(LONG_SHARE) {
            // Their work takes half of the room, so that more of them run on a worker.
            (estimate_ms, cpu_milli) = (random.random_range(LONG_MS), cpu_milli / 2);
        }
        let bodies: Vec<Value> = (0..)
            .zip(&steps)
            .map(|(step, count)| {
                let after: Vec<u64> = (0..step).collect();
                json!({
                    "count": count, "cpu": cpu_milli, "mem_mb": 64, "estimate_ms": estimate_ms,
                    "after": after,
                })
            })
            .collect();
        let cancels = random.random_bool(0.12);
        let crashing = self.plan.disruption == Disruption::Crashes
            && random.random_bool(CRASHING_SHARE)
            && !cancels;
        let crash = if crashing { " 0.0" } else { "" };
        let body = json!({"spec": format!("{estimate_ms} {cpu_milli}{crash}"), "steps": bodies});
        (id, steps, body.to_string().into_bytes(), cancels, crashing)
    }
}
