//! The attempts of one urgent request, as its state machine orders them.

use super::*;
use {
    body::Body,
    inbound::Inbound,
    node::Node,
    oleanderstage_core::request::Id,
    pass::{Answer, Passing},
    refusal::{Reason, Refusal},
    service::Service,
    slot::Slot,
    ticket::Ticket,
};

/// One urgent request, admitted and with its body.
pub(crate) struct Attempts {
    answer: Option<reqwest::Response>,
    body: Body,
    deadline: Instant,
    id: Id,
    idempotent: bool,
    inbound: Inbound,
    machine: Machine,
    node: Arc<Node>,
    /// Why the last attempt got no answer.
    reason: Reason,
    service: Arc<Service>,
    slot: Option<Slot>,
    started: Instant,
    ticket: Ticket,
    tried: Vec<Name>,
}

/// What a request needs besides its body.
pub(crate) struct Admitted {
    pub(crate) deadline: Instant,
    pub(crate) id: Id,
    pub(crate) inbound: Inbound,
    pub(crate) service: Arc<Service>,
    pub(crate) started: Instant,
    pub(crate) ticket: Ticket,
}

impl Attempts {
    pub(crate) fn new(node: &Arc<Node>, admitted: Admitted, body: Body) -> Self {
        let Admitted { deadline, id, inbound, service, started, ticket } = admitted;
        let idempotent = inbound.idempotent.unwrap_or(service.config.idempotent);
        let machine = Machine::new(id, idempotent);
        let (answer, slot, tried) = (None, None, Vec::new());
        let reason = Reason::NoEndpoint;
        let node = node.clone();
        Self {
            answer,
            body,
            deadline,
            id,
            idempotent,
            inbound,
            machine,
            node,
            reason,
            service,
            slot,
            started,
            ticket,
            tried,
        }
    }

    /// Makes attempts until there is an answer, or none can follow.
    pub(crate) async fn run(mut self) -> Result<Answer, Refusal> {
        let mut action = Action::Pick;
        loop {
            let event = match action {
                Action::Pick => self.pick(),
                Action::Send => self.send().await,
                Action::Decide => self.decide().await,
                Action::Pass => return self.pass(),
                Action::Refuse => return Err(self.refuse()),
                Action::Cancel | Action::Cut | Action::Drop | Action::Finish | Action::Lose => {
                    return Err(Refusal::unknown(self.reason, self.explain()));
                }
            };
            action = self.machine.handle(event);
        }
    }

    /// Asks budget, deadline and body for another attempt, and waits out the back-off.
    async fn decide(&mut self) -> Event {
        let retry = self.machine.attempt().0 - 1;
        if !self.body.is_held() || !lock(&self.service.state.budget).try_spend() {
            return Event::GiveUp;
        }
        let pause = lock(&self.service.state.budget).backoff(retry);
        if self.node.clock.now() + pause >= self.deadline {
            return Event::GiveUp;
        }
        tokio::time::sleep(pause).await;
        self.node.counters.count(&self.service.config.name, counters::Cause::Retry);
        Event::Retry
    }

    fn explain(&self) -> String {
        let service = &self.service.config.name;
        match self.tried.last() {
            Some(vm) => {
                format!("service `{service}`, last tried at `{vm}`: {}", self.reason.as_str())
            }
            None => {
                format!("service `{service}` has no endpoint with a free slot: come back later")
            }
        }
    }

    /// Turns the failure of an attempt into what it proves.
    fn fail(&mut self, error: &reqwest::Error) -> Event {
        let attempt = self.machine.attempt();
        let Some(slot) = self.slot.take() else { return Event::Lost { attempt } };
        let unsent = error.is_connect();
        let (service, vm) = (self.service.config.name.to_string(), slot.vm.to_string());
        log::info!(request = self.id.to_string(), service, vm, unsent, cause = chain(error); "attempt_failed");
        let now = self.node.clock.now();
        self.node.counters.blame(now, &self.service.config.name, &slot.vm);
        slot.end(route::End::Failed);
        if unsent {
            self.reason = Reason::Unavailable;
            return Event::NotRun { attempt };
        }
        self.reason = Reason::Lost;
        Event::Lost { attempt }
    }

