//! The router, and reservations for groups of engines.

use std::collections::BTreeMap;

use jujubewind::refusal::Reason;
use jujubewind::refusal::Refusal;
use jujubewind::routing::Candidate;
use jujubewind::routing::Group;
use jujubewind::routing::Offer;
use jujubewind::routing::Request;
use jujubewind::routing::Router;
use jujubewind::routing::Settings;
use jujubewind::routing::Step;
use jujubewind::rpc::message::QuoteReply;
use jujubewind::scheduler::PART_TTL;
use jujubewind::types::Class;
use jujubewind::types::DomainId;
use jujubewind::types::Millis;
use jujubewind::types::ModelId;
use jujubewind::types::MonoTime;
use jujubewind::types::NodeId;
use jujubewind::types::OrgId;
use jujubewind::types::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn domain(number: usize) -> DomainId {
    format!("domain-{number}").parse().expect("valid name")
}

fn node(number: usize) -> NodeId {
    format!("agent-{number:02}").parse().expect("valid name")
}

fn model() -> ModelId {
    "large".parse().expect("valid name")
}

fn members(count: usize) -> Vec<Candidate> {
    let member = |number| Candidate {
        node: node(number),
        domain: domain(number % 3),
        models: vec![model()],
        leaving: false,
        suspect: false,
    };
    (0..count).map(member).collect()
}

fn router() -> Router {
    Router::new(domain(0), Settings::default())
}

fn request<'a>(org: &'a OrgId, model: &'a ModelId, prompt: u64, blocks: &'a [u64]) -> Request<'a> {
    Request {
        org,
        model,
        class: Class::Interactive,
        prompt: Tokens(prompt),
        parts: 1,
        blocks,
    }
}

fn choose(members: &[Candidate], excluded: &[NodeId], blocks: &[u64], seed: u64) -> Vec<NodeId> {
    let org: OrgId = "school".parse().expect("valid name");
    let model = model();
    let request = request(&org, &model, 2_000, blocks);
    let mut rng = StdRng::seed_from_u64(seed);
    router().choose(members, &request, excluded, &mut rng)
}

fn pick(prompt: u64, blocks: &[u64], offers: &[Offer], rng: &mut StdRng) -> Option<usize> {
    let org: OrgId = "school".parse().expect("valid name");
    let model = model();
    router().pick(&request(&org, &model, prompt, blocks), offers, rng)
}

fn offer(number: usize, first: u64) -> Offer {
    Offer {
        node: node(number),
        domain: domain(number % 3),
        reply: QuoteReply::Estimate {
            first: Millis(first),
            total: Millis(first * 2),
            cached: Tokens::ZERO,
        },
    }
}

#[test]
fn entries_choose_the_same_agent_for_a_prefix() {
    let members = members(15);

    let one = choose(&members, &[], &[7], 1);
    let other = choose(&members, &[], &[7], 2);

    assert_eq!(one[0], other[0]);
    assert_eq!(one.len(), 3);
}

#[test]
fn removing_a_member_moves_only_its_own_prefixes() {
    let before = members(15);
    let after: Vec<Candidate> = before[1..].to_vec();

    let moved = (0..1_000_u64)
        .filter(|&block| {
            let first = choose(&before, &[], &[block], 0)[0].clone();
            first != node(0) && first != choose(&after, &[], &[block], 0)[0]
        })
        .count();

    assert_eq!(moved, 0);
}

#[test]
fn members_that_are_leaving_excluded_or_without_the_model_are_never_chosen() {
    let mut members = members(6);
    members[0].leaving = true;
    members[1].models.clear();

    for seed in 0..100 {
        let chosen = choose(&members, &[node(2)], &[seed], seed);

        let ineligible = [node(0), node(1), node(2)];
        assert!(
            chosen.iter().all(|one| !ineligible.contains(one)),
            "seed {seed}"
        );
    }
}

#[test]
fn suspects_are_chosen_only_if_no_other_member_is_left() {
    let mut members = members(2);
    members[0].suspect = true;

    let preferred = choose(&members, &[], &[], 1);
    let fallback = choose(&members, &[node(1)], &[], 1);

    assert_eq!(preferred, vec![node(1)]);
    assert_eq!(fallback, vec![node(0)]);
}

#[test]
fn the_own_domain_is_preferred_unless_another_saves_more_than_the_link_costs() {
    let mut rng = StdRng::seed_from_u64(1);

    let near = pick(2_000, &[], &[offer(1, 50), offer(0, 55)], &mut rng);
    let far = pick(2_000, &[], &[offer(1, 50), offer(0, 95)], &mut rng);

    assert_eq!(near, Some(1));
    assert_eq!(far, Some(0));
}

