//! Names of routes and services.

crate::name! {
    /// The name of a route.
    pub struct RouteId;
}

crate::name! {
    /// The name of a service: a set of backend servers that answer the same requests.
    pub struct ServiceId;
}
