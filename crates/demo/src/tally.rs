//! Results of the demo, as counted by callers and workers.

use super::*;

/// Results of the demo.
#[derive(Clone, Debug, Serialize)]
pub struct Tally {
    /// Requests whose whole answer came and was their own.
    pub answered: u64,
    /// Tasks and non-idempotent requests that ran twice, checkpoints that two runs resumed and kept
    /// the work of, and answers that belong to another request.
    pub doubled: u64,
    /// Evictions of tasks of the job.
    pub evictions: u64,
    /// Tasks of the accepted job that no worker finished.
    pub lost: u64,
    /// Requests that were answered as not run.
    pub not_run: u64,
    /// Median latency of the answers, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the answers' latency, in milliseconds.
    pub p99_ms: f64,
    /// Tasks that workers finished.
    pub tasks_done: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
}

impl Tally {
    /// Combines the callers' counts, the job's last status and the workers' summary.
    pub fn new(
        counts: &load::Counts,
        status: &job::Status,
        summary: &standin::summary::Summary,
    ) -> Self {
        let millis = |quantile| counts.latency.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            answered: counts.answered,
            doubled: summary.doubled + summary.repeated + summary.resumed_twice + counts.mismatched,
            evictions: status.evictions,
            lost: u64::from(status.tasks).saturating_sub(summary.finished),
            not_run: counts.not_run,
            p50_ms: millis(0.5),
            p99_ms: millis(0.99),
            tasks_done: summary.finished,
            unknown: counts.unknown,
        }
    }

    /// Returns whether no task was lost and nothing was doubled.
    pub fn is_clean(&self) -> bool {
        self.lost == 0 && self.doubled == 0
    }

    /// Returns the results as a table, followed by a line of JSON.
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
