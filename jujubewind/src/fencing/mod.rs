//! Fencing of orders to engines, so that a stale order has no effect.
//!
//! Two fencing tokens protect an order: that of the leader that issues it and that of the agent
//! that forwards it to the engine. The agent reads the leader's lease before each order, so a
//! leader that lost its lease is refused from the moment a successor holds it. The agent's own
//! token shows the engine that no other agent has replaced it; where the engine does not check the
//! token, the agent checks its own lease against its clock instead.

mod authorized_order;
mod order;
mod order_gate;

pub use authorized_order::AuthorizedOrder;
pub use order::Enforcement;
pub use order::Order;
pub use order_gate::OrderGate;
