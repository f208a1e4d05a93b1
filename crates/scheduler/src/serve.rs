//! One scheduler, from its start to the end of its drain.

use super::*;

/// How often time-driven decisions are looked at.
pub const TICK: Duration = Duration::from_millis(50);
/// How often metrics are sent.
pub const MEASURE: Duration = Duration::from_secs(10);
/// How long handing the cells over may take.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(15);
/// Calls and inputs that wait at once.
pub const QUEUE: usize = 1_024;

/// Serves with `settings` until `leave`, and returns once the cells are handed over.
///
/// # Errors
///
/// The settings can't be put to use: names the step and the peer.
pub async fn serve(settings: settings::Scheduler, leave: CancellationToken) -> Result<(), Error> {
    let name = settings.name.clone();
    let fail = |cause: &dyn Display| Error::new(&name, cause);
    let tls = &settings.tls;
    let identity = Identity::read(&name, &tls.authority, &tls.certificate, &tls.key)
        .map_err(|cause| fail(&cause))?;
    let listener = Listener::bind(settings.quic, &identity).map_err(|cause| fail(&cause))?;
    let store = platform::store::Client::new(&settings.store).map_err(|cause| fail(&cause))?;
    let list = vms::Client::new(&settings.vm_list).map_err(|cause| fail(&cause))?;
    let metrics = oleanderstage_telemetry::metrics::client("oleanderstage", settings.metrics)
        .map_err(|cause| fail(&cause))?;
    let stop = CancellationToken::new();
    let peers = settings.entries.iter().chain(&settings.peers);
    let links = peers.map(|peer| listener.link(&peer.name, peer.address)).collect();
    let follower = Follower::start(store.clone(), links, stop.clone());
    let (put, inputs) = mpsc::channel(QUEUE);
    let edge = Edge::new(store, list, put);
    tokio::spawn(edge.clone().list(stop.clone()));
    let (take, calls) = mpsc::channel(QUEUE);
    let serving = listener.clone();
    tokio::spawn(async move { serving.serve(take).await });
    log::info!(quic = settings.quic.to_string(), scheduler = name.to_string(); "started");
    let actor = Actor::new(settings, edge, follower.clone(), Arc::new(metrics));
    drive(actor, follower, inputs, calls, leave).await;
    stop.cancel();
    listener.close().await;
    log::info!(scheduler = name.to_string(); "left");
    Ok(())
}

/// Passes everything that happens to the actor, until its cells are handed over.
async fn drive(
    mut actor: Actor,
    mut follower: Follower,
    mut inputs: mpsc::Receiver<edge::Input>,
    mut calls: mpsc::Receiver<Incoming>,
    leave: CancellationToken,
) {
    let mut ticks = time::interval(TICK);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut measures = time::interval(MEASURE);
    if let Some(in_force) = follower.current() {
        actor.configure(&in_force);
    }
    let mut limit = None;
    while !actor.is_released() && limit.is_none_or(|limit| time::Instant::now() < limit) {
        tokio::select! {
            () = leave.cancelled(), if limit.is_none() => {
                limit = Some(time::Instant::now() + DRAIN_LIMIT);
                actor.leave();
            }
            Some(input) = inputs.recv() => actor.input(input),
            Some(incoming) = calls.recv() => actor.call(incoming),
            in_force = follower.changed() => actor.configure(&in_force),
            _ = ticks.tick() => actor.tick(),
            _ = measures.tick() => actor.measure(),
        }
    }
}
