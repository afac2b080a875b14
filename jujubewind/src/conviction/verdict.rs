//! How a request may run.

use crate::refusal::Refusal;

crate::data! {
    /// The decision about a request before it is placed.
    pub enum Verdict {
        /// It runs without restrictions.
        Run,
        /// It is a suspect: it runs alone on one backend server.
        Alone,
        /// It is convicted and refused.
        Refuse(Refusal),
    }
}
