//! At-most-once execution of calls that are not idempotent.
//!
//! Each such call first writes a claim to the platform's store. The claim is created by
//! compare-and-swap, marked as dispatched by compare-and-swap just before the single send, and ends
//! with the answer, which is replayed to later calls with the same key. A claim costs three writes
//! and no read when nothing fails; [`crate::store::Batch`] lets several claims of one entry share
//! them.

mod answer;
mod body;
mod body_hash;
mod call_key;
mod claimant;
mod draft;
mod error;
mod goal;
mod held_claim;
mod holder;
mod input;
mod limits;
mod output;
mod phase;
mod record;
mod retention;
mod send_permit;
mod store_backoff;

pub use answer::Answer;
pub use answer::DispatchOutcome;
pub use body::Body;
pub use body_hash::BodyHash;
pub use call_key::CallKey;
pub use claimant::Claimant;
pub use draft::Draft;
pub use error::Error;
pub use error::Result;
pub use held_claim::Claimed;
pub use held_claim::Dispatched;
pub use held_claim::HeldClaim;
pub use holder::Holder;
pub use input::Input;
pub use limits::Limits;
pub use output::Output;
pub use phase::Event;
pub use phase::Phase;
pub use record::Record;
pub use record::StoredAnswer;
pub use retention::Retention;
pub use send_permit::SendPermit;
