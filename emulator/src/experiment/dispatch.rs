//! How requests find their engines in a simulation.

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
use super::fleet;
use super::links;
use super::number::index;
use super::simulation::Event;
use super::simulation::Simulation;
use super::simulation::TICK;

/// How long a part of a group is taken to last where nobody predicts it.
const PART_SPAN: Millis = Millis(60_000);
impl Simulation<'_> {
    pub(super) fn route(&mut self, now: MonoTime, id: usize) {
        let arrival = &self.arrivals[id];
        self.pending[id].attempt += 1;
        let parts = index(self.pending[id].parts);
        if self.run.policy != Policy::QuotesLaxity {
            let engines = self.fleet.assign(arrival, parts, &mut self.rng);
            self.dispatch(now, id, &engines, PART_SPAN);
            return;
        }
        let model = fleet::model();
        let request = request(arrival, &model, parts);
        let router = &self.fleet.routers[arrival.entry];
        let tried = &self.pending[id].tried;
        let nodes = router.choose(&self.fleet.members, &request, tried, &mut self.rng);
        let engines: Vec<usize> = nodes.iter().map(fleet::number).collect();
        self.queue
            .push(self.slowest(now, id, &engines), Event::Ask(id, engines));
    }

    pub(super) fn ask(&mut self, now: MonoTime, id: usize, engines: &[usize]) {
        let offers = engines
            .iter()
            .map(|&engine| self.offer(now, id, engine))
            .collect();
        self.queue
            .push(self.slowest(now, id, engines), Event::Pick(id, offers));
    }

    fn offer(&mut self, now: MonoTime, id: usize, engine: usize) -> Offer {
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
            node: fleet::node(engine),
            domain: fleet::domain(engine),
            reply,
        }
    }

    pub(super) fn pick(&mut self, now: MonoTime, id: usize, offers: &[Offer]) {
        let arrival = &self.arrivals[id];
        let router = &self.fleet.routers[arrival.entry];
        let parts = index(self.pending[id].parts);
        let model = fleet::model();
        let request = request(arrival, &model, parts);
        let places = if parts > 1 {
            router.pick_group(arrival.class, offers, parts)
        } else {
            let place = router.pick(&request, offers, &mut self.rng);
            place.map(|place| vec![place])
        };
        if let Some(places) = places {
            let engines: Vec<usize> = places
                .iter()
                .map(|&place| fleet::number(&offers[place].node))
                .collect();
            let spans = places.iter().map(|&place| span(&offers[place]));
            let span = spans.max().unwrap_or(PART_SPAN);
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
        self.refused(now, id, &refusal.unwrap_or_else(nobody));
    }

    fn dispatch(&mut self, now: MonoTime, id: usize, engines: &[usize], span: Millis) {
        if let [engine] = engines {
            let at = links::across(now, self.arrivals[id].entry, *engine);
            self.queue.push(at, Event::Start(id, *engine));
            return;
        }
        self.begin_group(now, id, engines, span);
    }

    fn slowest(&self, now: MonoTime, id: usize, engines: &[usize]) -> MonoTime {
        let entry = self.arrivals[id].entry;
        let times = engines
            .iter()
            .map(|&engine| links::across(now, entry, engine));
        times.max().unwrap_or(now)
    }
}

fn span(offer: &Offer) -> Millis {
    match &offer.reply {
        QuoteReply::Estimate { total, .. } => *total,
        QuoteReply::Refused(_) | QuoteReply::TooLong { .. } => Millis::ZERO,
    }
}

fn nobody() -> Refusal {
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
