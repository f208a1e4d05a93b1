//! Decisions of a cell of workers on the users' platform: which task runs where, what is recorded,
//! what a takeover may assume. No input or output: events with the time go in, actions come out.

use {
    oleanderstage_core::resources::Resources,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        fmt::{self, Display, Formatter},
        str::FromStr,
        sync::Arc,
    },
};

pub use {
    action::Action, assignment::Assignment, cell::Cell, clock::Clock, commit::Commit,
    config::Config, event::Event, head::Head, job::Job, limits::Limits, listing::Listing,
    outlook::Outlook, progress::Progress, queue::Queue, registration::Registration, run::Run,
    state::State, step::Step, submission::Submission, ticket::Ticket, worker::Worker,
};

pub mod action;
pub mod admission;
pub mod assignment;
pub mod cell;
pub mod clock;
pub mod commit;
pub mod config;
pub mod event;
pub mod head;
pub mod job;
pub mod limits;
pub mod listing;
pub mod outlook;
pub mod pace;
pub mod placement;
pub mod pressure;
pub mod progress;
pub mod queue;
pub mod registration;
pub mod run;
pub mod state;
pub mod step;
pub mod submission;
pub mod task;
pub mod ticket;
pub mod worker;

mod cell_balance;
mod cell_ends;
mod cell_orders;
mod cell_record;
mod cell_relocate;
mod cell_schedule;
