//! Builds what a request needs: its target, its job and the request to the backend server.

use std::rc::Rc;

use hyper::HeaderMap;
use hyper::Request;
use hyper::Uri;
use hyper::header::HOST;

use super::super::hop::end_to_end;
use super::super::limits::MAX_LOOKUP_AGE;
use super::super::limits::STARTUP_RETRY_AFTER;
use super::super::reservations::Reservations;
use super::super::target::Target;
use super::Exchange;
use super::Result;
use crate::direct::BootTime;
use crate::direct::Dialect;
use crate::direct::Domains;
use crate::direct::ForwardHeaders;
use crate::direct::Grant;
use crate::direct::Helper;
use crate::direct::Job;
use crate::direct::Owner;
use crate::entry::Failure;
use crate::http::WholeBody;
use crate::refusal::Reason;
use crate::types::Millis;
use crate::types::RegionId;
use crate::types::Tokens;

impl<D: Dialect> Exchange<D> {
    /// Looks up the route, the service and the organisation of the request in the current table.
    pub(in crate::direct::api) fn resolve(&self) -> Result<Target> {
        let state = &self.gateway.state;
        let Some(table) = state.table() else {
            return Err(Failure::not_run(Reason::NoCatalogue, STARTUP_RETRY_AFTER));
        };
        let now = BootTime::now();
        let not_found = |reason| {
            if state.is_confirmed(now, MAX_LOOKUP_AGE) && state.is_newest() {
                Failure::not_run(reason, Millis::ZERO)
            } else {
                Failure::not_run(Reason::StoreDown, STARTUP_RETRY_AFTER)
            }
        };
        let host = self
            .head
            .headers
            .get(HOST)
            .and_then(|host| host.to_str().ok());
        let host = host.unwrap_or_default();
        let route = table.route(host, self.head.uri.path());
        let route = route
            .ok_or_else(|| not_found(Reason::UnknownRoute))?
            .clone();
        let unreadable = || Failure::not_run(Reason::UnreadableTable, STARTUP_RETRY_AFTER);
        if route.targets.is_empty() {
            return Err(unreadable());
        }
        let mut organisation = None;
        if table.needs_key() && !route.public {
            let key = self.call.key.as_deref();
            let owner = key.and_then(|key| table.owner(key));
            organisation = match owner {
                Some(Owner::Organisation(owner)) => Some(owner.clone()),
                Some(Owner::Unreadable) => return Err(unreadable()),
                None => return Err(not_found(Reason::Unauthorized)),
            };
            if !state.is_trusted(now) {
                return Err(Failure::not_run(Reason::StoreDown, STARTUP_RETRY_AFTER));
            }
        }
        let service = route.target(self.draw).cloned();
        let service =
            service.ok_or_else(|| Failure::not_run(Reason::NoBackend, STARTUP_RETRY_AFTER))?;
        Ok(Target {
            route,
            service,
            organisation,
        })
    }

    pub(super) fn job(&self, target: &Target, last: Option<u64>) -> Job {
        let size = self.call.size.clone();
        let (prompt, output) = size.map_or((Tokens::ZERO, Tokens::ZERO), |s| (s.prompt, s.output));
        let now = self.gateway.clock.now();
        let is_resumed = last.is_some();
        let left = self.left(target);
        let elapsed = now.since(self.arrived);
        let client_timeout = target
            .route
            .client_timeout
            .min(left.saturating_add(elapsed));
        let arrived = if is_resumed { now } else { self.arrived };
        Job {
            id: self.gateway.control.next_job(),
            service: target.service.clone(),
            prompt,
            output,
            max_gap: target.route.max_gap,
            latency_target: target.route.latency_target,
            client_timeout: if is_resumed {
                client_timeout.min(left)
            } else {
                client_timeout
            },
            deadline: now.after(left),
            priority: target.priority(),
            domains: self.domains(target),
            excluded: self.excluded.borrow().clone(),
            arrived,
        }
    }

    /// The failure domains that the route and the organisation leave; `None` if neither restricts
    /// them.
    pub(super) fn domains(&self, target: &Target) -> Option<Domains> {
        let organisation = target.organisation.as_ref();
        let own = organisation.map_or(&[][..], |owner| owner.regions.as_slice());
        let restrictions = [target.route.regions.as_slice(), own];
        let mut restrictions = restrictions.iter().filter(|one| !one.is_empty()).peekable();
        restrictions.peek()?;
        let restrictions: Vec<_> = restrictions.collect();
        let is_allowed = |region: &RegionId| restrictions.iter().all(|one| one.contains(region));
        let regions = self.gateway.settings.regions.iter();
        let allowed = regions.filter(|(_, region)| is_allowed(region));
        Some(Rc::new(allowed.map(|(domain, _)| domain.clone()).collect()))
    }

    pub(super) fn request(
        &self,
        target: &Target,
        grant: &Grant,
        last: Option<u64>,
    ) -> Request<WholeBody> {
        let mut headers: HeaderMap = end_to_end(&self.head.headers);
        let placement = &grant.placement;
        let ids = grant.reservations().map_or(&[][..], Reservations::ids);
        let addr_and_ticket = |(number, helper): (usize, &Helper)| {
            let reservation = ids.get(number).cloned().flatten();
            (helper.server.addr, reservation)
        };
        let helpers: Vec<_> = placement
            .helpers
            .iter()
            .enumerate()
            .map(addr_and_ticket)
            .collect();
        let organisation = target.organisation.as_ref();
        let forward = ForwardHeaders {
            server: &placement.primary.id,
            left: self.left(target),
            organisation: organisation.map(|organisation| &organisation.name),
            helpers: &helpers,
            urgency: self
                .call
                .size
                .as_ref()
                .map(|_| urgency(target.route.latency_target)),
            last: last.or(self.call.last),
        };
        self.gateway.dialect.write_headers(&mut headers, &forward);
        let path = self.head.uri.path_and_query();
        let uri = path.map_or_else(|| Uri::from_static("/"), |path| Uri::from(path.clone()));
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = headers;
        request
    }
}

/// The urgency of a request in an engine's queue: the shorter the latency target, the lower the
/// number.
fn urgency(latency_target: Millis) -> u8 {
    match latency_target.get() {
        0..=500 => 2,
        501..=2_000 => 4,
        _ => 6,
    }
}
