//! Calls between this entry and the system's other processes.

use super::*;
use {node::Node, wire::call::Probe, wire::reply::Refusal as Why};

/// Calls of peers that wait to be answered.
const QUEUE: usize = 256;
/// How often each scheduler is asked for a sign of life.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a sign of life may take.
const PROBE_LIMIT: Duration = Duration::from_millis(1_000);

/// Answers calls until dropped.
pub(crate) async fn answer(node: Arc<Node>, listener: Listener) {
    let (sender, mut calls) = mpsc::channel(QUEUE);
    let server = async move { listener.serve(sender).await };
    let answers = async move {
        while let Some(incoming) = calls.recv().await {
            let node = node.clone();
            tokio::spawn(async move {
                let reply = reply(&node, &incoming.call).await;
                incoming.answer(&reply).await
            });
        }
    };
    tokio::join!(server, answers);
}

/// Asks every scheduler for a sign of life, forever.
pub(crate) async fn probe(node: Arc<Node>, link: Link) {
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let sign = match link.call(&Call::Probe(sign(&node)), PROBE_LIMIT).await {
            Ok(Reply::Probe(sign)) => Some(sign),
            _ => None,
        };
        if let Some(sign) = &sign {
            node.cells.learn(&link.peer, &sign.cells);
        }
        node.signs.learn(&link.peer, sign);
    }
}

async fn reply(node: &Node, call: &Call) -> Reply {
    match call {
        Call::Config { have } => node.follower.reply(*have),
        Call::Key(ask) => {
            let answer = node.keys.answer(node.now(), ask);
            Reply::Key { answer, from: node.keys.me() }
        }
        Call::KeyAnswer { record, wait_ms } => {
            let wait = Duration::from_millis(*wait_ms);
            let (end, answer) = node.keys.stand(node.clock, record, wait).await;
            Reply::KeyAnswer { answer: answer.map(|answer| (*answer).clone()), end }
        }
        Call::KeyEnd(end) => {
            node.keys.end(node.now(), end);
            Reply::Done
        }
        Call::Probe(theirs) => {
            node.cells.learn(&theirs.name, &theirs.cells);
            Reply::Probe(sign(node))
        }
        _ => Reply::Refused {
            reason: Why::Invalid,
            retry_ms: None,
            text: format!("`{}` is an entry: ask a scheduler", node.settings.name),
        },
    }
}

fn sign(node: &Node) -> Probe {
    Probe {
        cells: vec![],
        incarnation: node.incarnation,
        leaving: !node.drain.state().is_healthy(),
        name: node.settings.name.clone(),
        revision: node.follower.current().map_or(config::Revision(0), |current| current.revision),
    }
}
