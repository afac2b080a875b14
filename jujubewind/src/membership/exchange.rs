//! Anti-entropy: two entries compare digests of their views and repair the differences.

use std::collections::BTreeMap;

use rand::Rng;
use rand::seq::SliceRandom;
use rapidhash::v3::rapidhash_v3;

use super::Member;
use super::Status;
use super::View;
use super::domain_activity::DomainActivity;
use super::limits::MAX_RECORDS;
use crate::rpc::message::BucketDigests;
use crate::rpc::message::DomainSummary;
use crate::rpc::message::GossipBody;
use crate::types::DomainId;
use crate::types::MonoTime;
use crate::types::NodeId;

/// Number of hash buckets into which a failure domain's members are divided for comparison.
pub const BUCKETS: u8 = 16;

/// Returns the age and digest of each failure domain in this view.
pub(super) fn domain_pulses(
    now: MonoTime,
    view: &View,
    activity: &DomainActivity,
) -> Vec<DomainSummary> {
    let of_domain = |(domain, sum): (&DomainId, u64)| DomainSummary {
        domain: domain.clone(),
        age: activity.age(now, domain),
        sum,
    };
    view.digests().map(of_domain).collect()
}

/// Returns the bucket digests of one randomly chosen failure domain that differs from `theirs`.
pub(super) fn find_difference(
    view: &View,
    theirs: &[DomainSummary],
    rng: &mut impl Rng,
) -> Option<BucketDigests> {
    let known: BTreeMap<&DomainId, u64> = theirs.iter().map(|p| (&p.domain, p.sum)).collect();
    let mut differing: Vec<&DomainId> = view
        .digests()
        .filter(|(domain, sum)| known.get(domain).copied().unwrap_or(0) != *sum)
        .map(|(domain, _)| domain)
        .chain(
            known
                .keys()
                .copied()
                .filter(|domain| is_unknown(view, domain)),
        )
        .collect();
    differing.shuffle(rng);
    let domain = (*differing.first()?).clone();
    let sums = bucket_sums(view, &domain);
    Some(BucketDigests { domain, sums })
}

/// Builds the repair message for a difference: this side's records in the buckets that differ.
pub(super) fn build_repair(
    view: &View,
    theirs: &BucketDigests,
    rng: &mut impl Rng,
) -> Option<GossipBody> {
    let ours = bucket_sums(view, &theirs.domain);
    let mut buckets: Vec<u8> = (0..BUCKETS)
        .filter(|i| ours.get(usize::from(*i)) != theirs.sums.get(usize::from(*i)))
        .collect();
    buckets.shuffle(rng);
    let records = sample_records(
        in_buckets(view, &theirs.domain, &buckets)
            .cloned()
            .collect(),
        rng,
    );
    let domain = theirs.domain.clone();
    (!buckets.is_empty()).then_some(GossipBody::Repair {
        domain,
        buckets,
        records,
    })
}

/// Returns the records in `buckets` that the other side lacks or has in an older version.
pub(super) fn missing_records(
    view: &View,
    domain: &DomainId,
    buckets: &[u8],
    theirs: &[Member],
    rng: &mut impl Rng,
) -> Vec<Member> {
    let known: BTreeMap<&NodeId, &Member> = theirs.iter().map(|m| (&m.node, m)).collect();
    let lacking = in_buckets(view, domain, buckets).filter(|ours| match known.get(&ours.node) {
        Some(other) => other.merged(ours) != **other,
        None => ours.status != Status::Dead,
    });
    sample_records(lacking.cloned().collect(), rng)
}

/// Reduces `records` to a random sample of at most [`MAX_RECORDS`].
pub(super) fn sample_records(mut records: Vec<Member>, rng: &mut impl Rng) -> Vec<Member> {
    if records.len() > MAX_RECORDS {
        records.shuffle(rng);
        records.truncate(MAX_RECORDS);
    }
    records
}

fn is_unknown(view: &View, domain: &DomainId) -> bool {
    view.digests().all(|(known, _)| known != domain)
}

fn in_buckets<'a>(
    view: &'a View,
    domain: &'a DomainId,
    buckets: &'a [u8],
) -> impl Iterator<Item = &'a Member> {
    view.records()
        .filter(move |member| member.domain == *domain && !member.is_provisional())
        .filter(move |member| buckets.contains(&bucket(&member.node)))
}

fn bucket_sums(view: &View, domain: &DomainId) -> Vec<u64> {
    let mut sums = vec![0; usize::from(BUCKETS)];
    for member in view.in_domain(domain).filter(|m| !m.is_provisional()) {
        sums[usize::from(bucket(&member.node))] ^= member.digest();
    }
    sums
}

fn bucket(node: &NodeId) -> u8 {
    let rest = rapidhash_v3(node.as_str().as_bytes()) % u64::from(BUCKETS);
    u8::try_from(rest).unwrap_or(0)
}
