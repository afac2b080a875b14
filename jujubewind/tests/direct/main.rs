//! Placement, queueing and shared state of an entry that reaches backend servers without agents.

mod budget;
mod core;
mod departures;
mod entry_state;
mod events;
mod feed;
mod feed_fleet;
mod fixture;
mod handover;
mod hedge;
mod ledger;
mod load;
mod logs;
mod memory_hold;
mod notices;
mod peer_routes;
mod plan;
mod poison_parts;
mod queue;
mod recovery;
mod reservation;
mod roster;
mod simulation;
mod stale_views;
mod takeover;
mod whole_lists;
