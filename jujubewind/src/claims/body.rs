//! Binary bodies inside JSON records.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;
use serde::Serialize;

/// Bytes serialized as base64, about a third of the size of a JSON array of numbers.
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
