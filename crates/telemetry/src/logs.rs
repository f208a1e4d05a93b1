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

struct Fields(Map<String, serde_json::Value>);

impl<'a> VisitSource<'a> for Fields {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| json!(value.to_string()));
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
