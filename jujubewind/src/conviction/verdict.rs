//! How a request may run.

use crate::refusal::Refusal;

crate::data! {
    /// What is decided about a request before it is placed.
    pub enum Verdict {
        /// It runs like any other.
        Run,
        /// It is a suspect: it runs alone on one backend server.
        Alone,
        /// It is convicted.
        Refuse(Refusal),
    }
}
