//! Identifiers, quantities and times shared by all modules.

mod class;
mod id;
mod monotime;
mod parse_error;
mod quantity;
mod request_rate;

pub use class::Class;
pub use id::AttemptId;
pub use id::ChangeId;
pub use id::DomainId;
pub use id::EntryId;
pub use id::ModelId;
pub use id::NodeId;
pub use id::OrgId;
pub use id::RegionId;
pub use id::RequestId;
pub use monotime::MonoTime;
pub use parse_error::ParseError;
pub use parse_error::is_name;
pub use parse_error::is_text;
pub use quantity::Bytes;
pub use quantity::Credit;
pub use quantity::Fence;
pub use quantity::Incarnation;
pub use quantity::Millis;
pub use quantity::Revision;
pub use quantity::Tokens;
pub use request_rate::RequestRate;
