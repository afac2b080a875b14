//! The limits on requests that backend servers have named.

use jujubewind::direct::Server;
use jujubewind::direct::ServerLimits;
use jujubewind::direct::ToldLimit;
use jujubewind::types::Incarnation;
use jujubewind::types::Millis;
use jujubewind::types::RequestRate;

use crate::fixture::at;
use crate::fixture::server;

const LIMIT: RequestRate = RequestRate::from_milli(1_400);

/// Limits of which that of the first server was named at 1,000 ms.
fn named() -> ServerLimits {
    let mut limits = ServerLimits::default();
    assert!(limits.record_named(at(1_000), &server(0), LIMIT));
    limits
}

fn told(rate: Option<RequestRate>, age: u64) -> ToldLimit {
    ToldLimit {
        rate,
        age: Millis(age),
    }
}

fn incarnation(number: u64) -> Server {
    Server {
        started: Some(Incarnation(number)),
        ..server(0)
    }
}

#[test]
fn a_rate_is_a_decimal_number_that_is_not_negative() {
    let texts = ["1", "1.4", "0", "0.2", "1e9", "1e300", "0.0009", "2.500/s"];
    let rates = texts.map(|text| text.parse::<RequestRate>().expect("a rate").milli());

    let most = 1_000_000_000_000;
    assert_eq!(rates, [1_000, 1_400, 0, 200, most, most, 0, 2_500]);
    for text in ["-1", "NaN", "inf", "", "many", "1,4"] {
        assert!(text.parse::<RequestRate>().is_err(), "{text}");
    }
}

#[test]
fn a_limit_holds_until_two_responses_in_a_row_name_none() {
    let mut limits = named();

    let first = limits.record_unlimited(at(1_200), &server(0), at(1_100));
    limits.record_named(at(1_300), &server(0), LIMIT);
    let second = limits.record_unlimited(at(1_500), &server(0), at(1_400));
    let in_force = limits.rate(&server(0));
    let third = limits.record_unlimited(at(1_600), &server(0), at(1_450));

    assert_eq!((first, second, third), (false, false, true));
    assert_eq!((in_force, limits.rate(&server(0))), (Some(LIMIT), None));
}

#[test]
fn responses_to_requests_from_before_a_limit_was_named_do_not_end_it() {
    let mut limits = named();

    for arrived in [1_100, 1_200, 1_300] {
        limits.record_unlimited(at(arrived), &server(0), at(990));
    }

    assert_eq!(limits.rate(&server(0)), Some(LIMIT));
}

#[test]
fn a_later_incarnation_has_named_no_limit() {
    let limits = named();

    assert_eq!(limits.rate(&incarnation(1)), Some(LIMIT));
    assert_eq!(limits.rate(&incarnation(2)), None);
}

#[test]
fn a_late_response_of_an_earlier_incarnation_sets_no_limit() {
    let mut limits = ServerLimits::default();
    limits.record_named(at(1_000), &incarnation(2), LIMIT);

    limits.record_named(at(1_100), &incarnation(1), RequestRate::ZERO);

    assert_eq!(limits.rate(&incarnation(2)), Some(LIMIT));
}

#[test]
fn of_what_peers_tell_the_later_holds() {
    let id = server(0).id;
    let started = server(0).started;
    let mut limits = named();

    let older = limits.merge(at(2_000), &id, started, told(None, 1_500));
    let after_older = limits.rate(&server(0));
    let newer = limits.merge(at(2_000), &id, started, told(None, 500));

    assert_eq!((older, after_older), (false, Some(LIMIT)));
    assert_eq!((newer, limits.rate(&server(0))), (true, None));
}

#[test]
fn an_entry_tells_only_what_a_server_said_to_it() {
    let mut limits = ServerLimits::default();
    limits.merge(at(2_000), &server(0).id, None, told(Some(LIMIT), 0));
    limits.record_named(at(2_000), &server(1), LIMIT);

    let told: Vec<_> = limits.to_peers(at(2_300)).collect();

    let age = Millis(300);
    let rate = Some(LIMIT);
    assert_eq!(told.len(), 1);
    assert_eq!(*told[0].0, server(1).id);
    assert_eq!(told[0].2, ToldLimit { rate, age });
}

#[test]
fn a_limit_that_no_peer_repeats_lapses_and_one_that_was_named_to_this_entry_does_not() {
    let mut limits = named();
    let started = server(1).started;
    limits.merge(at(1_000), &server(1).id, started, told(Some(LIMIT), 0));

    let early = limits.expire(at(3_400));
    let late = limits.expire(at(3_600));

    assert_eq!((early, late), (Vec::new(), vec![server(1).id]));
    assert_eq!(limits.rate(&server(0)), Some(LIMIT));
}

#[test]
fn a_limit_of_which_no_entry_has_heard_for_a_minute_lapses() {
    let mut limits = named();
    let id = server(0).id;
    // A peer that heard of it at the same time goes on to tell so.
    for second in 2..=60 {
        let told = told(Some(LIMIT), (second - 1) * 1_000);
        limits.merge(at(second * 1_000), &id, server(0).started, told);
    }

    let early = limits.expire(at(60_999));
    let late = limits.expire(at(61_000));

    assert_eq!((early, late), (Vec::new(), vec![id]));
    assert_eq!(limits.rate(&server(0)), None);
}

#[test]
fn a_limit_that_a_peer_still_hears_of_holds() {
    let mut limits = named();
    let id = server(0).id;
    limits.merge(at(59_000), &id, server(0).started, told(Some(LIMIT), 1_000));

    let lapsed = limits.expire(at(90_000));

    assert_eq!(lapsed, Vec::new());
    assert_eq!(limits.rate(&server(0)), Some(LIMIT));
}

#[test]
fn a_limit_that_ended_does_not_hold_again_by_a_peer_that_missed_its_end() {
    let mut limits = named();
    limits.record_unlimited(at(1_200), &server(0), at(1_100));
    limits.record_unlimited(at(1_300), &server(0), at(1_100));
    limits.expire(at(30_000));

    let id = server(0).id;
    let is_news = limits.merge(
        at(30_000),
        &id,
        server(0).started,
        told(Some(LIMIT), 29_000),
    );

    assert_eq!((is_news, limits.rate(&server(0))), (false, None));
}
