//! Logs as JSON lines and metrics over statsd, shared by every program.

use {
    cadence::{NopMetricSink, StatsdClient, UdpMetricSink},
    flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, writers::LogWriter},
    log::{
        Record,
        kv::{self, Key, Value, VisitSource},
    },
    serde_json::{Map, json},
    std::{
        collections::BTreeMap,
        io::{self, Write},
        net::{SocketAddr, UdpSocket},
        sync::{
            Mutex, PoisonError,
            mpsc::{SyncSender, sync_channel},
        },
        thread,
    },
};

pub mod logs;
pub mod metrics;
