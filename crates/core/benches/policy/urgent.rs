//! Simulation of urgent requests.

use super::*;

/// Round trip between an entry and a worker of the same zone, in milliseconds.
const LOCAL_MS: f64 = 0.2;
/// Timeout of an attempt to connect, in milliseconds.
const CONNECT_TIMEOUT_MS: f64 = 250.0;

impl Simulation {
    /// Processes the arrival of a request at the entry of a zone.
    pub(crate) fn arrive(&mut self, zone: usize) {
        self.schedule_arrival(zone);
        self.figures.arrived += u64::from(self.is_measuring());
        self.budgets[zone].earn();
        let caller = self.random.random_range(0..simulation::CALLERS);
        let limit = Duration::from_millis(self.trial.deployment.objective_ms);
        if self.limiters[zone].admit(&self.callers[caller], limit).is_err() {
            self.count_refusal(self.now);
            return;
        }
        let request = Request {
            arrived: self.now,
            caller,
            not_run: true,
            service_ms: 0.0,
            tried: Vec::new(),
            vm: 0,
            zone,
        };
        let id = self.store(request);
        self.dispatch(id);
    }

    /// Sends a request to an endpoint, or refuses it if none has a free slot.
    pub(crate) fn dispatch(&mut self, id: usize) {
        let Some(request) = self.requests[id].as_mut() else { return };
        let zone = request.zone;
        let Some(name) = self.tables[zone].pick(self.now, &request.tried) else {
            self.refuse_request(id);
            return;
        };
        let vm = self.vm_indices[&name];
        request.vm = vm;
        request.not_run = self.vms[vm].health != vm::Health::Good;
        request.tried.push(name);
        self.figures.attempts += u64::from(self.now >= scenario::WARM_UP);
        let network_ms =
            if self.vms[vm].zone == zone { LOCAL_MS } else { self.trial.deployment.zone_ms };
        let (end, ms) = match self.vms[vm].health {
            vm::Health::Failing => (route::End::Failed, network_ms),
            vm::Health::Lost => (route::End::Failed, CONNECT_TIMEOUT_MS),
            vm::Health::Good => {
                self.vms[vm].start_request(self.now);
                let service_ms = self.truth.request_ms(&self.trial.deployment, &self.vms[vm]);
                request.service_ms = service_ms;
                (
                    route::End::Answered { latency: milliseconds(service_ms + network_ms) },
                    service_ms + network_ms,
                )
            }
        };
        self.clock.schedule(self.now + milliseconds(ms), Event::RequestEnd { end, id });
    }

    /// Processes the end of an attempt: answers the request, retries it or ends it.
    pub(crate) fn request_end(&mut self, id: usize, end: route::End) {
        let Some(request) = self.requests[id].clone() else { return };
        let vm = &mut self.vms[request.vm];
        let lost = vm.health == vm::Health::Lost && !request.not_run;
        if !request.not_run {
            vm.end_request(self.now, Some(request.service_ms));
        }
        let end = if lost { route::End::Lost } else { end };
        let name = vm.name.clone();
        self.tables[request.zone].end(self.now, &name, end);
        match end {
            route::End::Answered { .. } => self.answer(id, &request),
            _ if request.not_run && self.budgets[request.zone].try_spend() => {
                let retry = request.tried.len() as u32 - 1;
                let pause = self.budgets[request.zone].backoff(retry);
                self.clock.schedule(self.now + pause, Event::RequestRetry { id });
            }
            _ if request.not_run => self.refuse_request(id),
            _ => self.remove_request(id, None),
        }
    }

    fn answer(&mut self, id: usize, request: &Request) {
        let latency = self.now.since(request.arrived);
        self.remove_request(id, Some(latency));
        if request.arrived < scenario::WARM_UP {
            return;
        }
        let total = latency + milliseconds(self.trial.deployment.caller_ms);
        let in_time = total <= Duration::from_millis(self.trial.deployment.objective_ms);
        let at_peak = Scenario::at_peak(request.arrived);
        self.figures.answered += 1;
        self.figures.in_time += u64::from(in_time);
        self.figures.in_time_at_peak += u64::from(in_time && at_peak);
        self.figures.latency.saturating_record(total.as_micros() as u64);
    }

    fn remove_request(&mut self, id: usize, latency: Option<Duration>) {
        let Some(request) = self.requests[id].take() else { return };
        self.limiters[request.zone].end(&self.callers[request.caller], latency);
        self.free_requests.push(id);
    }

    /// Refuses a request that no endpoint ran.
    fn refuse_request(&mut self, id: usize) {
        let arrived = self.requests[id].as_ref().map_or(self.now, |request| request.arrived);
        self.remove_request(id, None);
        self.count_refusal(arrived);
    }

    /// Counts a refusal of a request that arrived at `arrived`.
    fn count_refusal(&mut self, arrived: Instant) {
        if self.is_measuring() {
            let ms = self.now.since(arrived).as_secs_f64() * 1_000.0;
            self.figures.refused += 1;
            self.figures.refused_ms = self.figures.refused_ms.max(ms);
        }
    }

    fn schedule_arrival(&mut self, zone: usize) {
        let deployment = &self.trial.deployment;
        let load = self.trial.scenario.load(deployment, self.now);
        let rate = load * deployment.capacity_rate() / deployment::ZONES as f64;
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.clock.schedule(self.now + Duration::from_secs_f64(gap), Event::Arrival { zone });
    }

    fn store(&mut self, request: Request) -> usize {
        let id = self.free_requests.pop().unwrap_or(self.requests.len());
        if id == self.requests.len() {
            self.requests.push(None);
        }
        self.requests[id] = Some(request);
        id
    }
}

fn milliseconds(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}
