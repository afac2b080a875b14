//! One version of the operators' configuration.

use std::collections::HashMap;
use std::rc::Rc;

use super::Limits;
use super::Organisation;
use super::Owner;
use super::Route;
use super::Service;
use super::ServiceId;
use super::Unread;
use crate::types::Revision;

/// Routes by host, services by name and organisations by API key.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The version; the highest one is active.
    pub version: Revision,
    /// Limits on what callers send.
    pub limits: Limits,
    /// What of the version could not be read.
    pub unread: Unread,
    hosts: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<ServiceId, Rc<Service>>,
    keys: HashMap<String, Owner>,
    needs_key: bool,
}

impl Table {
    /// Creates an empty table with the given version.
    #[must_use]
    pub fn new(version: Revision, limits: Limits) -> Self {
        Self {
            version,
            limits,
            ..Self::default()
        }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.hosts.entry(route.host.clone()).or_default();
        let index = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(index, Rc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services.insert(service.name.clone(), Rc::new(service));
    }

    /// Requests of routes that are not public need a key.
    pub fn require_key(&mut self) {
        self.needs_key = true;
    }

    /// Adds an organisation with its API keys; from then on, requests need a key.
    pub fn add_organisation(&mut self, organisation: Organisation, keys: Vec<String>) {
        self.add_keys(&Owner::Organisation(Rc::new(organisation)), keys);
    }

    /// Adds the keys of an organisation whose entry cannot be read; from then on, requests need a
    /// key.
    pub fn add_unreadable_keys(&mut self, keys: Vec<String>) {
        self.add_keys(&Owner::Unreadable, keys);
    }

    fn add_keys(&mut self, owner: &Owner, keys: Vec<String>) {
        self.require_key();
        for key in keys {
            self.keys.insert(key, owner.clone());
        }
    }

    /// The route of a request: the one of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// A service by its name.
    #[must_use]
    pub fn service(&self, name: &ServiceId) -> Option<&Rc<Service>> {
        self.services.get(name)
    }

    /// The owner of `key`; `None` if the version does not list it.
    #[must_use]
    pub fn owner(&self, key: &str) -> Option<&Owner> {
        self.keys.get(key)
    }

    /// Whether requests of routes that are not public need a key.
    #[must_use]
    pub const fn needs_key(&self) -> bool {
        self.needs_key
    }

    /// The number of routes.
    #[must_use]
    pub fn routes(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
