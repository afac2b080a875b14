//! A value whose memory is counted.

use std::ops::Deref;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use super::Charge;

/// The result of reading a value.
type Result<T, E> = std::result::Result<T, E>;

/// What clones of a value share.
#[derive(Debug, Default)]
struct Shared<T> {
    value: T,
    /// `None` if the value is not counted.
    _charge: Option<Charge>,
}

/// A value that its clones share, counted in an account until the last of them is dropped.
#[derive(Debug, Default)]
pub struct Held<T>(Arc<Shared<T>>);

impl<T> Held<T> {
    /// Counts a value with `charge`.
    #[must_use]
    pub fn counted(value: T, charge: Charge) -> Self {
        Self(Arc::new(Shared {
            value,
            _charge: Some(charge),
        }))
    }

    /// Counts a value that was just received; one that is shared already stays as it is.
    #[must_use]
    pub fn with_charge(self, charge: Charge) -> Self {
        match Arc::try_unwrap(self.0) {
            Ok(shared) => Self::counted(shared.value, charge),
            Err(shared) => Self(shared),
        }
    }
}

impl<T: Clone> Held<T> {
    /// The value, which is counted no longer.
    #[must_use]
    pub fn into_value(self) -> T {
        match Arc::try_unwrap(self.0) {
            Ok(shared) => shared.value,
            Err(shared) => shared.value.clone(),
        }
    }
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.0.value.as_ref()
    }
}

impl<T> From<T> for Held<T> {
    fn from(value: T) -> Self {
        Self(Arc::new(Shared {
            value,
            _charge: None,
        }))
    }
}

impl<T> Clone for Held<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> Deref for Held<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0.value
    }
}

impl<T: PartialEq> PartialEq for Held<T> {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0) || self.0.value == other.0.value
    }
}

impl<T: Eq> Eq for Held<T> {}

impl<T: Serialize> Serialize for Held<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.value.serialize(serializer)
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Held<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        T::deserialize(deserializer).map(Self::from)
    }
}
