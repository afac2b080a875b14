//! HTTP server on compio: connections, bodies with limits and event streams.

mod body;
mod counted_connection;
mod error;
mod events;
mod fair_read;
mod handshake_filter;
mod idle_limits;
mod idle_sleep;
mod idle_timer;
mod limited_body;
mod read_limit;
mod response;
mod server;
mod server_handle;
mod truncated_body;

pub use body::read_body;
pub use error::Error;
pub use error::Result;
pub use events::EventParser;
pub use fair_read::FairRead;
pub use idle_limits::IdleLimits;
pub use read_limit::ReadLimit;
pub use response::Reply;
pub use response::ReplyBody;
pub use response::bytes;
pub use response::event_stream;
pub use response::json;
pub use response::json_bytes;
pub use response::plain;
pub use response::streamed;
pub use server::END_LIMIT;
pub use server::Handler;
pub use server::serve;
pub use server_handle::ServerHandle;
pub use truncated_body::TruncatedBody;
