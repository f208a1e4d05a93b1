//! Stand-ins of the platform's store, of workers and of clients for the cases of the review.

pub mod base64;
pub mod case;
pub mod fleet;
pub mod http;
pub mod json;
pub mod record;
pub mod store;
pub mod worker;
