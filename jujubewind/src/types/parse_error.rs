//! The error type of the `FromStr` implementations in this crate.

/// The maximum length of a name.
const MAX_NAME_BYTES: usize = 128;
/// The maximum length of a name that others choose freely.
const MAX_TEXT_BYTES: usize = 1_024;

/// A text that cannot be parsed as the expected type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not a valid {kind}: {remedy}", remedy = remedy(kind))]
pub struct ParseError {
    kind: &'static str,
    text: String,
}

impl ParseError {
    /// Creates the error for a `text` that is not a valid `kind`.
    #[must_use]
    pub fn new(kind: &'static str, text: &str) -> Self {
        Self {
            kind,
            text: text.chars().take(MAX_NAME_BYTES).collect(),
        }
    }
}

/// Whether `text` is a name: letters, digits and `-_.:/` only, at most 128 bytes.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed)
}

/// Whether `text` can stand in a header and a log line as it is: no control characters, no white
/// space at its ends, at most 1,024 bytes.
#[must_use]
pub fn is_text(text: &str) -> bool {
    let is_trimmed = text.trim() == text && !text.is_empty();
    is_trimmed && text.len() <= MAX_TEXT_BYTES && !text.chars().any(char::is_control)
}

fn remedy(kind: &str) -> &'static str {
    match kind {
        "EntryId" | "OrgId" | "ModelId" | "NodeId" | "DomainId" => {
            "write 1 to 128 letters, digits or -_.:/"
        }
        "OrgName" | "RouteId" | "ServiceId" | "RegionId" => {
            "write 1 to 1,024 bytes without control characters or white space at the ends"
        }
        "RequestId" | "AttemptId" | "ChangeId" => "write 32 hexadecimal digits",
        "KeyHash" | "ContentHash" => "write the 64 hexadecimal digits of a SHA-256 digest",
        "RequestRate" => "write a decimal number of requests a second",
        "Tokens" | "Bytes" | "Millis" | "Revision" | "Fence" | "Incarnation" | "Credit" => {
            "write a whole number"
        }
        _ => "write one of the names in the documentation",
    }
}
