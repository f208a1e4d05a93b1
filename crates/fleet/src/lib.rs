//! Scheduling decisions of the owner of a cell, a group of workers on the users' platform: where
//! tasks run, when records are committed and how a new owner takes over running tasks. Performs no
//! I/O: [`Cell::handle`] takes an event with its time and returns actions.

use {
    oleanderstage_core::resources::Resources,
    serde::{Deserialize, Serialize},
    std::{
        cmp::Ordering,
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        fmt::{self, Display, Formatter},
        ops::RangeInclusive,
        str::FromStr,
        sync::Arc,
    },
};

pub use {
    action::Action, assignment::Assignment, cell::Cell, clock::Clock, commit::Commit,
    config::Config, continuity::Continuity, crash::Crash, delay::Delay, division::Division,
    evacuation::Evacuation, event::Event, fit::Fit, forecast::Forecast, gap::Gap, gate::Gate,
    head::Head, headroom::Headroom, inventory::Inventory, job::Job, lateness::Lateness,
    lifetime::Lifetime, limits::Limits, listing::Listing, load::Load, memory::Memory,
    policy::Policy, predecessor::Predecessor, progress::Progress, queue::Queue, quota::Quota,
    registration::Registration, registry::Registry, release::Release, removal::Removal,
    reservation::Reservation, run::Run, settling::Settling, shape::Shape, state::State, step::Step,
    submission::Submission, suspicion::Suspicion, throughput::Throughput, ticket::Ticket,
    trace::Trace, usage::Usage, worker::Worker,
};

pub mod action;
pub mod admission;
pub mod assignment;
pub mod cell;
mod census;
pub mod clock;
pub mod commit;
pub mod config;
pub mod continuity;
pub mod crash;
pub mod delay;
pub mod division;
pub mod evacuation;
pub mod event;
pub mod fit;
pub mod forecast;
pub mod gap;
pub mod gate;
pub mod head;
pub mod headroom;
pub mod inventory;
pub mod job;
pub mod lateness;
pub mod lifetime;
pub mod limits;
pub mod listing;
pub mod load;
mod margin;
pub mod memory;
pub mod pace;
pub mod placement;
pub mod policy;
pub mod predecessor;
pub mod pressure;
pub mod progress;
pub mod queue;
pub mod quota;
pub mod registration;
pub mod registry;
pub mod release;
pub mod removal;
pub mod reservation;
pub mod run;
pub mod settling;
pub mod shape;
mod shortage;
pub mod state;
pub mod step;
pub mod submission;
pub mod suspicion;
pub mod task;
pub mod throughput;
pub mod ticket;
pub mod trace;
pub mod usage;
pub mod wait;
mod window;
pub mod worker;

mod cell_balance;
mod cell_confirmation;
mod cell_crashes;
mod cell_lasting;
mod cell_leases;
mod cell_long_leases;
mod cell_orders;
mod cell_polls;
mod cell_record;
mod cell_relocate;
mod cell_schedule;
mod cell_unclaimed;