    /// Tells what the head of an answer means.
    fn judge(&mut self, response: reqwest::Response) -> Event {
        let attempt = self.machine.attempt();
        let echo = inbound::text(response.headers(), outcome::REQUEST_HEADER);
        let request = echo.and_then(|text| text.parse().ok());
        let refused = inbound::text(response.headers(), outcome::HEADER);
        if request != Some(self.id) {
            self.reason = Reason::ForeignAnswer;
            self.node.counters.count(&self.service.config.name, counters::Cause::Foreign);
            self.lose_connection();
            return Event::Answered { attempt, request };
        }
        if refused.as_deref() == Some(Outcome::NotRun.as_str()) {
            self.reason = Reason::Unavailable;
            if let Some(slot) = self.slot.take() {
                slot.end(route::End::Refused);
            }
            return Event::NotRun { attempt };
        }
        self.answer = Some(response);
        Event::Answered { attempt, request }
    }

    /// Ends the slot of an attempt whose connection can't be trusted.
    fn lose_connection(&mut self) {
        if let Some(slot) = self.slot.take() {
            slot.end(route::End::Lost);
        }
    }

    fn pass(mut self) -> Result<Answer, Refusal> {
        let Some(response) = self.answer.take() else {
            return Err(Refusal::unknown(self.reason, self.explain()));
        };
        let passing = Passing {
            deadline: self.deadline,
            machine: self.machine,
            node: self.node,
            service: self.service.config.name.clone(),
            slot: self.slot,
            started: self.started,
            ticket: self.ticket,
        };
        Ok(Answer::new(response, passing))
    }

    fn pick(&mut self) -> Event {
        if self.node.clock.now() >= self.deadline {
            self.reason = Reason::Deadline;
            return Event::Expired;
        }
        match Slot::take(&self.node, &self.service.state, &self.tried) {
            None => Event::NoneFree,
            Some(slot) => {
                self.tried.push(slot.vm.clone());
                self.slot = Some(slot);
                Event::Picked
            }
        }
    }

    fn refuse(&self) -> Refusal {
        let wait = lock(&self.service.state.table).expected_wait();
        Refusal::later(self.reason, wait.max(Duration::from_millis(1)), self.explain())
    }

    async fn send(&mut self) -> Event {
        let attempt = self.machine.attempt();
        let Some(slot) = &self.slot else { return Event::NotRun { attempt } };
        let (vm, address) = (slot.vm.clone(), slot.address);
        let connections = self.node.hosts.idle_connections(&vm);
        let generation = self.node.pools.current(&vm, connections);
        let (Ok(generation), Some(body)) = (generation, self.body.send()) else {
            return Event::NotRun { attempt };
        };
        let request = self.outgoing(&generation.client, address, body);
        let silence = self.service.silence_limit();
        let response = request.send();
        tokio::pin!(response);
        let expired = tokio::time::sleep_until(self.node.clock.timer(self.deadline));
        tokio::pin!(expired);
        let silent = tokio::time::sleep(silence);
        tokio::pin!(silent);
        let mut quiet = false;
        loop {
            tokio::select! {
                answer = &mut response => {
                    return match answer {
                        Ok(answer) => self.judge(answer),
                        Err(error) => self.fail(&error),
                    };
                }
                () = &mut silent, if !quiet => {
                    quiet = true;
                    self.node.silent(&vm, generation.number, connections);
                }
                () = &mut expired => {
                    self.reason = Reason::Deadline;
                    self.lose_connection();
                    return Event::Expired;
                }
            }
        }
    }

    fn outgoing(
        &self,
        client: &reqwest::Client,
        address: SocketAddr,
        (body, length): (reqwest::Body, Option<u64>),
    ) -> reqwest::RequestBuilder {
        let left = self.deadline.since(self.node.clock.now()).as_millis() as u64;
        let url = format!("http://{address}{}", self.inbound.path);
        let mut request = client
            .request(self.inbound.method.clone(), url)
            .headers(self.inbound.headers.clone())
            .header(outcome::REQUEST_HEADER, self.id.to_string())
            .header(outcome::DEADLINE_HEADER, left)
            .header(outcome::IDEMPOTENT_HEADER, self.idempotent.to_string());
        if let Some(length) = length {
            request = request.header(reqwest::header::CONTENT_LENGTH, length);
        }
        request.body(body)
    }
}

fn chain(error: &dyn std::error::Error) -> String {
    std::iter::successors(error.source(), |error| error.source())
        .fold(error.to_string(), |text, source| format!("{text}: {source}"))
}
