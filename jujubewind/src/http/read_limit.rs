//! A limit on the time that a caller takes to read a reply.

use crate::types::Millis;

/// The time after which the connection of a reply whose body has not ended is closed; an extension
/// of the reply.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimit(pub Millis);
