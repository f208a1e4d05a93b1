//! Carries out the attempts of one urgent request. The state machine in core decides when to retry
//! after a failed connection, a refusal or a lost response.

use super::*;
use {
    body::Body,
    context::Context,
    forward::{Answer, Completion},
    head::Head,
    oleanderstage_core::request::Id,
    refusal::{Reason, Refusal},
    service::Service,
    slot::Slot,
    ticket::Ticket,
};

/// An admitted urgent request, with the state of its attempts.
pub(crate) struct Attempts {
    /// The response to forward.
    response: Option<reqwest::Response>,
    body: Body,
    deadline: Instant,
    id: Id,
    idempotent: bool,
    head: Head,
    machine: Machine,
    context: Arc<Context>,
    /// Reason of the refusal if no further attempt is made.
    reason: Reason,
    service: Arc<Service>,
    slot: Option<Slot>,
    started: Instant,
    ticket: Ticket,
    /// VMs of earlier attempts, which are not picked again.
    tried_vms: Vec<Name>,
}

/// An admitted request, without its body.
pub(crate) struct Admission {
    pub(crate) deadline: Instant,
    pub(crate) id: Id,
    pub(crate) head: Head,
    pub(crate) service: Arc<Service>,
    pub(crate) started: Instant,
    pub(crate) ticket: Ticket,
}

impl Attempts {
    pub(crate) fn new(context: &Arc<Context>, admission: Admission, body: Body) -> Self {
        let Admission { deadline, id, head, service, started, ticket } = admission;
        let idempotent = head.idempotent.unwrap_or(service.config.idempotent);
        let machine = Machine::new(id, idempotent);
        let (response, slot, tried_vms) = (None, None, Vec::new());
        let reason = Reason::NoEndpoint;
        let context = context.clone();
        Self {
            response,
            body,
            deadline,
            id,
            idempotent,
            head,
            machine,
            context,
            reason,
            service,
            slot,
            started,
            ticket,
            tried_vms,
        }
    }

    /// Makes attempts until one is answered or no further attempt is allowed.
    pub(crate) async fn run(mut self) -> Result<Answer, Refusal> {
        let mut action = Action::Pick;
        loop {
            let event = match action {
                Action::Pick => self.pick(),
                Action::Send => self.send().await,
                Action::Decide => self.check_retry().await,
                Action::Pass => return self.forward(),
                Action::Refuse => return Err(self.refuse()),
                Action::Cancel | Action::Cut | Action::Drop | Action::Finish | Action::Lose => {
                    return Err(Refusal::unknown(self.reason, self.describe_failure()));
                }
            };
            action = self.machine.handle(event);
        }
    }

    /// Checks whether the body, the retry budget and the deadline allow another attempt; if so,
    /// sleeps for the backoff.
    async fn check_retry(&mut self) -> Event {
        let retry = self.machine.attempt().0 - 1;
        if !self.body.is_buffered() || !lock(&self.service.state.budget).try_spend() {
            return Event::GiveUp;
        }
        let backoff = lock(&self.service.state.budget).backoff(retry);
        if self.context.clock.now() + backoff >= self.deadline {
            return Event::GiveUp;
        }
        tokio::time::sleep(backoff).await;
        self.context.counters.count(&self.service.config.name, counters::Cause::Retry);
        Event::Retry
    }

    /// Returns the message of a refusal.
    fn describe_failure(&self) -> String {
        let service = &self.service.config.name;
        match self.tried_vms.last() {
            Some(vm) => {
                format!("service `{service}`, last tried at `{vm}`: {}", self.reason.as_str())
            }
            None => {
                format!("service `{service}` has no endpoint with a free slot: come back later")
            }
        }
    }

    /// Ends the slot of a failed attempt and classifies its error: only a failure to connect proves
    /// that nothing ran.
    fn classify_error(&mut self, error: &reqwest::Error) -> Event {
        let attempt = self.machine.attempt();
        let Some(slot) = self.slot.take() else { return Event::Lost { attempt } };
        let unsent = error.is_connect();
        let (service, vm) = (self.service.config.name.to_string(), slot.vm.to_string());
        log::info!(request = self.id.to_string(), service, vm, unsent, cause = error_chain(error); "attempt_failed");
        let now = self.context.clock.now();
        self.context.counters.count_failed_attempt(now, &self.service.config.name, &slot.vm);
        slot.end(route::End::Failed);
        if unsent {
            self.reason = Reason::Unavailable;
            return Event::NotRun { attempt };
        }
        self.reason = Reason::Lost;
        Event::Lost { attempt }
    }

