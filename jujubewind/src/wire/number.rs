//! 64-bit integers, encoded as text in JSON so that no reader rounds them.

macro_rules! text_number {
    ($(#[$meta:meta])* pub struct $name:ident($inner:ty);) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub $inner);

        impl TryFrom<String> for $name {
            type Error = std::num::ParseIntError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse().map(Self)
            }
        }

        impl From<$name> for String {
            fn from(number: $name) -> Self {
                number.0.to_string()
            }
        }
    };
}

text_number! {
    /// A signed integer, serialized as decimal text.
    pub struct Int64(i64);
}

text_number! {
    /// An unsigned integer, serialized as decimal text.
    pub struct Uint64(u64);
}

impl Int64 {
    /// The value of an optional field, where absence means zero.
    #[must_use]
    pub fn or_zero(field: Option<Self>) -> i64 {
        field.unwrap_or_default().0
    }
}
