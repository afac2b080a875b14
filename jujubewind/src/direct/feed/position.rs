//! A point in the store's history.

crate::data! {
    /// A revision of the store; those of different eras cannot be compared.
    #[derive(Copy, Default)]
    pub struct FeedPosition {
        /// The number of times that the store was restored from a copy.
        pub era: u64,
        /// The revision.
        pub revision: u64,
    }
}
