//! Handles callers' requests, from the head to the last byte of the response.

mod engine_reservation;
mod events;
mod exchange;
mod gap_tracker;
mod gateway;
mod handover;
mod hedge;
mod hop;
mod limits;
mod recovery;
mod refusal_sampler;
mod relay;
mod reservations;
mod source;
mod takeover;
mod target;
mod upstream_response;

pub use events::EventSplitter;
pub use events::Events;
pub use gateway::Gateway;
pub use gateway::GatewaySettings;
pub use handover::Handover;
pub use handover::Input as HandoverInput;
pub use handover::Output as HandoverOutput;
pub use handover::TakeoverFailure;
pub use hedge::Contender;
pub use hedge::Ending;
pub use hedge::Hedge;
pub use hedge::Verdict as HedgeVerdict;
pub use recovery::Recovery;
pub use refusal_sampler::RefusalSampler;
pub(in crate::direct) use reservations::Reservations;
