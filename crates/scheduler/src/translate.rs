//! Conversions between the types of the core and those of the platform and the wire.

use super::*;

/// Converts a transaction to the type of the platform's client.
pub fn txn(txn: &store::Txn) -> platform::store::Txn {
    platform::store::Txn {
        conditions: txn.conditions.iter().map(condition).collect(),
        operations: txn.operations.iter().map(operation).collect(),
    }
}

/// Returns the reply for a failed call to the key-value service, by what is known of its effect.
pub fn failure(error: &platform::Error) -> store::Reply {
    match error.kind {
        Kind::Lapsed => store::Reply::Lapsed,
        Kind::Refused | Kind::Unsent => store::Reply::Refused,
        Kind::Damaged | Kind::Doubt => store::Reply::Doubt,
    }
}

/// Converts a value to the type of the core.
pub fn value(value: platform::store::Value) -> store::Value {
    store::Value { bytes: value.bytes, key: value.key }
}

/// Converts an answer to its reply on the wire.
pub fn answer(answer: Answer) -> Reply {
    match answer {
        Answer::Done => Reply::Done,
        Answer::Explain(lines) => Reply::Explain(lines),
        Answer::Job(status) => Reply::Job(status),
        Answer::Refused { reason, retry_ms, text } => {
            Reply::Refused { reason: refusal(reason), retry_ms, text }
        }
    }
}

fn condition(condition: &store::Condition) -> platform::store::Condition {
    match condition {
        store::Condition::Absent(key) => platform::store::Condition::Absent { key: key.clone() },
        store::Condition::Equals(value) => platform::store::Condition::Equals {
            bytes: value.bytes.clone(),
            key: value.key.clone(),
        },
    }
}

fn operation(operation: &store::Operation) -> platform::store::Operation {
    match operation {
        store::Operation::Delete(key) => platform::store::Operation::Delete { key: key.clone() },
        store::Operation::Put { lease, value } => platform::store::Operation::Put {
            bytes: value.bytes.clone(),
            key: value.key.clone(),
            lease: lease.map(platform::store::Lease),
        },
    }
}

fn refusal(refusal: answer::Refusal) -> reply::Refusal {
    match refusal {
        answer::Refusal::Invalid => reply::Refusal::Invalid,
        answer::Refusal::Leaving => reply::Refusal::Leaving,
        answer::Refusal::NotOwner => reply::Refusal::NotOwner,
        answer::Refusal::Overloaded => reply::Refusal::Overloaded,
        answer::Refusal::StoreUnavailable => reply::Refusal::StoreUnavailable,
        answer::Refusal::Unknown => reply::Refusal::Unknown,
    }
}
