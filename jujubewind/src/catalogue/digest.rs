//! Macro for SHA-256 digest types.

/// Declares a SHA-256 digest type that is displayed as 64 hexadecimal digits.
macro_rules! digest {
    ($(#[$meta:meta])* pub struct $name:ident;) => {
        $(#[$meta])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name([u8; 32]);

        impl $name {
            /// Computes the digest of `text`.
            #[must_use]
            pub fn of(text: &str) -> Self {
                Self(<::sha2::Sha256 as ::sha2::Digest>::digest(text).into())
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
            }
        }

        impl ::std::fmt::Debug for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                write!(f, "{}({self})", stringify!($name))
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $crate::types::ParseError;

            fn from_str(text: &str) -> ::std::result::Result<Self, Self::Err> {
                $crate::catalogue::digest::parse(text)
                    .map(Self)
                    .ok_or_else(|| $crate::types::ParseError::new(stringify!($name), text))
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::types::ParseError;

            fn try_from(text: String) -> ::std::result::Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(digest: $name) -> Self {
                digest.to_string()
            }
        }
    };
}

/// Parses 64 hexadecimal digits of either case.
pub(super) fn parse(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}
