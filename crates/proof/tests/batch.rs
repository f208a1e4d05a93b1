//! End-to-end tests of batch jobs: schedulers and workers are killed, paused and cut off.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{Resources, job},
    oleanderstage_proof::{Fleet, Load, Plan, fleet::until},
    oleanderstage_standin::{
        faults::{Faults, Outage},
        ledger::Record,
        summary::Summary,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// How long a scheduler's datagrams are dropped: longer than connections between processes stay
/// open without receiving anything.
const SILENCE: Duration = Duration::from_secs(4);

fn plan(test: &str) -> Plan {
    Plan::new(env!("CARGO_BIN_EXE_oleanderstage-proof"), env!("CARGO_TARGET_TMPDIR"), test)
}

fn spec(tasks: u32, run_ms: u64) -> job::Spec {
    job::Spec {
        class: "render".try_into().unwrap(),
        payload: String::new(),
        resources: Resources { accelerators: 0, memory_mib: 1_024, processors_milli: 1_000 },
        run_ms,
        tasks,
        team: "news".try_into().unwrap(),
    }
}

/// Waits until `count` runs have started.
async fn wait_runs(fleet: &Fleet, count: u64) {
    until("confirm that runs started", async || fleet.ledger.summary().runs >= count)
        .await
        .unwrap();
}

/// Waits until another scheduler than `before` owns the cell.
async fn wait_takeover(fleet: &Fleet, before: u16) {
    let other = async || fleet.find_owner().is_some_and(|owner| owner != before);
    until("confirm that the cell was taken over", other).await.unwrap();
}

/// Asserts that all `tasks` tasks of the job finished, each of them once.
fn assert_finished_once(fleet: &Fleet, status: &job::Status, tasks: u64) {
    let summary = fleet.ledger.summary();
    assert_eq!((&status.state, u64::from(status.finished)), (&job::State::Finished, tasks));
    assert_eq!(summary.finished, tasks, "{summary:?}");
    assert_no_duplicates(&summary);
}

/// Asserts that no task ran in two places at once or finished twice, that no checkpoint was resumed
/// by two runs that both kept their work, and that no VM held more than its capacity.
fn assert_no_duplicates(summary: &Summary) {
    let Summary { doubled, overfull, resumed_twice, .. } = summary;
    assert_eq!((doubled, overfull, resumed_twice), (&0, &0, &0), "{summary:?}");
}

/// Returns the number of runs that an owner started on a VM after a later owner of the same cell
/// had started one there.
fn stale_starts(record: &Record) -> usize {
    let mut highest = BTreeMap::new();
    let mut runs: Vec<_> = record.runs.iter().collect();
    runs.sort_by_key(|run| run.start_us);
    let is_stale = |run: &&oleanderstage_standin::ledger::Run| {
        let epoch = highest.entry((run.vm.clone(), run.run.task.job.cell.clone())).or_default();
        *epoch = run.epoch.max(*epoch);
        run.epoch < *epoch
    };
    runs.into_iter().filter(is_stale).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_scheduler_loses_and_doubles_no_task() {
    let mut fleet = plan("scheduler_killed").schedulers(2).workers(3).start().await.unwrap();
    let caller = fleet.caller().unwrap();
    let load = Load::start(&caller, "bulletin", 4, 20);
    let job = caller.submit("job-1", &spec(30, 4_000)).await.unwrap();
    wait_runs(&fleet, 10).await;
    let owner = fleet.wait_owner().await.unwrap();
    let killed = Instant::now();
    fleet.process(&format!("scheduler-{owner}")).unwrap().kill().unwrap();
    wait_takeover(&fleet, owner).await;
    println!("time to take over a cell: {:?}", killed.elapsed());
    let status = caller.wait(&job).await.unwrap();
    println!("time to finish after the scheduler was killed: {:?}", killed.elapsed());
    let tally = load.stop().await;
    println!("longest time without an answer, scheduler dead: {:?}", tally.longest_gap(killed));
    assert_finished_once(&fleet, &status, 30);
    assert_eq!((tally.lost, tally.wrong, tally.unknown, tally.cut), (0, 0, 0, 0), "{tally:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_scheduler_acts_on_nothing_stale() {
    let mut fleet = plan("scheduler_paused").schedulers(2).workers(3).start().await.unwrap();
    let caller = fleet.caller().unwrap();
    let job = caller.submit("job-1", &spec(40, 4_000)).await.unwrap();
    wait_runs(&fleet, 10).await;
    let owner = fleet.wait_owner().await.unwrap();
    let name = format!("scheduler-{owner}");
    fleet.process(&name).unwrap().pause().unwrap();
    wait_takeover(&fleet, owner).await;
    let epoch = fleet.ledger.record().runs.iter().map(|run| run.epoch).max();
    let newer = async || fleet.ledger.record().runs.iter().any(|run| Some(run.epoch) > epoch);
    until("confirm that the new owner started a run", newer).await.unwrap();
    fleet.store_relays[&name.as_str().try_into().unwrap()].cut();
    fleet.process(&name).unwrap().resume().unwrap();
    let status = caller.wait(&job).await.unwrap();
    assert_finished_once(&fleet, &status, 40);
    assert_eq!(stale_starts(&fleet.ledger.record()), 0);
    assert_eq!(fleet.ledger.summary().stale_starts, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn running_tasks_go_on_without_the_key_value_service() {
    let fleet = plan("store_down_batch").schedulers(2).start().await.unwrap();
    let caller = fleet.caller().unwrap();
    let job = caller.submit("job-1", &spec(8, 45_000)).await.unwrap();
    wait_runs(&fleet, 8).await;
    let faults = Faults { outage: Outage::Silent, ..Faults::default() };
    fleet.platform.store().set_faults(faults);
    let finished = async || fleet.ledger.summary().finished == 8;
    until("confirm that every task finished in the outage", finished).await.unwrap();
    fleet.platform.store().set_faults(Faults::default());
    let status = caller.wait(&job).await.unwrap();
    assert_finished_once(&fleet, &status, 8);
    assert_eq!(fleet.ledger.summary().runs, 8);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_workers_end_no_task() {
    let fleet = plan("silent_batch").workers(3).start().await.unwrap();
    let caller = fleet.caller().unwrap();
    let job = caller.submit("job-1", &spec(24, 3_000)).await.unwrap();
    wait_runs(&fleet, 8).await;
    fleet.worker_relays.iter().for_each(|relay| relay.silence());
    let status = caller.wait(&job).await.unwrap();
    assert_finished_once(&fleet, &status, 24);
    assert_eq!(fleet.ledger.summary().runs, 24);
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_a_worker_that_is_cut_off_run_elsewhere_only_once_their_lease_is_over() {
    let fleet = plan("worker_cut_off").workers(3).start().await.unwrap();
    let caller = fleet.caller().unwrap();
    let job = caller.submit("job-1", &spec(12, 600_000)).await.unwrap();
    wait_runs(&fleet, 12).await;
    let vm = "worker-0".try_into().unwrap();
    let record = fleet.ledger.record();
    let runs = record.runs.iter().filter(|run| run.vm == vm);
    let tasks: BTreeSet<_> = runs.map(|run| run.run.task.clone()).collect();
    assert!(!tasks.is_empty());
    fleet.worker_relays[0].cut();
    let rerun = async || {
        let record = fleet.ledger.record();
        let others = record.runs.iter().filter(|run| run.vm != vm && tasks.contains(&run.run.task));
        others.map(|run| &run.run.task).collect::<BTreeSet<_>>().len() == tasks.len()
    };
    until("confirm that the tasks run elsewhere", rerun).await.unwrap();
    caller.cancel(&job).await.unwrap();
    assert_no_duplicates(&fleet.ledger.summary());
}

#[tokio::test(flavor = "multi_thread")]
async fn writes_whose_answer_is_lost_neither_lose_nor_double() {
    let mut fleet = plan("lost_answers").entries(2).schedulers(2).start().await.unwrap();
    let caller = fleet.caller().unwrap();
    let mut jobs = Vec::new();
    for index in 0..3 {
        let faults = Faults { lose_answers: 2, ..Faults::default() };
        fleet.platform.store().set_faults(faults);
        jobs.push(caller.submit(&format!("job-{index}"), &spec(4, 2_000)).await.unwrap());
    }
    wait_runs(&fleet, 4).await;
    assert!(fleet.platform.store().counters().lost_commits > 0);
    let owner = fleet.wait_owner().await.unwrap();
    fleet.process(&format!("scheduler-{owner}")).unwrap().kill().unwrap();
    for job in &jobs {
        assert_eq!(caller.wait(job).await.unwrap().finished, 4);
    }
    let summary = fleet.ledger.summary();
    assert_eq!(summary.finished, 12, "{summary:?}");
    assert_no_duplicates(&summary);
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_submitted_past_silent_peers_are_accepted_once() {
    let fleet = plan("silent_peers").entries(2).schedulers(2).start().await.unwrap();
    let caller = fleet.caller().unwrap();
    let owner = fleet.wait_owner().await.unwrap();
    let relay = fleet.quic_relay(&format!("scheduler-{owner}")).unwrap();
    relay.set_silent(true);
    let submit = tokio::spawn({
        let caller = caller.clone();
        async move { caller.submit("job-1", &spec(3, 300)).await.unwrap() }
    });
    tokio::time::sleep(SILENCE).await;
    assert!(
        !submit.is_finished(),
        "the job was accepted although its cell's owner could not be reached"
    );
    relay.set_silent(false);
    let id = submit.await.unwrap();
    let status = caller.wait(&id).await.unwrap();
    assert_finished_once(&fleet, &status, 3);
    assert_eq!(fleet.ledger.summary().runs, 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_submits_under_one_key_make_one_job() {
    let mut fleet = plan("racing").entries(3).schedulers(2).start().await.unwrap();
    let caller = fleet.caller().unwrap();
    let mut racers = tokio::task::JoinSet::new();
    for _ in 0..12 {
        let caller = caller.clone();
        racers.spawn(async move { caller.submit("job-1", &spec(3, 300)).await.unwrap() });
    }
    let mut ids: BTreeSet<_> = racers.join_all().await.into_iter().collect();
    fleet.process("entry-0").unwrap().kill().unwrap();
    fleet.start_entry(0).unwrap();
    fleet.wait_ready(0).await.unwrap();
    for _ in 0..3 {
        ids.insert(caller.submit("job-1", &spec(3, 300)).await.unwrap());
    }
    assert_eq!(ids.len(), 1, "{ids:?}");
    let id = ids.first().unwrap();
    let status = caller.wait(id).await.unwrap();
    assert_finished_once(&fleet, &status, 3);
}
