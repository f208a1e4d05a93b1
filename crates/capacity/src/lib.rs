//! Slopes of state, messages and processor time over size, for `docs/CAPACITY.md`.

use {
    oleanderstage_core::{
        Instant, Name, Resources, admission, cell, config, job, journal, ledger, placement, route,
        sealed, task, worker,
    },
    oleanderstage_wire::{Call, call},
    std::{fmt::Display, fs, hint, time},
};

pub use slope::Slope;

pub mod entries;
pub mod messages;
pub mod sample;
pub mod schedulers;
pub mod slope;
