//! `oleanderstage audit`: checks a configuration of job queues for the users' platform before it is
//! sent, and compares it with the version in force.

use {
    super::*,
    oleanderstage_adapter::configuration,
    oleanderstage_fleet::{Config as Queues, Queue},
    std::collections::BTreeSet,
};

/// Check a configuration of job queues before it is sent: errors, queues that no request can reach or
/// whose tasks can never run, limits that contradict each other, and what differs from the version in
/// force.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "audit",
    example = "{command_name} queues.json --in-force current.json --json"
)]
pub struct Options {
    /// the file; `/dev/stdin` for standard input
    #[argh(positional)]
    pub file: PathBuf,
    /// file with the version in force
    #[argh(option)]
    pub in_force: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// The result of an audit.
#[derive(Debug, Serialize)]
pub struct Audit {
    /// Faults, in the order of the queues' names.
    pub findings: Vec<Finding>,
    /// What differs from the version in force.
    pub changes: Vec<String>,
}

/// A fault of a configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum Finding {
    /// Several queues have the same name.
    SameName {
        /// The name.
        queue: String,
    },
    /// Another queue takes every request for this one.
    Hidden {
        /// The queue.
        queue: String,
        /// The queue that takes its requests.
        by: String,
    },
    /// The queue's service is not declared, so that no worker runs its tasks.
    NoService {
        /// The queue.
        queue: String,
        /// The service.
        service: String,
    },
    /// No request path begins with the queue's prefix.
    Unreachable {
        /// The queue.
        queue: String,
        /// The prefix.
        prefix: String,
    },
    /// The latency objective of most jobs is shorter than their work.
    Unmeetable {
        /// The queue.
        queue: String,
        /// The factor of the critical path.
        stretch: String,
        /// The constant part of the objective, in milliseconds.
        objective_ms: u64,
    },
    /// Urgent jobs wait longer than those that may wait.
    Inverted {
        /// The queue with the smaller objective and the later priority.
        queue: String,
        /// The queue that goes before it.
        before: String,
    },
    /// A job with the longest specification does not fit in a request.
    SmallBody {
        /// The limit, in bytes.
        limit_bytes: usize,
    },
    /// The version in force is not older, and would stay in force.
    NotNewer {
        /// The version of the file.
        version: u64,
        /// The version in force.
        in_force: u64,
    },
}

/// The longest specification of a job, in bytes.
const SPECIFICATION_BYTES: usize = 4_000;

/// Audits the file. Fails if it has faults.
pub fn run(options: &Options) -> Result<String, Error> {
    let text = read(&options.file)?;
    let in_force = options.in_force.as_deref().map(read).transpose()?;
    let audit = audit(&options.file, &text, options.in_force.as_deref().zip(in_force.as_deref()))?;
    let printed = match options.json {
        true => serde_json::to_string_pretty(&audit)
            .map_err(|cause| Error::new(Exit::Failed, cause.to_string(), "report this fault"))?,
        false => audit.to_string(),
    };
    if audit.findings.is_empty() {
        return Ok(printed);
    }
    let faults = audit.findings.len();
    let message = format!("`{}` has {faults} faults\n{printed}", options.file.display());
    Err(Error::new(Exit::Failed, message, "mend them before sending it"))
}

fn read(file: &Path) -> Result<Vec<u8>, Error> {
    fs::read(file).map_err(|cause| {
        let message = format!("cannot read `{}`: {cause}", file.display());
        Error::new(Exit::Failed, message, "name a readable file, or `/dev/stdin`")
    })
}

fn audit(file: &Path, text: &[u8], in_force: Option<(&Path, &[u8])>) -> Result<Audit, Error> {
    let queues = decode(file, text)?;
    let old = in_force.map(|(file, text)| decode(file, text)).transpose()?;
    let mut findings = Finding::of(&queues);
    if let Some(old) = old.as_ref().filter(|old| old.version >= queues.version) {
        let (version, in_force) = (queues.version, old.version);
        findings.push(Finding::NotNewer { version, in_force });
    }
    let changes = old.map_or_else(Vec::new, |old| changes(&old, &queues));
    Ok(Audit { findings, changes })
}

fn decode(file: &Path, text: &[u8]) -> Result<Queues, Error> {
    configuration::decode(text).map_err(|cause| {
        let message = format!("`{}`, line {}: {cause}", file.display(), cause.line());
        Error::new(Exit::Failed, message, "correct the field, or add it")
    })
}

