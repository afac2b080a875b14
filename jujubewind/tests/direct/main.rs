//! The decisions of serving without agents.

mod board;
mod budget;
mod core;
mod events;
mod fixture;
mod ledger;
mod load;
mod logs;
mod plan;
mod player;
mod queue;
mod roster;
