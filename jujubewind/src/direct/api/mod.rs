//! Callers' requests: from the head to the last byte of the answer.

mod events;
mod exchange;
mod gateway;
mod hop;
mod limits;
mod opened;
mod pauses;
mod refusal_sampler;
mod relay;
mod reservations;
mod target;

pub use events::EventSplitter;
pub use events::Events;
pub use gateway::Gateway;
pub use gateway::GatewaySettings;
pub use refusal_sampler::RefusalSampler;
pub(in crate::direct) use reservations::Reservations;
