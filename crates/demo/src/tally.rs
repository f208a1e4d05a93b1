//! What the demo shows at its end, counted by the callers and by the workers.

use super::*;

/// What the demo shows at its end.
#[derive(Clone, Debug, Serialize)]
pub struct Tally {
    /// Requests whose own whole answer came.
    pub answered: u64,
    /// Tasks or non-idempotent requests that ran twice, and answers that went to another request.
    pub doubled: u64,
    /// Tasks evicted.
    pub evictions: u64,
    /// Tasks of the accepted job that no worker finished.
    pub lost: u64,
    /// Requests told that they did not run.
    pub not_run: u64,
    /// Half of the answers came within this time, in milliseconds.
    pub p50_ms: f64,
    /// 99 of 100 answers came within this time, in milliseconds.
    pub p99_ms: f64,
    /// Tasks that workers finished.
    pub tasks_done: u64,
    /// Requests whose fate is unknown.
    pub unknown: u64,
}

impl Tally {
    /// Counts what callers got, what the job's status says, and what workers really ran.
    pub fn new(
        called: &caller::Counts,
        status: &job::Status,
        ran: &standin::summary::Summary,
    ) -> Self {
        let millis = |quantile| called.latency.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            answered: called.answered,
            doubled: ran.doubled + ran.repeated + ran.resumed_twice + called.mixed_up,
            evictions: status.evictions,
            lost: u64::from(status.tasks).saturating_sub(ran.finished),
            not_run: called.not_run,
            p50_ms: millis(0.5),
            p99_ms: millis(0.99),
            tasks_done: ran.finished,
            unknown: called.unknown,
        }
    }

    /// Returns whether nothing was lost or doubled.
    pub fn is_clean(&self) -> bool {
        self.lost == 0 && self.doubled == 0
    }

    /// Returns a table, and a last line of JSON.
    pub fn table(&self) -> Result<String> {
        let rows = [
            ("requests answered", self.answered.to_string()),
            ("requests not run", self.not_run.to_string()),
            ("requests unknown", self.unknown.to_string()),
            ("latency, median", format!("{:.1} ms", self.p50_ms)),
            ("latency, 99th percentile", format!("{:.1} ms", self.p99_ms)),
            ("tasks finished", self.tasks_done.to_string()),
            ("tasks lost", self.lost.to_string()),
            ("work doubled", self.doubled.to_string()),
            ("evictions", self.evictions.to_string()),
        ];
        let lines = rows.iter().map(|(label, value)| format!("{label:<26}{value:>12}\n"));
        Ok(format!(
            "{}\n{}",
            lines.collect::<String>(),
            serde_json::to_string(self).into_diagnostic()?
        ))
    }
}
