//! The plan of one outage of the store, and of what overlaps with it.

use {super::*, rand::seq::SliceRandom, std::ops::Range};

/// The plan of an outage. Times count from the start of its series.
#[derive(Debug)]
pub(crate) struct Outage {
    /// When the store answers nothing.
    pub silence: Range<Duration>,
    /// Whether the leases lapse during the silence.
    pub lapses: bool,
    /// When no VM runs, as all are killed at once.
    pub kills: Vec<Range<Duration>>,
    /// A VM that is frozen across the end of the silence.
    pub freeze: Option<(usize, Range<Duration>)>,
    /// Workers that leave: from when their entries say so until they are gone.
    pub leaving: Vec<(usize, Range<Duration>)>,
    /// Workers that crash, and when they are down.
    pub crashes: Vec<(usize, Range<Duration>)>,
    /// A new lasting job: when it is submitted, its number of tasks, and the processors of each in
    /// thousandths of a core.
    pub job: (Duration, u32, u64),
    /// Which lasting job is cancelled, if any, and when.
    pub cancellation: Option<(usize, Duration)>,
}

/// Time between the start of the series and the silence, in milliseconds.
const LEAD_MS: u64 = 4_000;
/// Shortest and longest silence, in milliseconds.
const SILENCE_MS: Range<u64> = 3_000..10_000;
/// Maximum number of workers that leave.
const MAX_LEAVING: usize = 3;
/// Maximum number of other workers that crash.
const MAX_CRASHES: usize = 2;
/// Share of outages with a frozen VM.
const FREEZE_SHARE: f64 = 0.3;
/// Share of outages with a lasting job that is cancelled.
const CANCELLATION_SHARE: f64 = 0.3;

impl Outage {
    /// Draws a plan for a number of VMs, workers and lasting jobs.
    pub(crate) fn random(
        random: &mut Pcg64Mcg,
        vms: usize,
        workers: usize,
        lasting_jobs: usize,
    ) -> Self {
        let silence_end = LEAD_MS + random.random_range(SILENCE_MS);
        let mut kills: Vec<Range<Duration>> = Vec::new();
        let mut kill_at = random.random_range(1_000..silence_end + 1_000);
        for _ in 0..random.random_range(0..=2) {
            let spawn_at = kill_at + random.random_range(200..1_500);
            kills.push(span(kill_at, spawn_at));
            kill_at = spawn_at + random.random_range(300..3_000);
        }
        let freeze = random.random_bool(FREEZE_SHARE).then(|| {
            let from = silence_end - random.random_range(300..3_000);
            let to = silence_end + random.random_range(300..2_500);
            (random.random_range(0..vms), span(from, to))
        });
        let mut numbers: Vec<usize> = (0..workers).collect();
        numbers.shuffle(random);
        let leaving_count = random.random_range(1..=MAX_LEAVING).min(workers / 2);
        let crash_count = random.random_range(0..=MAX_CRASHES).min(workers / 4);
        let mut numbers = numbers.into_iter();
        let leaving = numbers.by_ref().take(leaving_count).map(|number| {
            if random.random_bool(0.5) {
                let from = LEAD_MS - random.random_range(1_000..3_000);
                (number, span(from, random.random_range(LEAD_MS..silence_end)))
            } else {
                // Nobody learns of it before the worker is gone, and new runs are allowed until
                // `DRAIN_LIMIT`.
                let from = random.random_range(LEAD_MS..silence_end);
                let stay_ms = random.random_range(300..DRAIN_LIMIT.as_millis() as u64);
                (number, span(from, (from + stay_ms).min(silence_end)))
            }
        });
        let leaving = leaving.collect();
        let crashes = numbers.take(crash_count).map(|number| {
            let from = random.random_range(LEAD_MS - 1_500..silence_end);
            (number, span(from, from + random.random_range(300..2_000)))
        });
        Self {
            crashes: crashes.collect(),
            silence: span(LEAD_MS, silence_end),
            lapses: random.random_bool(0.5),
            kills,
            freeze,
            leaving,
            job: (
                Duration::from_millis(random.random_range(0..silence_end)),
                random.random_range(2..=3),
                random.random_range(1_000..3_000),
            ),
            cancellation: random.random_bool(CANCELLATION_SHARE).then(|| {
                let at = Duration::from_millis(random.random_range(0..silence_end));
                (random.random_range(0..lasting_jobs), at)
            }),
        }
    }
}

fn span(from_ms: u64, to_ms: u64) -> Range<Duration> {
    Duration::from_millis(from_ms)..Duration::from_millis(to_ms)
}
