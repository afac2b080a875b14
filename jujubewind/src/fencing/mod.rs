//! Orders to engines, of which an old one must have no effect.
//!
//! Two numbers guard an order: that of the leader that gives it and that of the agent that hands it
//! to the engine. The agent reads the leader's lease before each order, so a leader that lost its
//! lease is refused from the moment a successor has it. The agent's own number tells the engine, or
//! where the engine does not check, the agent's own clock, that no other agent has taken its place.

mod authorized_order;
mod order;
mod order_gate;

pub use authorized_order::AuthorizedOrder;
pub use order::Enforcement;
pub use order::Order;
pub use order_gate::OrderGate;
