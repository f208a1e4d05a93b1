//! Transactions of the key-value service: operations that all take effect if every condition holds,
//! or none.

use super::*;

/// A transaction: all operations take effect if every condition holds, otherwise none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Txn {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Operations, at most one per key.
    pub operations: Vec<Operation>,
}

/// A condition on a key.
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
    /// The last change of the key has this revision.
    Modified {
        /// The key.
        key: String,
        /// The revision.
        revision: i64,
    },
}

/// An operation on a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Deletes the key, if it exists.
    Delete {
        /// The key.
        key: String,
    },
    /// Writes the key.
    Put {
        /// The value, at most `store::MAX_VALUE_BYTES` long.
        bytes: Vec<u8>,
        /// The key.
        key: String,
        /// The lease that the key is attached to.
        lease: Option<Lease>,
    },
}

/// Result of a transaction.
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
