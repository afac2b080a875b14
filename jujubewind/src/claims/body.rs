//! A body of bytes inside a JSON record.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;
use serde::Serialize;

/// Bytes that are written as base64, a third of the length that JSON's numbers would take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Body(pub Vec<u8>);

impl TryFrom<String> for Body {
    type Error = base64::DecodeError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        BASE64_STANDARD.decode(text).map(Self)
    }
}

impl From<Body> for String {
    fn from(body: Body) -> Self {
        BASE64_STANDARD.encode(body.0)
    }
}
