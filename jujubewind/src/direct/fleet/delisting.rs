//! How the list of backend servers says that one leaves.

crate::label! {
    /// Why a backend server that was listed takes no more requests.
    pub enum Delisting {
        /// It is listed as draining; this incarnation never takes requests again.
        Draining = "draining",
        /// Its registration was removed; it may register again.
        Removed = "removed",
    }
}
