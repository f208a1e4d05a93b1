//! The program that runs on each VM of the users' platform. It answers callers and owns cells of
//! workers.

use {
    argh::FromArgs,
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, Response, StatusCode, body::Incoming, service::service_fn},
    hyper_util::rt::TokioIo,
    miette::IntoDiagnostic,
    oleanderstage_adapter::{
        Boot, Http, Orders, Store, Txn, boot, caller, configuration, orders, registration,
        store::{self, Item},
    },
    oleanderstage_fleet::{
        Action, Assignment, Cell, Clock, Commit, Config, Continuity, Evacuation, Event, Gate, Head,
        Limits, Memory, Policy, Predecessor, Progress, Queue, Registration, Registry, Release,
        Settling, State, Submission, Ticket, action, admission, assignment, cell, evacuation,
        event::{Outcome, Refusal},
        gate, job,
        predecessor::End,
        pressure::Pressure,
        registry,
    },
    oleanderstage_intake::{Body, Connection, Intake, Limit, Phase, Reservation, Socket},
    std::{
        cell::{Cell as Slot, RefCell},
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        path::{Path, PathBuf},
        rc::Rc,
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::{TcpListener, TcpSocket},
        signal::unix::{SignalKind, signal},
        sync::{Notify, mpsc},
        task::spawn_local,
        time::{MissedTickBehavior, sleep},
    },
};

use {
    executor::Executor,
    follower::{Follower, Update},
    inputs::Inputs,
    node::Node,
    record::decode,
    stop::Stop,
    wait::Wait,
    withdrawal::Withdrawal,
};

pub use run::run;

mod assigner;
mod discovery;
mod executor;
mod follower;
mod front;
mod handover;
mod inputs;
mod keys;
mod meter;
mod node;
mod owner;
mod record;
mod requests;
mod run;
mod serve;
mod session;
mod stop;
mod time;
mod unread;
mod wait;
mod withdrawal;
mod withdrawals;
