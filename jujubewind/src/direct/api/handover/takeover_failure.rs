//! Why a backend server does not take a stream over.

/// What became of a request to another backend server that will not respond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverFailure {
    /// It was sent and may have run.
    MayHaveRun,
    /// Backend servers rejected it, or none will ever take it.
    Rejected,
    /// Nothing was sent; a backend server may be free a moment later.
    Unsent,
}
