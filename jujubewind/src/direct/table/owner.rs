//! Who owns an API key.

use std::rc::Rc;

use super::Organisation;

/// The owner of a key that a version lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// An organisation.
    Organisation(Rc<Organisation>),
    /// An organisation whose entry cannot be read, so that nothing may run for it.
    Unreadable,
}
