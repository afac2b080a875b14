//! Macros that declare data types with their common derives and conversions.

/// Declares a plain data type with the derives shared by all messages and records.
///
/// ```
/// jujubewind::data! {
///     /// A point in the plane.
///     pub struct Point { pub x: u64, pub y: u64 }
/// }
/// assert_eq!(Point { x: 1, y: 2 }.clone().y, 2);
/// ```
#[macro_export]
macro_rules! data {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )+
    };
}

/// Declares a field-less enum for reasons, metric labels and state names.
///
/// Each variant has a text form, used by `Display`, `FromStr` and serde.
#[macro_export]
macro_rules! label {
    ($(#[$meta:meta])* pub enum $name:ident { $($(#[$inner:meta])* $variant:ident = $text:literal,)+ }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize)]
        pub enum $name { $($(#[$inner])* #[serde(rename = $text)] $variant,)+ }

        impl $name {
            /// All variants, in order of declaration.
            #[allow(dead_code, reason = "not every private label is iterated over")]
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// The text form used in logs, metrics and messages.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)+ }
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $crate::types::ParseError;

            fn from_str(text: &str) -> ::std::result::Result<Self, Self::Err> {
                match text {
                    $($text => Ok(Self::$variant),)+
                    _ => Err($crate::types::ParseError::new(stringify!($name), text)),
                }
            }
        }
    };
}

/// Declares a number with a unit, with `Display`, `FromStr`, ordering and saturating arithmetic.
#[macro_export]
macro_rules! quantity {
    ($(#[$meta:meta])* pub struct $name:ident($inner:ty), $unit:literal;) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Zero.
            pub const ZERO: Self = Self(0);

            /// The number without its unit.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Adds, saturating at the largest value.
            #[must_use]
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Subtracts, saturating at zero.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                write!(f, "{}{}", self.0, $unit)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $crate::types::ParseError;

            fn from_str(text: &str) -> ::std::result::Result<Self, Self::Err> {
                text.strip_suffix($unit)
                    .unwrap_or(text)
                    .parse()
                    .map(Self)
                    .map_err(|_| $crate::types::ParseError::new(stringify!($name), text))
            }
        }

        impl ::std::iter::Sum for $name {
            fn sum<I: Iterator<Item = Self>>(items: I) -> Self {
                items.fold(Self::ZERO, Self::saturating_add)
            }
        }
    };
}

/// Declares a name type: a short text without spaces or control characters, or one for which
/// another rule holds.
#[macro_export]
macro_rules! name {
    ($(#[$meta:meta])* pub struct $name:ident;) => {
        $crate::name! { $(#[$meta])* pub struct $name if $crate::types::is_name; }
    };
    ($(#[$meta:meta])* pub struct $name:ident if $rule:path;) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(::std::sync::Arc<str>);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $crate::types::ParseError;

            fn from_str(text: &str) -> ::std::result::Result<Self, Self::Err> {
                if $rule(text) {
                    Ok(Self(text.into()))
                } else {
                    Err($crate::types::ParseError::new(stringify!($name), text))
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::types::ParseError;

            fn try_from(text: String) -> ::std::result::Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.as_str().to_owned()
            }
        }
    };
}

/// Declares a random identifier of 128 bits, written as 32 hexadecimal digits.
#[macro_export]
macro_rules! random_id {
    ($(#[$meta:meta])* pub struct $name:ident;) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(u128);

        impl $name {
            /// Generates an identifier from `rng`.
            pub fn random(rng: &mut impl ::rand::Rng) -> Self {
                Self((u128::from(rng.next_u64()) << 64) | u128::from(rng.next_u64()))
            }

            /// Creates the identifier with the given number, for tests and fixtures.
            #[must_use]
            pub const fn from_number(number: u128) -> Self {
                Self(number)
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $crate::types::ParseError;

            fn from_str(text: &str) -> ::std::result::Result<Self, Self::Err> {
                u128::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| $crate::types::ParseError::new(stringify!($name), text))
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::types::ParseError;

            fn try_from(text: String) -> ::std::result::Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }
    };
}
