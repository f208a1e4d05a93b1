//! Counters and latency histograms, served as text on the metrics port.

use {
    super::*,
    action::Report,
    prometheus::{
        Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
    },
    requests::Reply,
};

/// The metrics of this process.
pub(crate) struct Meter {
    answers: IntCounterVec,
    clients_ended: IntCounterVec,
    events: IntCounterVec,
    latency: HistogramVec,
    registry: Registry,
    zones_evacuated: IntGauge,
}

/// The ages of the views by which a cell decides.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ViewAges {
    /// That of the last answer of the store by which this VM owns the cell, in milliseconds.
    pub(crate) tenure_ms: u64,
    /// That of the workers' entries, in milliseconds.
    pub(crate) workers_ms: u64,
    /// That of the requests to evacuate zones, in milliseconds, if the settings know them.
    pub(crate) zones_ms: Option<u64>,
}

/// Upper bounds of the latency buckets, in milliseconds, from the time of a store call to that of a
/// lost job.
const BUCKETS_MS: [f64; 12] =
    [2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0, 5_000.0, 15_000.0];

impl Meter {
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let answers = IntCounterVec::new(
            Opts::new("oleanderstage_answers_total", "answers to callers"),
            &["method", "outcome"],
        )?;
        let clients_ended = IntCounterVec::new(
            Opts::new("oleanderstage_clients_ended_total", "clients closed or refused, by cause"),
            &["cause"],
        )?;
        let events = IntCounterVec::new(
            Opts::new("oleanderstage_events_total", "decisions and changes of belief"),
            &["event"],
        )?;
        let buckets = BUCKETS_MS.to_vec();
        let options = HistogramOpts::new("oleanderstage_latency_ms", "latencies in milliseconds");
        let latency = HistogramVec::new(options.buckets(buckets), &["what"])?;
        registry.register(Box::new(answers.clone()))?;
        registry.register(Box::new(clients_ended.clone()))?;
        registry.register(Box::new(events.clone()))?;
        registry.register(Box::new(latency.clone()))?;
        let zones_evacuated =
            IntGauge::new("oleanderstage_zones_evacuated", "availability zones without new runs")?;
        registry.register(Box::new(zones_evacuated.clone()))?;
        Ok(Self { answers, clients_ended, events, latency, registry, zones_evacuated })
    }

    /// Counts an event.
    pub(crate) fn event(&self, name: &str) {
        self.events.with_label_values(&[name]).inc();
    }

    /// Counts connections of clients that were closed or refused.
    pub(crate) fn clients_ended(&self, cause: oleanderstage_intake::Cause, count: u64) {
        self.clients_ended.with_label_values(&[cause.name()]).inc_by(count);
    }

    /// Sets the number of zones to be evacuated.
    pub(crate) fn zones_evacuated(&self, zones: usize) {
        self.zones_evacuated.set(zones as i64);
    }

    /// Counts a cell that this VM has acquired, and records its wait for the last owner's entry to go.
    pub(crate) fn cell_taken(&self, waited_ms: u64) {
        self.event("cell_taken");
        self.latency.with_label_values(&["take"]).observe(waited_ms as f64);
    }

    /// Counts an answer to a caller and records its latency.
    pub(crate) fn answered(&self, method: &Method, reply: &Reply, took_ms: u64) {
        let name = match reply {
            Reply::Accepted => "accepted",
            Reply::Cancelled => "cancelled",
            Reply::Gone => "gone",
            Reply::NotRun(_) => "not-run",
            Reply::State(_) => "state",
            Reply::TooLarge => "too-large",
            Reply::Unknown => "unknown",
            Reply::Withdrawn => "withdrawn",
        };
        self.answers.with_label_values(&[method.as_str(), name]).inc();
        self.latency.with_label_values(&["answer"]).observe(took_ms as f64);
    }

    /// Counts and logs a decision of a cell, with its latency if it has one, and with the ages of the
    /// views by which it was made.
    pub(crate) fn report(&self, cell: u32, report: &Report, ages: ViewAges) {
        let name = match report {
            Report::Adopted { .. } => "run_adopted",
            Report::End { after_ms, .. } => {
                self.latency.with_label_values(&["run"]).observe(*after_ms as f64);
                "run_ended"
            }
            Report::Crash { .. } => "worker_crashed",
            Report::Delayed { .. } => "job_delayed",
            Report::Fence { .. } => "fence_raised",
            Report::GivenUp { .. } => "job_given_up",
            Report::JobOver { after_ms, .. } => {
                self.latency.with_label_values(&["job"]).observe(*after_ms as f64);
                "job_over"
            }
            Report::Moved { .. } => "job_moved",
            Report::Split { .. } => "job_split",
            Report::Overtaken { .. } => "job_overtaken",
            Report::Pace { .. } => "pace",
            Report::Refused { .. } => "order_refused",
            Report::Repeated { .. } => "start_repeated",
            Report::Released { .. } => "run_released",
            Report::Reserved { .. } => "room_reserved",
            Report::Start { after_ms, .. } => {
                self.latency.with_label_values(&["start"]).observe(*after_ms as f64);
                self.latency.with_label_values(&["view-age"]).observe(ages.workers_ms as f64);
                "run_started"
            }
            Report::Settled { .. } => "cell_settled",
            Report::Stop { .. } => "run_stopped",
            Report::Unclaimed { .. } => "end_unclaimed",
            Report::Unheld { .. } => "step_unheld",
            Report::Usage(_) => "cell_usage",
            Report::Waiting { .. } => "tasks_waiting",
            Report::Worker { .. } => "worker_believed",
            Report::Zone { .. } => "cell_zone_changed",
        };
        self.event(name);
        match report {
            Report::Start { .. } => {
                let (view_age_ms, zones_age_ms) = (ages.workers_ms, ages.zones_ms);
                let tenure_age_ms = ages.tenure_ms;
                log::info!(
                    cell, view_age_ms, zones_age_ms, tenure_age_ms, detail:serde = report;
                    "{name}"
                );
            }
            Report::Released { .. } | Report::Settled { .. } | Report::Unclaimed { .. } => {
                let tenure_age_ms = ages.tenure_ms;
                log::info!(cell, tenure_age_ms, detail:serde = report; "{name}");
            }
            _ => log::info!(cell, detail:serde = report; "{name}"),
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!(error:% = error; "metrics_unreadable");
        }
        text
    }
}
