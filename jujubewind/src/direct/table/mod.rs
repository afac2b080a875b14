//! The operators' configuration: routes, services, organisations and limits, by version.

mod id;
mod limits;
mod organisation;
mod owner;
mod part;
mod route;
mod route_kind;
mod service;
mod target;
mod unread;
mod version;

pub use id::OrgName;
pub use id::RouteId;
pub use id::ServiceId;
pub use limits::Limits;
pub use organisation::Organisation;
pub use owner::Owner;
pub use part::TablePart;
pub use route::Route;
pub use route_kind::RouteKind;
pub use service::ColdLimit;
pub use service::Service;
pub use target::Target;
pub use unread::Unread;
pub use version::Table;
