//! How a request may run.

use crate::refusal::Refusal;

crate::data! {
    /// The decision about a request before it is placed.
    pub enum Verdict {
        /// It runs without restrictions.
        Run,
        /// It is a suspect: it runs alone on one backend server.
        Alone,
        /// It is convicted, and a trial is due: it runs alone to show whether it still crashes servers.
        Trial,
        /// It is convicted and refused until the next trial.
        Refuse(Refusal),
    }
}
