//! The demo from its start to its end.

use super::*;

/// Callers that send requests at once.
const CALLERS: u32 = 12;
/// How long callers go on before a worker is lost.
const CALM: Duration = Duration::from_secs(3);
/// How long the job may take before the demo gives up on it.
const JOB_LIMIT: Duration = Duration::from_secs(180);
/// Time between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Tasks of the job.
const TASKS: u32 = 80;

/// Serves urgent requests and runs a batch job while one worker is lost; progress goes to standard
/// error.
pub async fn run() -> Result<Tally> {
    let mut stage = Stage::start().await?;
    eprintln!("demo: 2 entries, 2 schedulers and {} workers are up", stage.workers.len());
    let calling = Caller::start(CALLERS, &stage);
    let job = stage.submit(TASKS).await?;
    eprintln!("demo: job `{job}` is accepted");
    tokio::time::sleep(CALM).await;
    let lost = stage.lose_worker(&job).await;
    eprintln!("demo: worker `{lost}` is lost");
    let status = follow(&stage, &calling, &job).await?;
    let called = calling.stop().await;
    let tally = Tally::new(&called, &status, &stage.ledger.summary());
    stage.stop().await?;
    Ok(tally)
}

/// Prints progress until the job is over, or too late.
async fn follow(stage: &Stage, calling: &Caller, job: &job::Id) -> Result<job::Status> {
    let start = Instant::now();
    loop {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        let status = stage.status(job).await?;
        eprintln!(
            "demo: {:>3} s, {} of {} tasks finished, {} running, {} requests answered",
            start.elapsed().as_secs(),
            status.finished,
            status.tasks,
            status.running,
            calling.answered()
        );
        if status.state != job::State::Open || start.elapsed() > JOB_LIMIT {
            return Ok(status);
        }
    }
}
