//! Logs as JSON lines and metrics over statsd, alike in every program.

use {
    cadence::{NopMetricSink, StatsdClient, UdpMetricSink},
    flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle},
    log::{
        Record,
        kv::{self, Key, Value, VisitSource},
    },
    serde_json::{Map, json},
    std::{
        io::{self, Write},
        net::{SocketAddr, UdpSocket},
    },
};

pub mod logs;
pub mod metrics;
