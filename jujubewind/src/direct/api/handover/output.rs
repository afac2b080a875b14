//! What is decided about a stream.

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Read from the backend servers that there are.
    Read,
    /// Find out whether the request may be sent again.
    TakeRetry,
    /// Send the rest of the request to another backend server as well.
    AskOther,
    /// Give up the other backend servers and read on.
    DropOther,
    /// Give up the backend server, if it is still there, and go on with the other one that began.
    Switch,
    /// End the answer, which is complete.
    End,
    /// End the answer, which is not complete, for this cause.
    Truncate(&'static str),
}