impl Finding {
    /// Returns the faults of a configuration.
    fn of(queues: &Queues) -> Vec<Self> {
        let mut findings = Vec::new();
        let mut names = BTreeSet::new();
        for (position, queue) in queues.queues.iter().enumerate() {
            let name = || queue.name.clone();
            if !names.insert(&queue.name) {
                findings.push(Self::SameName { queue: name() });
            }
            let takes_all = |other: &&Arc<Queue>| {
                let any_host = other.host.is_empty();
                other.prefix == queue.prefix
                    && (any_host || other.host.eq_ignore_ascii_case(&queue.host))
            };
            if let Some(by) = queues.queues[..position].iter().find(takes_all) {
                findings.push(Self::Hidden { queue: name(), by: by.name.clone() });
            }
            if !queues.services.contains(&queue.service) {
                findings.push(Self::NoService { queue: name(), service: queue.service.clone() });
            }
            if !queue.prefix.starts_with('/') {
                findings.push(Self::Unreachable { queue: name(), prefix: queue.prefix.clone() });
            }
            if queue.stretch < 1.0 {
                findings.push(Self::Unmeetable {
                    queue: name(),
                    stretch: queue.stretch.to_string(),
                    objective_ms: queue.objective_ms,
                });
            }
            let goes_before = |other: &&Arc<Queue>| {
                other.service == queue.service
                    && other.priority < queue.priority
                    && other.objective_ms > queue.objective_ms
                    && other.stretch > queue.stretch
            };
            if let Some(before) = queues.queues.iter().find(goes_before) {
                findings.push(Self::Inverted { queue: name(), before: before.name.clone() });
            }
        }
        if queues.body_limit_bytes < SPECIFICATION_BYTES {
            findings.push(Self::SmallBody { limit_bytes: queues.body_limit_bytes });
        }
        findings
    }
}

/// Returns what differs between two versions, a line for each queue.
fn changes(old: &Queues, new: &Queues) -> Vec<String> {
    let mut lines = Vec::new();
    if old.body_limit_bytes != new.body_limit_bytes {
        let (old, new) = (old.body_limit_bytes, new.body_limit_bytes);
        lines.push(format!("limit of a submission: {old} to {new} bytes"));
    }
    for queue in &old.queues {
        if new.queue_named(&queue.name).is_none() {
            lines.push(format!("queue `{}` is removed", queue.name));
        }
    }
    for queue in &new.queues {
        let Some(before) = old.queue_named(&queue.name) else {
            lines.push(format!("queue `{}` is new", queue.name));
            continue;
        };
        let fields = changed_fields(before, queue);
        if !fields.is_empty() {
            lines.push(format!("queue `{}` changes: {}", queue.name, fields.join(", ")));
        }
    }
    lines
}

fn changed_fields(old: &Queue, new: &Queue) -> Vec<String> {
    let fields = [
        ("host", old.host.clone(), new.host.clone()),
        ("prefix", old.prefix.clone(), new.prefix.clone()),
        ("service", old.service.clone(), new.service.clone()),
        ("priority", old.priority.to_string(), new.priority.to_string()),
        ("attempts", old.max_attempts.to_string(), new.max_attempts.to_string()),
        ("objective in ms", old.objective_ms.to_string(), new.objective_ms.to_string()),
        ("stretch", old.stretch.to_string(), new.stretch.to_string()),
        ("advice", old.advised.to_string(), new.advised.to_string()),
    ];
    let changed = fields.into_iter().filter(|(_, old, new)| old != new);
    changed.map(|(field, old, new)| format!("{field} `{old}` to `{new}`")).collect()
}

impl Display for Audit {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        self.findings.iter().try_for_each(|finding| writeln!(f, "{finding}"))?;
        self.changes.iter().try_for_each(|change| writeln!(f, "{change}"))?;
        if self.findings.is_empty() && self.changes.is_empty() {
            writeln!(f, "no faults, no changes")?;
        }
        Ok(())
    }
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::SameName { queue } => {
                write!(f, "queue `{queue}` is declared twice; give each a name of its own")
            }
            Self::Hidden { queue, by } => write!(
                f,
                "queue `{queue}` gets no request: `{by}` has the same prefix and host; remove one, or \
                 change a prefix"
            ),
            Self::NoService { queue, service } => write!(
                f,
                "queue `{queue}` goes to service `{service}`, which is not declared; declare it, or \
                 correct the name"
            ),
            Self::Unreachable { queue, prefix } => write!(
                f,
                "queue `{queue}` gets no request: its prefix `{prefix}` does not begin with `/`; add it"
            ),
            Self::Unmeetable { queue, stretch, objective_ms } => write!(
                f,
                "queue `{queue}` allows {stretch} times a job's work and {objective_ms} ms; a stretch \
                 of less than 1 can't be met by long jobs; raise it"
            ),
            Self::Inverted { queue, before } => write!(
                f,
                "queue `{queue}` has less time than `{before}`, which goes before it; exchange their \
                 priorities"
            ),
            Self::SmallBody { limit_bytes } => write!(
                f,
                "a submission may have {limit_bytes} bytes, and its specification alone \
                 {SPECIFICATION_BYTES}; raise the limit"
            ),
            Self::NotNewer { version, in_force } => write!(
                f,
                "version {version} would not come into force: {in_force} is; give a higher version"
            ),
        }
    }
}
