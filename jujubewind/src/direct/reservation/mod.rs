//! The life of a memory reservation at one engine, without I/O or clocks.
//!
//! An order without an answer may never be carried out, or only seconds later. The reservation
//! therefore outlives the request that it was made for until no such order can set memory aside
//! any more.

mod limits;
mod memory_hold;
mod order;
mod order_reply;
mod step;

pub use limits::ReservationLimits;
pub use memory_hold::MemoryHold;
pub use order::Order;
pub use order_reply::OrderReply;
pub use step::Step;
