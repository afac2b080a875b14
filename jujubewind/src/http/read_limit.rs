//! A limit on the time that a caller takes to read a reply.

use crate::types::Millis;

/// The time after which the connection of a reply whose body has not ended is closed; an extension
/// of the reply.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimit(pub Millis);

impl ReadLimit {
    /// How long a caller may take to read a response that is no stream: longer than any caller waits for
    /// one, as what is held for it counts towards the memory of this process.
    pub const REPLY: Self = Self(Millis(60_000));
}
