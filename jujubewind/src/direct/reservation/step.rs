//! What is to be done next about a reservation.

use super::Order;
use crate::types::Millis;

/// The next step of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send an order and report its reply.
    Send(Order),
    /// Nothing for this long, unless the request begins to use the memory or ends.
    Sleep(Millis),
    /// The memory cannot serve the request any more: it is no longer held, or was held unused for
    /// too long. The request has to give it up.
    Lost,
    /// Nothing more: no order of this reservation can set memory aside.
    Ended,
}
