//! The parts of a configuration.

crate::label! {
    /// A part of a configuration that can be unreadable by itself.
    pub enum TablePart {
        /// The version as a whole.
        Version = "version",
        /// A route.
        Routes = "routes",
        /// A service.
        Services = "services",
        /// The limits on what callers send.
        Limits = "limits",
        /// An organisation and its keys.
        Organisations = "organisations",
    }
}
