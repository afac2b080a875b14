//! The classes of work that a catalogue entry can name.

crate::label! {
    /// How soon a request must be served; the most urgent class comes first.
    pub enum Class {
        /// Someone waits at a counter for a short answer: a balance read, a lookup.
        Urgent = "urgent",
        /// Someone waits, whatever the length of the prompt.
        Interactive = "interactive",
        /// The answer may wait, overnight at the longest.
        Batch = "batch",
    }
}
