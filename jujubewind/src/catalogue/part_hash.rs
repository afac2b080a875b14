//! The address of a catalogue part.

digest! {
    /// The SHA-256 digest of a part's stored text, under which it is kept.
    pub struct PartHash;
}
