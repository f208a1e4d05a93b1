//! Requests of a cell's owner to the key-value service, and the replies.

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

/// The result of a call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The transaction took effect.
    Committed,
    /// A condition of the transaction did not hold, so nothing was done.
    Conflict,
    /// The result is unknown: the call may have taken effect, or may do so later.
    Doubt,
    /// A lease was granted.
    Granted(i64),
    /// The lease was kept alive.
    Kept,
    /// The lease has expired.
    Lapsed,
    /// The call was refused or not sent; nothing was done.
    Refused,
    /// The values that were read; absent keys are left out.
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

/// A transaction: operations that take effect together if every condition holds.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Txn {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Operations to carry out.
    pub operations: Vec<Operation>,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub enum Condition {
    /// The key has no value.
    Absent(String),
    /// The key has this value.
    Equals(Value),
}

/// An operation of a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub enum Operation {
    /// Remove the key.
    Delete(String),
    /// Set the key. If a lease is given, the key is removed when the lease ends.
    Put {
        /// The lease.
        lease: Option<i64>,
        /// The key and its value.
        value: Value,
    },
}
