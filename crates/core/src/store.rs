//! What a cell's owner asks of the key-value service, and what it answers.

use super::*;

/// A call to the key-value service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub enum Request {
    /// Commit a transaction.
    Commit(Txn),
    /// Grant a lease.
    Grant,
    /// Keep a lease alive.
    KeepAlive(i64),
    /// Read every key under a prefix.
    List(String),
    /// Read some keys.
    Read(Vec<String>),
}

/// What became of a call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The transaction took effect.
    Committed,
    /// A condition of the transaction did not hold, and nothing was done.
    Conflict,
    /// The call may have taken effect, or may still.
    Doubt,
    /// A lease was granted.
    Granted(i64),
    /// The lease was kept alive.
    Kept,
    /// The lease is over.
    Lapsed,
    /// The call was refused or not sent; nothing was done.
    Refused,
    /// What was read; absent keys are left out.
    Values(Vec<Value>),
}

/// A key and its value.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Value {
    /// The value.
    pub bytes: Vec<u8>,
    /// The key.
    pub key: String,
}

/// Operations that are carried out together if every condition holds.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Txn {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is then done.
    pub operations: Vec<Operation>,
}

/// What must hold for a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub enum Condition {
    /// The key has no value.
    Absent(String),
    /// The key has this value.
    Equals(Value),
}

/// What a transaction does.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub enum Operation {
    /// Remove the key.
    Delete(String),
    /// Set the key, for as long as the lease lasts where one is given.
    Put {
        /// The lease.
        lease: Option<i64>,
        /// The key and its value.
        value: Value,
    },
}
