//! Logs: one JSON object per line, with the name of the event and its fields.

use super::*;

/// Starts logging to standard error, at `info` for this system and `warn` for libraries unless
/// `RUST_LOG` is set. The message of a record is the name of the event; its key-values are the
/// fields.
pub fn start() -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_env_or_str("warn,oleanderstage=info")?
        .log_to_stderr()
        .format(write_json)
        .start()
}

/// Writes `record` as one JSON object.
pub fn write_json(out: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let mut fields = Fields(Map::new());
    fields.0.insert("time".into(), json!(now.now_utc_owned().to_rfc3339()));
    fields.0.insert("level".into(), json!(record.level().as_str().to_lowercase()));
    fields.0.insert("event".into(), json!(record.args().to_string()));
    record.key_values().visit(&mut fields).map_err(io::Error::other)?;
    serde_json::to_writer(out, &fields.0).map_err(io::Error::other)
}

/// Lines that may wait for the writer thread; further ones are dropped.
const MAX_QUEUED_LINES: usize = 2_048;
/// Lines of one event written in one second; further ones are dropped.
const MAX_LINES_PER_EVENT_PER_SECOND: u32 = 200;

/// Starts logging to standard output without ever blocking a caller. Lines are dropped and counted
/// when the reader of the output is too slow, and beyond `MAX_LINES_PER_EVENT_PER_SECOND`.
pub fn start_bounded() -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_env_or_str("warn,oleanderstage=info")?
        .log_to_writer(Box::new(BoundedWriter::start()))
        .start()
}

/// Writes lines on a thread of its own, within limits on their number.
struct BoundedWriter {
    counts: Mutex<Counts>,
    queue: SyncSender<Vec<u8>>,
}

/// Line counts of the current second.
#[derive(Default)]
struct Counts {
    by_event: BTreeMap<String, u32>,
    dropped: u64,
    /// Unix time.
    second: i64,
}

impl BoundedWriter {
    fn start() -> Self {
        let (queue, lines) = sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
        thread::spawn(move || {
            for mut line in lines {
                line.push(b'\n');
                // A failure of standard output can't be reported anywhere.
                let _ = io::stdout().write_all(&line);
            }
        });
        Self { counts: Mutex::default(), queue }
    }

    /// Counts a line of the event. Returns whether to write it, and the number of lines dropped
    /// since the last report, which is 0 except at the first line of a second.
    fn admit(&self, event: &str, second: i64) -> (bool, u64) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let mut dropped = 0;
        if counts.second != second {
            dropped = counts.dropped;
            *counts = Counts { second, ..Counts::default() };
        }
        let count = counts.by_event.entry(event.into()).or_default();
        *count += 1;
        let admitted = *count <= MAX_LINES_PER_EVENT_PER_SECOND;
        if !admitted {
            counts.dropped += 1;
        }
        (admitted, dropped)
    }

    /// Queues the line for the writer thread, or drops and counts it if the queue is full.
    fn send(&self, line: Vec<u8>) {
        if self.queue.try_send(line).is_err() {
            self.counts.lock().unwrap_or_else(PoisonError::into_inner).dropped += 1;
        }
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let event = record.args().to_string();
        let (admitted, dropped) = self.admit(&event, now.now().timestamp());
        if dropped > 0 {
            let time = now.now_utc_owned().to_rfc3339();
            let notice = json!({"event": "lines_left_out", "count": dropped, "time": time});
            self.send(notice.to_string().into_bytes());
        }
        if admitted {
            let mut text = Vec::with_capacity(256);
            write_json(&mut text, now, record)?;
            self.send(text);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        io::stdout().flush()
    }
}

struct Fields(Map<String, serde_json::Value>);

impl<'a> VisitSource<'a> for Fields {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| json!(value.to_string()));
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
