//! Commands that the agent's core issues.

use crate::rpc::message::Start;
use crate::types::AttemptId;

/// A side effect that the daemon performs for the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Submit the attempt to the engine; a lower priority is served first.
    Submit(Box<Start>, u8),
    /// Export the attempt's KV cache, which pauses it.
    Export(AttemptId),
    /// Import the attempt's KV cache, which resumes it.
    Import(AttemptId, String),
    /// Drop an export that will not be imported.
    Drop(String),
    /// Cancel the attempt at the engine.
    Stop(AttemptId),
    /// Release a part of a group at the engine.
    Release(AttemptId),
    /// Answer the pending pull for the attempt's tokens.
    Wake(AttemptId),
}
