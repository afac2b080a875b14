//! Counts that the control task publishes.

/// Sizes of the control task's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Listed backend servers.
    pub servers: usize,
    /// Other entries that sent a digest recently.
    pub peers: usize,
    /// Requests that are queued for a backend server.
    pub waiting: usize,
    /// Backend servers whose limit on requests is in force.
    pub limited: usize,
    /// Backend servers that are cold.
    pub cold: usize,
    /// Evacuated failure domains.
    pub evacuated: usize,
}
