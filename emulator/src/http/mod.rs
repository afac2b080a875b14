//! HTTP server on compio for the emulators.

mod call;
mod handler;
mod reply;
mod running_server;
mod server;

pub use call::Call;
pub use handler::Handler;
pub use handler::HangUp;
pub use reply::Chunk;
pub use reply::Reply;
pub use reply::json;
pub use reply::stream;
pub use running_server::RunningServer;
pub use server::serve;
