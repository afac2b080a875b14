//! Whether a request may run, for what it holds.

use super::Fingerprint;
use crate::refusal::Refusal;

/// The decision about a request with all its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Nothing in it is convicted.
    Run,
    /// These are convicted and due for a trial, which the request would be.
    Trial(Vec<Fingerprint>),
    /// This is convicted, and no trial of it is due.
    Refuse(Fingerprint, Refusal),
}