    /// Classifies a response by its headers: it counts only if it echoes the id of the request, so
    /// that no caller gets the response to another request.
    fn classify_response(&mut self, response: reqwest::Response) -> Event {
        let attempt = self.machine.attempt();
        let echo = head::header_text(response.headers(), outcome::REQUEST_HEADER);
        let request = echo.and_then(|text| text.parse().ok());
        let refused = head::header_text(response.headers(), outcome::HEADER);
        if request != Some(self.id) {
            self.reason = Reason::ForeignAnswer;
            self.context.counters.count(&self.service.config.name, counters::Cause::Foreign);
            self.end_slot_as_lost();
            return Event::Answered { attempt, request };
        }
        if refused.as_deref() == Some(Outcome::NotRun.as_str()) {
            self.reason = Reason::Unavailable;
            if let Some(slot) = self.slot.take() {
                slot.end(route::End::Refused);
            }
            return Event::NotRun { attempt };
        }
        self.response = Some(response);
        Event::Answered { attempt, request }
    }

    /// Ends the slot of an attempt whose connection is not reliable: the response was foreign or did
    /// not arrive in time.
    fn end_slot_as_lost(&mut self) {
        if let Some(slot) = self.slot.take() {
            slot.end(route::End::Lost);
        }
    }

    fn forward(mut self) -> Result<Answer, Refusal> {
        let Some(response) = self.response.take() else {
            return Err(Refusal::unknown(self.reason, self.describe_failure()));
        };
        let completion = Completion {
            deadline: self.deadline,
            machine: self.machine,
            context: self.context,
            service: self.service.config.name.clone(),
            slot: self.slot,
            started: self.started,
            ticket: self.ticket,
        };
        Ok(Answer::new(response, completion))
    }

    fn pick(&mut self) -> Event {
        if self.context.clock.now() >= self.deadline {
            self.reason = Reason::Deadline;
            return Event::Expired;
        }
        match Slot::acquire(&self.context, &self.service.state, &self.tried_vms) {
            None => Event::NoneFree,
            Some(slot) => {
                self.tried_vms.push(slot.vm.clone());
                self.slot = Some(slot);
                Event::Picked
            }
        }
    }

    fn refuse(&self) -> Refusal {
        let wait = lock(&self.service.state.table).expected_wait();
        Refusal::retryable(self.reason, wait.max(Duration::from_millis(1)), self.describe_failure())
    }

    /// Sends the request to the picked endpoint. If no response starts within the silence timeout,
    /// the VM's connections are retired, while this attempt still waits until the deadline.
    async fn send(&mut self) -> Event {
        let attempt = self.machine.attempt();
        let Some(slot) = &self.slot else { return Event::NotRun { attempt } };
        let (vm, address) = (slot.vm.clone(), slot.address);
        let max_idle = self.context.hosts.max_idle_connections(&vm);
        let generation = self.context.pools.current(&vm, max_idle);
        let (Ok(generation), Some(body)) = (generation, self.body.send()) else {
            return Event::NotRun { attempt };
        };
        let request = self.build_request(&generation.client, address, body);
        let silence_timeout = self.service.silence_timeout();
        let response = request.send();
        tokio::pin!(response);
        let deadline_timer =
            tokio::time::sleep_until(self.context.clock.tokio_instant(self.deadline));
        tokio::pin!(deadline_timer);
        let silence_timer = tokio::time::sleep(silence_timeout);
        tokio::pin!(silence_timer);
        let mut silence_reported = false;
        loop {
            tokio::select! {
                result = &mut response => {
                    return match result {
                        Ok(response) => self.classify_response(response),
                        Err(error) => self.classify_error(&error),
                    };
                }
                () = &mut silence_timer, if !silence_reported => {
                    silence_reported = true;
                    self.context.retire_connections(&vm, generation.number, max_idle);
                }
                () = &mut deadline_timer => {
                    self.reason = Reason::Deadline;
                    self.end_slot_as_lost();
                    return Event::Expired;
                }
            }
        }
    }

    fn build_request(
        &self,
        client: &reqwest::Client,
        address: SocketAddr,
        (body, length): (reqwest::Body, Option<u64>),
    ) -> reqwest::RequestBuilder {
        let time_left_ms = self.deadline.since(self.context.clock.now()).as_millis() as u64;
        let url = format!("http://{address}{}", self.head.path);
        let mut request = client
            .request(self.head.method.clone(), url)
            .headers(self.head.headers.clone())
            .header(outcome::REQUEST_HEADER, self.id.to_string())
            .header(outcome::DEADLINE_HEADER, time_left_ms)
            .header(outcome::IDEMPOTENT_HEADER, self.idempotent.to_string());
        if let Some(length) = length {
            request = request.header(reqwest::header::CONTENT_LENGTH, length);
        }
        request.body(body)
    }
}

/// Returns the messages of an error and its sources.
fn error_chain(error: &dyn std::error::Error) -> String {
    std::iter::successors(error.source(), |error| error.source())
        .fold(error.to_string(), |text, source| format!("{text}: {source}"))
}
