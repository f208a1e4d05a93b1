//! Runs one scheduler from its start until its cells are handed over.

use super::*;

/// Interval of the owners' tick, which drives the decisions that depend on time.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two reports of the gauges.
pub const METRICS_INTERVAL: Duration = Duration::from_secs(10);
/// Time allowed for handing the cells over. The scheduler then stops even if some are left.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(15);
/// Capacity of the channel of incoming calls, and of the channel of completions.
pub const CHANNEL_CAPACITY: usize = 1_024;

/// Serves with `settings` until `leave`, and returns once the cells are handed over or
/// `DRAIN_TIMEOUT` has passed.
///
/// # Errors
///
/// Returns an error, with the failed step and the peer, if the scheduler can't start with
/// `settings`: the keys can't be read, the address can't be bound, or a client can't be built.
pub async fn serve(settings: settings::Scheduler, leave: CancellationToken) -> Result<(), Error> {
    let name = settings.name.clone();
    let fail = |cause: &dyn Display| Error::new(&name, cause);
    let tls = &settings.tls;
    let identity = Identity::read(&name, &tls.authority, &tls.certificate, &tls.key)
        .map_err(|cause| fail(&cause))?;
    let listener = Listener::bind(settings.quic, &identity).map_err(|cause| fail(&cause))?;
    let store = platform::store::Client::new(&settings.store).map_err(|cause| fail(&cause))?;
    let vm_list = vms::Client::new(&settings.vm_list).map_err(|cause| fail(&cause))?;
    let metrics = oleanderstage_telemetry::metrics::client("oleanderstage", settings.metrics)
        .map_err(|cause| fail(&cause))?;
    let stop = CancellationToken::new();
    let peers = settings.entries.iter().chain(&settings.peers);
    let links = peers.map(|peer| listener.link(&peer.name, peer.address)).collect();
    let follower = Follower::start(store.clone(), links, stop.clone());
    let (completions_sender, completions) = mpsc::channel(CHANNEL_CAPACITY);
    let executor = Executor::new(store, vm_list, completions_sender);
    tokio::spawn(executor.clone().poll_vm_list(stop.clone()));
    let (calls_sender, calls) = mpsc::channel(CHANNEL_CAPACITY);
    let accepting = listener.clone();
    tokio::spawn(async move { accepting.serve(calls_sender).await });
    log::info!(quic = settings.quic.to_string(), scheduler = name.to_string(); "started");
    let actor = Actor::new(settings, executor, follower.clone(), Arc::new(metrics));
    run_event_loop(actor, follower, completions, calls, leave).await;
    stop.cancel();
    listener.close().await;
    log::info!(scheduler = name.to_string(); "left");
    Ok(())
}

/// Passes events to the actor until its cells are handed over, or until `DRAIN_TIMEOUT` after
/// `leave`.
async fn run_event_loop(
    mut actor: Actor,
    mut follower: Follower,
    mut completions: mpsc::Receiver<executor::Completion>,
    mut calls: mpsc::Receiver<Incoming>,
    leave: CancellationToken,
) {
    let mut ticks = time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut metrics_ticks = time::interval(METRICS_INTERVAL);
    if let Some(active) = follower.current() {
        actor.configure(&active);
    }
    let mut drain_deadline = None;
    while !actor.is_released()
        && drain_deadline.is_none_or(|deadline| time::Instant::now() < deadline)
    {
        tokio::select! {
            () = leave.cancelled(), if drain_deadline.is_none() => {
                drain_deadline = Some(time::Instant::now() + DRAIN_TIMEOUT);
                actor.leave();
            }
            Some(completion) = completions.recv() => actor.on_completion(completion),
            Some(incoming) = calls.recv() => actor.on_call(incoming),
            active = follower.changed() => actor.configure(&active),
            _ = ticks.tick() => actor.tick(),
            _ = metrics_ticks.tick() => actor.send_gauges(),
        }
    }
}
