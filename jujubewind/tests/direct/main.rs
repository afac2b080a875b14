//! The decisions of serving without agents.

mod budget;
mod core;
mod entry_state;
mod events;
mod fixture;
mod ledger;
mod load;
mod logs;
mod plan;
mod player;
mod queue;
mod roster;
