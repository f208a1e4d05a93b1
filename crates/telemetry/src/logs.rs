//! Logs: one JSON object a line, with an event name and fixed fields.

use super::*;

/// Starts logging to standard error at `info`, or as `RUST_LOG` says. The message of a record is
/// its event's name; its key-values are the fields.
pub fn start() -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_env_or_str("warn,oleanderstage=info")?.log_to_stderr().format(line).start()
}

/// Writes `record` as one JSON object.
pub fn line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let mut fields = Fields(Map::new());
    fields.0.insert("time".into(), json!(now.now_utc_owned().to_rfc3339()));
    fields.0.insert("level".into(), json!(record.level().as_str().to_lowercase()));
    fields.0.insert("event".into(), json!(record.args().to_string()));
    record.key_values().visit(&mut fields).map_err(io::Error::other)?;
    serde_json::to_writer(out, &fields.0).map_err(io::Error::other)
}

/// Lines that wait for the writer before more are left out.
const WAITING_LINES: usize = 2_048;
/// Lines of one event in a second before more are left out.
const LINES_PER_EVENT: u32 = 200;

/// Starts logging to standard output without ever blocking a caller: lines beyond what the reader
/// takes, and beyond `LINES_PER_EVENT` of one event in a second, are left out and counted.
pub fn start_bounded() -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_env_or_str("warn,oleanderstage=info")?
        .log_to_writer(Box::new(Bounded::start()))
        .start()
}

/// A writer of lines on a thread of its own.
struct Bounded {
    counts: Mutex<Counts>,
    lines: SyncSender<Vec<u8>>,
}

/// Lines of the present second.
#[derive(Default)]
struct Counts {
    by_event: BTreeMap<String, u32>,
    left_out: u64,
    second: i64,
}

impl Bounded {
    fn start() -> Self {
        let (lines, queue) = sync_channel::<Vec<u8>>(WAITING_LINES);
        thread::spawn(move || {
            for mut text in queue {
                text.push(b'\n');
                // There is nowhere left to report a failure of standard output.
                let _ = io::stdout().write_all(&text);
            }
        });
        Self { counts: Mutex::default(), lines }
    }

    /// Counts a line of the event; returns whether it is written, and what was left out before.
    fn admit(&self, event: &str, second: i64) -> (bool, u64) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let mut left_out = 0;
        if counts.second != second {
            left_out = counts.left_out;
            *counts = Counts { second, ..Counts::default() };
        }
        let count = counts.by_event.entry(event.into()).or_default();
        *count += 1;
        let admitted = *count <= LINES_PER_EVENT;
        if !admitted {
            counts.left_out += 1;
        }
        (admitted, left_out)
    }

    fn send(&self, text: Vec<u8>) {
        if self.lines.try_send(text).is_err() {
            self.counts.lock().unwrap_or_else(PoisonError::into_inner).left_out += 1;
        }
    }
}

impl LogWriter for Bounded {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let event = record.args().to_string();
        let (admitted, left_out) = self.admit(&event, now.now().timestamp());
        if left_out > 0 {
            let time = now.now_utc_owned().to_rfc3339();
            let line = json!({"event": "lines_left_out", "count": left_out, "time": time});
            self.send(line.to_string().into_bytes());
        }
        if admitted {
            let mut text = Vec::with_capacity(256);
            line(&mut text, now, record)?;
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
