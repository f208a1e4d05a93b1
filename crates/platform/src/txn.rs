//! Transactions: conditions and operations that take effect together or not at all.

use super::*;

/// Operations that take effect together, if every condition holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Txn {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is done, each key at most once.
    pub operations: Vec<Operation>,
}

/// Something that must hold of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The key does not exist.
    Absent {
        /// The key.
        key: String,
    },
    /// The key has this value.
    Equals {
        /// The value.
        bytes: Vec<u8>,
        /// The key.
        key: String,
    },
    /// The key's last change has this revision.
    Modified {
        /// The key.
        key: String,
        /// The revision.
        revision: i64,
    },
}

/// Something done to a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Deletes the key, if it exists.
    Delete {
        /// The key.
        key: String,
    },
    /// Writes the key.
    Put {
        /// The value, at most 1 MB.
        bytes: Vec<u8>,
        /// The key.
        key: String,
        /// The lease that the key goes with.
        lease: Option<Lease>,
    },
}

/// What became of a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Commit {
    /// Revision of the store after it.
    pub revision: i64,
    /// Whether the conditions held and the operations took effect.
    pub succeeded: bool,
}

/// A lease of the key-value service.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Lease(pub i64);

impl From<&Txn> for gateway::Txn {
    fn from(txn: &Txn) -> Self {
        Self {
            compare: txn.conditions.iter().map(gateway::Compare::from).collect(),
            success: txn.operations.iter().map(gateway::Request::from).collect(),
        }
    }
}

impl From<&Condition> for gateway::Compare {
    fn from(condition: &Condition) -> Self {
        let base = Self { result: "EQUAL".into(), ..Self::default() };
        match condition {
            Condition::Absent { key } => Self {
                key: key.as_str().into(),
                target: "VERSION".into(),
                version: Some(gateway::Long(0)),
                ..base
            },
            Condition::Equals { bytes, key } => Self {
                key: key.as_str().into(),
                target: "VALUE".into(),
                value: Some(gateway::Blob(bytes.clone())),
                ..base
            },
            Condition::Modified { key, revision } => Self {
                key: key.as_str().into(),
                mod_revision: Some(gateway::Long(*revision)),
                target: "MOD".into(),
                ..base
            },
        }
    }
}

impl From<&Operation> for gateway::Request {
    fn from(operation: &Operation) -> Self {
        match operation {
            Operation::Delete { key } => {
                Self { request_delete_range: Some(gateway::Range::key(key)), ..Self::default() }
            }
            Operation::Put { bytes, key, lease } => Self {
                request_put: Some(gateway::Put {
                    key: key.as_str().into(),
                    lease: gateway::Long(lease.map_or(0, |lease| lease.0)),
                    value: gateway::Blob(bytes.clone()),
                }),
                ..Self::default()
            },
        }
    }
}