#[test]
fn equal_offers_are_picked_evenly() {
    let offers = [offer(0, 50), offer(3, 50), offer(6, 50)];
    let mut counts = [0; 3];
    let mut rng = StdRng::seed_from_u64(1);

    for _ in 0..300 {
        let index = pick(2_000, &[], &offers, &mut rng).expect("an offer");
        counts[index] += 1;
    }

    assert!(counts.iter().all(|&count| count > 60), "{counts:?}");
}

#[test]
fn a_long_prompt_goes_to_its_prefix_owner_until_that_is_an_eighth_slower() {
    let mut rng = StdRng::seed_from_u64(1);
    let offers = [offer(0, 800), offer(3, 800), offer(6, 800)];
    let owner = pick(20_000, &[7], &offers, &mut rng).expect("an offer");
    let with_owner_at = |first| {
        let mut offers = offers.clone();
        offers[owner] = offer(owner * 3, first);
        offers
    };

    let near = pick(20_000, &[7], &with_owner_at(890), &mut rng);
    let slow = pick(20_000, &[7], &with_owner_at(950), &mut rng);

    assert_eq!(near, Some(owner));
    assert_ne!(slow, Some(owner));
}

#[test]
fn a_refusal_is_never_picked() {
    let refusal = Refusal {
        reason: Reason::Leaving,
        retry: Millis::ZERO,
    };
    let refused = Offer {
        reply: QuoteReply::Refused(refusal),
        ..offer(0, 1)
    };

    let picked = pick(2_000, &[], &[refused], &mut StdRng::seed_from_u64(1));

    assert_eq!(picked, None);
}

/// Engines with memory for one part each.
struct Engines {
    held: BTreeMap<NodeId, (usize, MonoTime)>,
}

impl Engines {
    fn reserve(&mut self, now: MonoTime, group: usize, node: &NodeId, ttl: Millis) -> bool {
        self.held.retain(|_, (_, until)| *until > now);
        let (owner, until) = self
            .held
            .entry(node.clone())
            .or_insert((group, now.after(ttl)));
        if *owner == group {
            *until = now.after(ttl);
        }
        *owner == group
    }

    fn release(&mut self, group: usize, node: &NodeId) {
        if self
            .held
            .get(node)
            .is_some_and(|(owner, _)| *owner == group)
        {
            self.held.remove(node);
        }
    }
}

/// Carries out the steps of a group; a fifth of its messages is lost.
fn run_group(
    engines: &mut Engines,
    now: MonoTime,
    group: &mut Group,
    number: usize,
    rng: &mut StdRng,
) {
    let mut steps = group.poll(now);
    while let Some(step) = steps.pop() {
        let lost = rng.random_bool(0.2);
        match step {
            Step::Reserve { node, .. } if !lost => {
                let more = if engines.reserve(now, number, &node, PART_TTL) {
                    group.handle_grant(now, &node)
                } else {
                    let refusal = Refusal {
                        reason: Reason::NoMemory,
                        retry: Millis(20),
                    };
                    group.handle_refusal(now, &node, refusal)
                };
                steps.extend(more);
            }
            Step::Release { node } if !lost => engines.release(number, &node),
            _ => {}
        }
    }
}

#[test]
fn racing_groups_neither_deadlock_nor_leak() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut engines = Engines {
            held: BTreeMap::new(),
        };
        let deadline = MonoTime::from_millis(190_000);
        let parts = [
            vec![node(2), node(0), node(1)],
            vec![node(1), node(2), node(3)],
        ];
        let mut groups: Vec<Group> = parts
            .iter()
            .map(|nodes| Group::new(nodes, Tokens(1), Millis(300), deadline))
            .collect();
        let mut done = [false; 2];

        for tick in 0..2_000 {
            let now = MonoTime::from_millis(tick * 100);
            for number in 0..2 {
                run_group(&mut engines, now, &mut groups[number], number, &mut rng);
                if groups[number].is_ready() {
                    done[number] = true;
                    groups[number].cancel();
                }
            }
        }
        engines
            .held
            .retain(|_, (_, until)| *until > MonoTime::from_millis(200_000));

        assert_eq!(done, [true, true], "seed {seed}");
        assert!(engines.held.is_empty(), "seed {seed}");
    }
}

#[test]
fn a_grant_that_arrives_after_the_cancellation_is_released() {
    let mut group = Group::new(&[node(0), node(1)], Tokens(1), Millis(300), MonoTime::NEVER);
    group.poll(MonoTime::ZERO);
    group.cancel();

    let steps = group.handle_grant(MonoTime::ZERO, &node(0));

    assert_eq!(steps, vec![Step::Release { node: node(0) }]);
}
