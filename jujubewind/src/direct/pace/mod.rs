//! How many requests this entry may send to backend servers that limit those of all entries
//! together.

pub mod limits;
mod recent_sends;
mod send_pace;
mod send_paces;
mod share;

pub use send_pace::SendPace;
pub use send_paces::SendPaces;
pub use share::Share;
