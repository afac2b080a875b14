//! What the agent's core wants done.

use crate::rpc::message::Start;
use crate::types::AttemptId;

/// One thing for the shell around the core to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Give the attempt to the engine; a lower priority runs sooner.
    Submit(Box<Start>, u8),
    /// Export the attempt's KV cache, which pauses it.
    Export(AttemptId),
    /// Import the attempt's KV cache, which resumes it.
    Import(AttemptId, String),
    /// Drop an export that nobody will import.
    Drop(String),
    /// Take the attempt from the engine.
    Stop(AttemptId),
    /// Give a part of a group back to the engine.
    Release(AttemptId),
    /// Answer whoever waits for the attempt's tokens.
    Wake(AttemptId),
}
