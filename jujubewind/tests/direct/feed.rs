//! Following the store through another entry: what is told, whom to ask, and how old it is.

use std::net::SocketAddr;
use std::rc::Rc;

use jujubewind::direct::BootTime;
use jujubewind::direct::Feed;
use jujubewind::direct::FeedChange;
use jujubewind::direct::FeedContent;
use jujubewind::direct::FeedLog;
use jujubewind::direct::FeedPosition;
use jujubewind::direct::FeedQuestion;
use jujubewind::direct::FeedRole;
use jujubewind::direct::FeedSource;
use jujubewind::direct::Pool;
use jujubewind::direct::Shared;
use jujubewind::metrics::DirectGauges;
use jujubewind::timer::Clock;
use jujubewind::types::DomainId;
use jujubewind::types::NodeId;
use jujubewind::types::Revision;

use crate::fixture::domain;
use crate::fixture::server;

fn boot(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn position(era: u64, revision: u64) -> FeedPosition {
    FeedPosition { era, revision }
}

fn node(number: usize) -> NodeId {
    format!("entry-{number}").parse().expect("a name")
}

fn addr(number: usize) -> SocketAddr {
    (
        [127, 0, 0, 1],
        u16::try_from(9_000 + number).expect("a port"),
    )
        .into()
}

/// A log that was started at revision 10 and has one change at each of `revisions`.
fn log(revisions: &[u64]) -> FeedLog {
    let mut log = FeedLog::default();
    log.restart(position(1, 10));
    for revision in revisions {
        log.push(*revision, FeedChange::Configured(Revision(*revision)));
        log.reach(*revision);
    }
    log
}

/// The revisions told, the position reached and whether there is more.
fn told(content: FeedContent) -> Option<(Vec<u64>, FeedPosition, bool)> {
    match content {
        FeedContent::Changes { changes, to, more } => {
            let revisions = changes.iter().map(|(revision, _)| *revision).collect();
            Some((revisions, to, more))
        }
        FeedContent::Gap => None,
    }
}

/// The choice of entry `own` among `count` entries of one failure domain.
fn source(own: usize, count: usize) -> FeedSource {
    let mut source = FeedSource::new(node(own), domain("zone-a"));
    for number in (0..count).filter(|number| *number != own) {
        source.insert(node(number), addr(number), Some(&domain("zone-a")));
    }
    source
}

#[test]
fn a_log_goes_on_after_everything_was_read_again() {
    let mut log = log(&[11]);
    let removed = FeedChange::Removed(server(0).id);

    log.resume(position(1, 15), vec![removed], Revision(7));

    let content = log.content(position(1, 11));
    assert_eq!(told(content), Some((vec![15, 15], position(1, 15), false)));
}

/// Changes of one revision are told together, and a datagram has room for few.
#[test]
fn a_log_starts_anew_if_too_much_was_missed() {
    let mut log = log(&[11]);
    let removed = vec![FeedChange::Removed(server(0).id); 10];

    log.resume(position(1, 15), removed, Revision(7));

    assert_eq!(told(log.content(position(1, 11))), None);
    let content = log.content(position(1, 15));
    assert_eq!(told(content), Some((vec![], position(1, 15), false)));
}

#[test]
fn log_tells_what_came_after_a_position() {
    let log = log(&[11, 13, 17]);

    let after_start = told(log.content(position(1, 10)));
    let after_some = told(log.content(position(1, 13)));
    let after_all = told(log.content(position(1, 17)));

    assert_eq!(
        after_start,
        Some((vec![11, 13, 17], position(1, 17), false))
    );
    assert_eq!(after_some, Some((vec![17], position(1, 17), false)));
    assert_eq!(after_all, Some((Vec::new(), position(1, 17), false)));
}

#[test]
fn log_knows_a_gap_before_its_start_and_between_eras() {
    let log = log(&[11]);

    for unknown in [position(1, 9), position(0, 11), position(2, 11)] {
        assert_eq!(log.content(unknown), FeedContent::Gap, "{unknown:?}");
    }
    assert_eq!(FeedLog::default().content(position(0, 5)), FeedContent::Gap);
}

#[test]
fn long_answer_is_cut_between_revisions() {
    let revisions: Vec<u64> = (11..36).flat_map(|revision| [revision; 3]).collect();
    let log = log(&revisions);

    let (mut since, mut all) = (position(1, 10), Vec::new());
    loop {
        let (some, to, more) = told(log.content(since)).expect("changes");
        assert!(some.len() <= 12, "an answer fits a datagram");
        all.extend(some);
        since = to;
        if !more {
            break;
        }
    }

    assert_eq!(all, revisions);
}

#[test]
fn log_is_bounded_and_says_so() {
    let revisions: Vec<u64> = (11..5_000).collect();
    let log = log(&revisions);

    assert_eq!(log.content(position(1, 10)), FeedContent::Gap);
    assert!(told(log.content(position(1, 4_990))).is_some());
}

#[test]
fn entries_of_a_failure_domain_agree_on_one_reader() {
    let roles: Vec<FeedRole> = (0..20).map(|own| source(own, 20).role(boot(0))).collect();

    let readers = roles.iter().filter(|role| **role == FeedRole::Reader);
    assert_eq!(readers.count(), 1);
    let mut asked: Vec<&NodeId> = roles
        .iter()
        .filter_map(|role| match role {
            FeedRole::Follower(node, _) => Some(node),
            FeedRole::Reader => None,
        })
        .collect();
    asked.dedup();
    assert_eq!(asked.len(), 1);
}

#[test]
fn entries_of_other_failure_domains_are_not_asked() {
    let mut source = FeedSource::new(node(1), domain("zone-a"));
    let others: [Option<DomainId>; 2] = [Some(domain("zone-b")), None];
    for (number, other) in others.iter().enumerate() {
        source.insert(node(number + 2), addr(2), other.as_ref());
    }

    assert_eq!(source.role(boot(0)), FeedRole::Reader);
}

#[test]
fn silent_reader_is_replaced_after_two_questions_and_tried_again_later() {
    let own = (0..5)
        .find(|own| source(*own, 5).role(boot(0)) != FeedRole::Reader)
        .expect("a follower");
    let mut source = source(own, 5);
    let FeedRole::Follower(reader, _) = source.role(boot(0)) else {
        panic!("it follows");
    };

    let first = source.record_silence(boot(0), &reader);
    let second = source.record_silence(boot(400), &reader);
    let next = source.role(boot(500));
    let later = source.role(boot(4_400));

    assert!(!first);
    assert!(second);
    assert!(!matches!(&next, FeedRole::Follower(node, _) if *node == reader));
    assert!(matches!(&later, FeedRole::Follower(node, _) if *node == reader));
}

#[test]
fn answer_between_two_lost_ones_keeps_the_reader() {
    let mut source = source(0, 5);

    let lost = source.record_silence(boot(0), &node(1));
    source.record_answer();
    let lost_again = source.record_silence(boot(800), &node(1));

    assert!(!lost && !lost_again);
}

#[test]
fn entry_that_cannot_reach_the_store_asks_the_others() {
    let own = (0..5)
        .find(|own| source(*own, 5).role(boot(0)) == FeedRole::Reader)
        .expect("a reader");
    let mut source = source(own, 5);

    source.avoid(boot(0), &node(own));
    let cut_off = source.role(boot(100));
    source.record_reached();

    assert!(matches!(cut_off, FeedRole::Follower(..)));
    assert_eq!(source.role(boot(200)), FeedRole::Reader);
}

/// While the store is away, no entry asks all others before it tries the store, and soon after they
/// follow the reader again.
#[test]
fn entry_tries_the_store_after_three_stale_sources_and_asks_them_again_a_second_later() {
    let mut asked = Vec::new();
    for own in 0..9 {
        let mut source = source(own, 9);
        let first = source.role(boot(0));
        let mut count = 0;
        while let FeedRole::Follower(node, _) = source.role(boot(100)) {
            source.record_stale(boot(100), &node);
            count += 1;
        }
        source.record_reached();

        assert_eq!(source.role(boot(1_100)), first);
        asked.push(count);
    }

    asked.sort_unstable();
    assert_eq!(asked, [0, 1, 2, 3, 3, 3, 3, 3, 3]);
}

#[test]
fn entry_whose_sources_are_all_silent_reads_the_store_itself() {
    let mut source = source(0, 5);

    for number in 1..5 {
        source.avoid(boot(0), &node(number));
    }

    assert_eq!(source.role(boot(100)), FeedRole::Reader);
}

#[test]
fn registrations_travel_whole() {
    let mut log = log(&[]);
    log.push(12, FeedChange::Listed(server(3)));
    log.reach(12);

    let FeedContent::Changes { changes, .. } = log.content(position(1, 10)) else {
        panic!("changes");
    };

    assert_eq!(changes, [(12, FeedChange::Listed(server(3)))]);
}

#[test]
fn question_that_finds_the_queue_full_is_counted() {
    let shared = Shared {
        state: Rc::default(),
        pool: Pool::new(Clock::start()),
        metrics: Rc::default(),
    };
    let (outbound, _outbox) = flume::bounded(1);
    let feed = Feed::new(&shared, outbound);
    let question = FeedQuestion {
        number: 1,
        since: position(1, 10),
    };

    feed.ask(question.clone(), addr(1));
    feed.ask(question, addr(1));

    let text = shared.metrics.encode(&DirectGauges::default());
    assert!(
        text.contains("jujube_direct_dropped_feed_total 1"),
        "{text}"
    );
}
