//! What memory is held for.

/// Holdings up to this size may use the whole account, so that small requests are served beside large
/// ones.
const SMALL_BYTES: usize = 16 * 1_024;
/// Larger requests than this leave more room to others.
const MEDIUM_BYTES: usize = 256 * 1_024;
/// The parts of an account that the ceilings are counted in.
const PARTS: usize = 8;

/// What memory is held for, which decides how much of the account it leaves to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request that has not run: it can be refused.
    Request,
    /// A response to a request that has run.
    Response,
}

impl Purpose {
    /// The use of an account of `limit` bytes up to which a holding may grow to `own` bytes.
    pub(super) const fn ceiling(self, limit: usize, own: usize) -> usize {
        let part = limit / PARTS;
        match self {
            _ if own <= SMALL_BYTES => limit,
            Self::Response => limit - part,
            Self::Request if own <= MEDIUM_BYTES => limit - 2 * part,
            Self::Request => limit - 3 * part,
        }
    }
}
