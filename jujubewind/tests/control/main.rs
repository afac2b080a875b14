//! Gossip between entries and agents: many membership state machines in virtual time.

mod conviction;
mod fleet;
mod membership;
