//! The routing of requests to engines.

use jujubewind::refusal::Reason;
use jujubewind::refusal::Refusal;
use jujubewind::routing::Offer;
use jujubewind::routing::Request;
use jujubewind::rpc::message::QuoteReply;
use jujubewind::types::Millis;
use jujubewind::types::ModelId;
use jujubewind::types::MonoTime;

use super::Arrival;
use super::Policy;
use super::convert::to_usize;
use super::fleet;
use super::links;
use super::simulation::Event;
use super::simulation::Simulation;
use super::simulation::TICK;

/// The assumed duration of a group where no quote predicts it.
const DEFAULT_SPAN: Millis = Millis(60_000);

impl Simulation<'_> {
    /// Starts the next attempt of a request: chooses the engines to ask for quotes, or dispatches it
    /// directly under policies that ask for none.
    pub(super) fn route(&mut self, now: MonoTime, id: usize) {
        let arrival = &self.arrivals[id];
        self.pending[id].attempt += 1;
        let parts = to_usize(self.pending[id].parts);
        if self.run.policy != Policy::QuotesLaxity {
            let engines = self.fleet.assign(arrival, parts, &mut self.rng);
            self.dispatch(now, id, &engines, DEFAULT_SPAN);
            return;
        }
        let model = fleet::model_id();
        let request = request(arrival, &model, parts);
        let router = &self.fleet.routers[arrival.entry];
        let tried = &self.pending[id].tried;
        let nodes = router.choose(&self.fleet.members, &request, tried, &mut self.rng);
        let engines: Vec<usize> = nodes.iter().map(fleet::engine_number).collect();
        self.queue.push(
            self.last_arrival(now, id, &engines),
            Event::Quote(id, engines),
        );
    }

    /// Collects the quotes of these engines for a request.
    pub(super) fn collect_quotes(&mut self, now: MonoTime, id: usize, engines: &[usize]) {
        let offers = engines
            .iter()
            .map(|&engine| self.quote(now, id, engine))
            .collect();
        self.queue
            .push(self.last_arrival(now, id, engines), Event::Pick(id, offers));
    }

    fn quote(&mut self, now: MonoTime, id: usize, engine: usize) -> Offer {
        let job = self.job(now, id, engine);
        let reply = match self.fleet.workers[engine].scheduler.quote(now, &job) {
            Ok(estimate) => QuoteReply::Estimate {
                first: estimate.first,
                total: estimate.total,
                cached: estimate.cached,
            },
            Err(refusal) => QuoteReply::Refused(refusal),
        };
        Offer {
            node: fleet::node_id(engine),
            domain: fleet::domain_id(engine),
            reply,
        }
    }

    /// Picks engines from the quotes and dispatches the request, or handles its refusal.
    pub(super) fn pick_engines(&mut self, now: MonoTime, id: usize, offers: &[Offer]) {
        let arrival = &self.arrivals[id];
        let router = &self.fleet.routers[arrival.entry];
        let parts = to_usize(self.pending[id].parts);
        let model = fleet::model_id();
        let request = request(arrival, &model, parts);
        let picks = if parts > 1 {
            router.pick_group(arrival.class, offers, parts)
        } else {
            let pick = router.pick(&request, offers, &mut self.rng);
            pick.map(|pick| vec![pick])
        };
        if let Some(picks) = picks {
            let engines: Vec<usize> = picks
                .iter()
                .map(|&pick| fleet::engine_number(&offers[pick].node))
                .collect();
            let spans = picks.iter().map(|&pick| predicted_span(&offers[pick]));
            let span = spans.max().unwrap_or(DEFAULT_SPAN);
            self.dispatch(now, id, &engines, span);
            return;
        }
        for offer in offers {
            self.pending[id].tried.push(offer.node.clone());
        }
        let refusal = offers.iter().find_map(|offer| match &offer.reply {
            QuoteReply::Refused(refusal) => Some(refusal.clone()),
            QuoteReply::Estimate { .. } | QuoteReply::TooLong { .. } => None,
        });
        self.handle_refusal(now, id, &refusal.unwrap_or_else(no_backend));
    }

    fn dispatch(&mut self, now: MonoTime, id: usize, engines: &[usize], span: Millis) {
        if let [engine] = engines {
            let at = links::agent_arrival(now, self.arrivals[id].entry, *engine);
            self.queue.push(at, Event::Start(id, *engine));
            return;
        }
        self.begin_group(now, id, engines, span);
    }

    /// Returns when the last of the messages between an entry and these engines arrives.
    fn last_arrival(&self, now: MonoTime, id: usize, engines: &[usize]) -> MonoTime {
        let entry = self.arrivals[id].entry;
        let times = engines
            .iter()
            .map(|&engine| links::agent_arrival(now, entry, engine));
        times.max().unwrap_or(now)
    }
}

fn predicted_span(offer: &Offer) -> Millis {
    match &offer.reply {
        QuoteReply::Estimate { total, .. } => *total,
        QuoteReply::Refused(_) | QuoteReply::TooLong { .. } => Millis::ZERO,
    }
}

fn no_backend() -> Refusal {
    Refusal {
        reason: Reason::NoBackend,
        retry: TICK,
    }
}

fn request<'a>(arrival: &'a Arrival, model: &'a ModelId, parts: usize) -> Request<'a> {
    Request {
        org: &arrival.org,
        model,
        class: arrival.class,
        prompt: arrival.prompt,
        parts,
        blocks: &arrival.blocks,
    }
}
