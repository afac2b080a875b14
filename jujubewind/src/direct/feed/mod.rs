//! Following the platform's store through another entry.
//!
//! In each failure domain one entry watches the store; the others ask it. Each entry logs the
//! changes that it has applied, so any of them can answer, with the age of what it knows. An entry
//! whose sources are silent or stale watches the store itself.
//!
//! This answers the load of a large fleet: calls to the store grow with the failure domains, not
//! with the entries.

mod answer;
mod change;
mod content;
mod handle;
pub mod limits;
mod log;
mod position;
mod question;
mod role;
mod source;

pub use answer::FeedAnswer;
pub use change::FeedChange;
pub use content::FeedContent;
pub use handle::Feed;
pub use log::FeedLog;
pub use position::FeedPosition;
pub use question::FeedQuestion;
pub use role::FeedRole;
pub use source::FeedSource;
