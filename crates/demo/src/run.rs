//! The demo from its start to its end.

use super::*;

/// Callers that send requests concurrently.
const CALLERS: u32 = 12;
/// Time between the acceptance of the job and the failure of a worker.
const FAILURE_DELAY: Duration = Duration::from_secs(3);
/// How long the demo waits for the end of the job.
const JOB_TIMEOUT: Duration = Duration::from_secs(180);
/// Time between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Number of tasks of the job.
const TASKS: u32 = 80;

/// Serves urgent requests and runs a batch job while one worker fails. Prints its progress to
/// standard error.
pub async fn run() -> Result<Tally> {
    let mut system = System::start().await?;
    eprintln!("demo: 2 entries, 2 schedulers and {} workers are up", system.workers.len());
    let load = Load::start(CALLERS, &system);
    let job = system.submit(TASKS).await?;
    eprintln!("demo: job `{job}` is accepted");
    tokio::time::sleep(FAILURE_DELAY).await;
    let lost = system.fail_worker(&job).await;
    eprintln!("demo: worker `{lost}` is lost");
    let status = wait_job(&system, &load, &job).await?;
    let counts = load.stop().await;
    let tally = Tally::new(&counts, &status, &system.ledger.summary());
    system.stop().await?;
    Ok(tally)
}

/// Prints progress until the job is over or `JOB_TIMEOUT` has passed, and returns its last status.
async fn wait_job(system: &System, load: &Load, job: &job::Id) -> Result<job::Status> {
    let start = Instant::now();
    loop {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        let status = system.status(job).await?;
        eprintln!(
            "demo: {:>3} s, {} of {} tasks finished, {} running, {} requests answered",
            start.elapsed().as_secs(),
            status.finished,
            status.tasks,
            status.running,
            load.answered()
        );
        if status.state != job::State::Open || start.elapsed() > JOB_TIMEOUT {
            return Ok(status);
        }
    }
}
