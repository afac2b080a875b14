//! Names that the operators choose, of any characters that a header can hold.

crate::name! {
    /// The name of a route.
    pub struct RouteId if crate::types::is_text;
}

crate::name! {
    /// The name of a service: a set of backend servers that answer the same requests.
    pub struct ServiceId if crate::types::is_text;
}

crate::name! {
    /// The name of an organisation, as backend servers are told it.
    pub struct OrgName if crate::types::is_text;
}
