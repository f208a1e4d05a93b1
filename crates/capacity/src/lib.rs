//! Measures how memory, message sizes and processor time grow with the size of the system, for
//! `docs/CAPACITY.md`.

use {
    oleanderstage_core::{
        Instant, Name, Resources, admission, cell, config, job, journal, ledger, placement, route,
        sealed, task, worker,
    },
    oleanderstage_wire::{Call, call},
    std::{fmt::Display, fs, hint, time},
};

pub use fit::Fit;

pub mod entries;
pub mod fit;
pub mod messages;
pub mod sample;
pub mod schedulers;
