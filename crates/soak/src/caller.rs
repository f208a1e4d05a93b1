//! Callers: submit jobs, cancel some, and ask for their states.

use super::*;

/// A job as its caller knows it.
#[derive(Clone, Debug)]
pub struct Caller {
    /// A submission was answered with success.
    pub accepted: bool,
    /// A cancellation was answered with success, and when.
    pub cancelled: Option<Instant>,
    /// The job's ID.
    pub id: String,
    /// The state that was last told.
    pub state: String,
    /// Every submission was answered with a refusal.
    pub refused: bool,
    /// Tasks by step.
    pub steps: Vec<u32>,
}

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);
/// Submissions of one job.
const TRIES: usize = 4;
/// Within this time after the order to stop, a VM answers whatever it has read.
const GRACEFUL: Duration = Duration::from_secs(4);
/// After a fault other than a stop, a failed request proves nothing for this long.
const DISTURBED: Duration = Duration::from_secs(8);

impl Soak {
    /// Sends a request to a VM and checks that a graceful stop cuts nothing off.
    pub(crate) async fn ask(
        &self,
        vm: &Vm,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<http::Answer, http::Error> {
        let sent = Instant::now();
        let answer = self.http.call(vm.front, method.clone(), path, body, PATIENCE).await;
        let calm = |at: Option<Instant>| at.is_none_or(|at| sent.duration_since(at) > DISTURBED);
        let graceful = vm.stopping.get().is_some_and(|at| sent.elapsed() < GRACEFUL && sent >= at);
        let in_grace = vm.stopping.get().is_some_and(|at| at.elapsed() < GRACEFUL);
        let undisturbed = calm(vm.disturbed.get()) && calm(self.disturbed.get());
        if matches!(answer, Err(http::Error::Unanswered)) && graceful && in_grace && undisturbed {
            self.ledger.record_violation(format!("{method} {path} was cut off by a graceful stop"));
        }
        answer
    }

    /// Submits a job and follows it until it is over or the soak ends.
    pub(crate) async fn call(self: Rc<Self>, number: u64) {
        let (id, steps, body, cancels) = self.draw(number);
        self.callers.borrow_mut().insert(
            id.clone(),
            Caller {
                accepted: false,
                cancelled: None,
                id: id.clone(),
                state: String::new(),
                refused: true,
                steps,
            },
        );
        for _ in 0..TRIES {
            let vm = self.any_vm();
            let answer = self.ask(&vm, Method::POST, &format!("/q/{id}"), body.clone()).await;
            let status = answer.as_ref().map(|answer| answer.status.as_u16());
            let refused = matches!(status, Ok(429 | 503) | Err(http::Error::Unreachable));
            self.update(&id, |caller| caller.refused &= refused);
            if matches!(status, Ok(200)) {
                self.update(&id, |caller| caller.accepted = true);
                break;
            }
            sleep(Duration::from_millis(700)).await;
        }
        if cancels && self.callers.borrow()[&id].accepted {
            sleep(Duration::from_millis(150)).await;
            self.cancel(&id).await;
        }
    }

    async fn cancel(&self, id: &str) {
        for _ in 0..TRIES {
            let vm = self.any_vm();
            let answer = self.ask(&vm, Method::DELETE, &format!("/q/{id}"), Vec::new()).await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                self.update(id, |caller| caller.cancelled = Some(Instant::now()));
                return;
            }
            sleep(Duration::from_millis(500)).await;
        }
    }

    /// Asks for a job's state; one that was accepted must be known.
    pub(crate) async fn look(&self, id: &str) {
        let vm = self.any_vm();
        // An answer may tell of a moment as early as the question.
        let accepted = self.callers.borrow()[id].accepted;
        let answer = self.ask(&vm, Method::GET, &format!("/q/{id}"), Vec::new()).await;
        let Ok(answer) = answer else { return };
        if answer.status.as_u16() == 410 && accepted {
            self.ledger.record_violation(format!("{id} was accepted and is not known"));
        }
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        if let Some(state) = body["state"].as_str() {
            self.told(id, state);
        }
    }

    /// Checks a state against what workers have seen.
    fn told(&self, id: &str, state: &str) {
        let caller = self.callers.borrow()[id].clone();
        let ended = ["completed", "failed", "cancelled"];
        if ended.contains(&caller.state.as_str()) && caller.state != state {
            self.ledger.record_violation(format!("{id} was {} and is {state}", caller.state));
        }
        if state == "completed"
            && self.tasks(&caller).any(|task| self.ledger.entry(&task).done == 0)
        {
            self.ledger.record_violation(format!("{id} is completed before its tasks"));
        }
        let spent = |task: String| self.ledger.entry(&task).failures >= soak::ATTEMPTS;
        if state == "failed" && !self.tasks(&caller).any(spent) {
            self.ledger.record_violation(format!("{id} is failed without cause"));
        }
        self.update(id, |caller| caller.state = state.into());
    }

    /// Returns the names of a job's tasks.
    pub(crate) fn tasks<'a>(&self, caller: &'a Caller) -> impl Iterator<Item = String> + 'a {
        (0..).zip(&caller.steps).flat_map(move |(step, count)| {
            (0..*count).map(move |index| format!("{}.0.{step}.{index}", caller.id))
        })
    }

    fn update(&self, id: &str, change: impl FnOnce(&mut Caller)) {
        if let Some(caller) = self.callers.borrow_mut().get_mut(id) {
            change(caller);
        }
    }

    /// Draws a job: its ID, its tasks by step, its body and whether it is cancelled.
    fn draw(&self, number: u64) -> (String, Vec<u32>, Vec<u8>, bool) {
        let mut random = self.random.borrow_mut();
        let id = format!("{:08x}{number:08x}", self.plan.seed);
        let steps: Vec<u32> =
            (0..random.random_range(1..=2)).map(|_| random.random_range(1..=4)).collect();
        let (ms, milli) = (random.random_range(50..900), random.random_range(500..4_000));
        let bodies: Vec<Value> = (0..)
            .zip(&steps)
            .map(|(step, count)| {
                let after: Vec<u64> = (0..step).collect();
                json!({"count": count, "cpu": milli, "mem_mb": 64, "estimate_ms": ms, "after": after})
            })
            .collect();
        let body = json!({"spec": format!("{ms} {milli}"), "steps": bodies});
        (id, steps, body.to_string().into_bytes(), random.random_bool(0.12))
    }
}
