//! Limits on what callers send.

use crate::types::Bytes;
use crate::types::Millis;

crate::data! {
    /// Limits on a caller's connection.
    pub struct Limits {
        /// The largest header.
        pub header: Bytes,
        /// The largest body.
        pub body: Bytes,
        /// How long a header, and then a body, may take to arrive.
        pub arrival: Millis,
        /// How long a connection may stay idle.
        pub idle: Millis,
    }
}

impl Default for Limits {
    /// Used until the first table has been read.
    fn default() -> Self {
        Self {
            header: Bytes(16 * 1_024),
            body: Bytes(4 * 1_024 * 1_024),
            arrival: Millis(3_000),
            idle: Millis(15_000),
        }
    }
}
