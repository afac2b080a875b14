//! The operators' configuration: routes, services, organisations and limits, by version.

mod id;
mod limits;
mod organisation;
mod route;
mod route_kind;
mod service;
mod target;
mod version;

pub use id::RouteId;
pub use id::ServiceId;
pub use limits::Limits;
pub use organisation::Organisation;
pub use route::Route;
pub use route_kind::RouteKind;
pub use service::ColdLimit;
pub use service::Service;
pub use target::Target;
pub use version::Table;
