//! What entries and agents tell one another, in many machines under virtual time.

mod conviction;
mod fleet;
mod membership;
