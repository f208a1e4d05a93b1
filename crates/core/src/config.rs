//! The operators' configuration: services, batch classes, teams and the VMs that both share.

use super::*;

/// Everything that an operator declares. Accepted as a whole, under a revision that only rises.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Batch classes, unique by name.
    pub classes: Vec<Class>,
    /// Urgent services, unique by name.
    pub services: Vec<Service>,
    /// Teams, unique by name.
    pub teams: Vec<Team>,
    /// VMs that services and batch work share, unique by name.
    pub vms: Vec<Vm>,
}

/// A configuration that an operator's submission put in force, as the key-value service holds it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// The operator who submitted it, for display only.
    #[serde(default)]
    pub by: String,
    /// What was submitted.
    pub config: Arc<Config>,
    /// The submissions before it, oldest first. Limited to `submission::MAX_PAST`.
    #[serde(default)]
    pub past: Vec<Past>,
    /// Its position in the order of accepted submissions.
    pub revision: Revision,
    /// The id of the submission, by which its writer recognises it after a lost answer.
    pub submission: String,
}

/// An earlier submission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Past {
    /// The revision that it was accepted under.
    pub revision: Revision,
    /// The id of the submission.
    pub submission: String,
}

/// Counts the accepted configurations; a process refuses any revision lower than its own.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// A kind of batch work whose tasks disturb services alike.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Whether its tasks write checkpoints.
    pub checkpoints: bool,
    /// The class.
    pub name: Name,
}

/// An urgent service.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The largest request body, in bytes.
    #[schemars(range(min = 1))]
    pub body_limit_bytes: u64,
    /// Requests in progress that one caller may have at one entry, at least 1.
    #[schemars(range(min = 1))]
    pub caller_concurrency: u32,
    /// The time to answer that a request has unless it says less, in milliseconds.
    #[schemars(range(min = 1, max = 3_600_000))]
    pub deadline_ms: u64,
    /// Whether requests may run again after an unknown outcome, unless they say otherwise.
    pub idempotent: bool,
    /// The service.
    pub name: Name,
    /// What its users are promised.
    pub objective: Objective,
    /// What each VM that hosts it keeps free for it.
    pub reserve: Resources,
}

/// What a service promises.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// The latency that counts as in time, in milliseconds.
    #[schemars(range(min = 1, max = 3_600_000))]
    pub latency_ms: u64,
    /// Share of requests to be answered in time, above 0 and below 1.
    #[schemars(extend("exclusiveMinimum" = 0.0, "exclusiveMaximum" = 1.0))]
    pub share: f64,
}

/// A team and its share of batch capacity.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The team.
    pub name: Name,
    /// The most its running tasks may use at once.
    pub quota: Resources,
}

/// A VM that runs workers' tasks and endpoints of services.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Where its worker and its endpoints listen, as `IP:PORT`.
    #[schemars(extend("format" = "ip-port"))]
    pub address: SocketAddr,
    /// Connections that it takes, at least 1.
    #[schemars(range(min = 1))]
    pub connections: u32,
    /// The VM, as the VM list names it.
    pub name: Name,
    /// The rack that it sits in.
    pub rack: Name,
    /// What it holds.
    pub resources: Resources,
    /// The services that it hosts.
    pub services: Vec<Name>,
    /// Requests that it runs at once, at least 1.
    #[schemars(range(min = 1))]
    pub slots: u32,
    /// The availability zone that it sits in.
    pub zone: Name,
}
