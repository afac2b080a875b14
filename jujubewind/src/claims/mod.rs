//! At most one run of a call that may not be repeated.
//!
//! A claim in the platform's store stands before each such call. It is created by compare-and-swap,
//! marked as dispatched by compare-and-swap just before the one send, and ends with the answer,
//! which repeats of the key are given. A claim costs three writes and no read when nothing fails;
//! [`crate::store::Batch`] lets several claims of one entry share them.

mod answer;
mod body;
mod body_hash;
mod call_key;
mod claimant;
mod draft;
mod error;
mod goal;
mod held;
mod holder;
mod input;
mod limits;
mod output;
mod pacing;
mod phase;
mod record;
mod retention;
mod send_permit;

pub use answer::Answer;
pub use answer::DispatchOutcome;
pub use body::Body;
pub use body_hash::BodyHash;
pub use call_key::CallKey;
pub use claimant::Claimant;
pub use draft::Draft;
pub use error::Error;
pub use error::Result;
pub use held::Claimed;
pub use held::Dispatched;
pub use held::Held;
pub use holder::Holder;
pub use input::Input;
pub use limits::Limits;
pub use output::Output;
pub use phase::Event;
pub use phase::Phase;
pub use record::Kept;
pub use record::Record;
pub use retention::Retention;
pub use send_permit::SendPermit;
