//! Calls between this entry and its peers: other entries and schedulers.

use super::*;
use {context::Context, wire::call::Probe, wire::reply::Refusal as WireRefusal};

/// Maximum calls of peers that wait to be answered.
const MAX_QUEUED_CALLS: usize = 256;
/// Interval between probes of a scheduler.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Answers calls of peers until dropped.
pub(crate) async fn serve(context: Arc<Context>, listener: Listener) {
    let (sender, mut calls) = mpsc::channel(MAX_QUEUED_CALLS);
    let server = async move { listener.serve(sender).await };
    let answers = async move {
        while let Some(incoming) = calls.recv().await {
            let context = context.clone();
            tokio::spawn(async move {
                let reply = reply(&context, &incoming.call).await;
                incoming.answer(&reply).await
            });
        }
    };
    tokio::join!(server, answers);
}

/// Probes one scheduler until dropped, and records its cells and state.
pub(crate) async fn probe_scheduler(context: Arc<Context>, link: Link) {
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let probe = match link.call(&Call::Probe(own_probe(&context)), PROBE_TIMEOUT).await {
            Ok(Reply::Probe(probe)) => Some(probe),
            _ => None,
        };
        if let Some(probe) = &probe {
            context.cells.record(&link.peer, &probe.cells);
        }
        context.probes.record(&link.peer, probe);
    }
}

async fn reply(context: &Context, call: &Call) -> Reply {
    match call {
        Call::Config { have } => context.follower.reply(*have),
        Call::Key(request) => {
            let answer = context.keys.answer(context.key_now(), request);
            Reply::Key { answer, from: context.keys.own_member() }
        }
        Call::KeyAnswer { record, wait_ms } => {
            let wait = Duration::from_millis(*wait_ms);
            let (end, answer) = context.keys.run_state(context.clock, record, wait).await;
            Reply::KeyAnswer { answer: answer.map(|answer| (*answer).clone()), end }
        }
        Call::KeyEnd(end) => {
            context.keys.record_end(context.key_now(), end);
            Reply::Done
        }
        Call::Probe(probe) => {
            context.cells.record(&probe.name, &probe.cells);
            Reply::Probe(own_probe(context))
        }
        _ => Reply::Refused {
            reason: WireRefusal::Invalid,
            retry_ms: None,
            text: format!("`{}` is an entry: ask a scheduler", context.settings.name),
        },
    }
}

/// Returns the state of this entry for a probe.
fn own_probe(context: &Context) -> Probe {
    Probe {
        cells: vec![],
        incarnation: context.incarnation,
        leaving: !context.drain.state().is_healthy(),
        name: context.settings.name.clone(),
        revision: context
            .follower
            .current()
            .map_or(config::Revision(0), |current| current.revision),
    }
}
