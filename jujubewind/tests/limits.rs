//! Limits of catalogue entries and the retry budget.

use jujubewind::limits::Charge;
use jujubewind::limits::Limiter;
use jujubewind::limits::Rates;
use jujubewind::refusal::Reason;
use jujubewind::retry;
use jujubewind::retry::RetryBudget;
use jujubewind::types::Credit;
use jujubewind::types::EntryId;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::types::Tokens;

fn entry() -> EntryId {
    "reviews".parse().expect("valid name")
}

fn charge(tokens: u64) -> Charge {
    Charge {
        entry: entry(),
        org: "school".parse().expect("valid name"),
        tokens: Tokens(tokens),
        credit: Credit(100),
    }
}

/// Number of requests admitted in ten seconds if one arrives every millisecond.
fn count_admitted(rates: &Rates, tokens: u64) -> u64 {
    let mut limiter = Limiter::new();
    (0..10_000)
        .map(MonoTime::from_millis)
        .filter(|&now| limiter.admit(now, &charge(tokens), rates).is_ok())
        .count() as u64
}

#[test]
fn the_request_rate_is_limited_after_a_burst_of_one_second() {
    let rates = Rates {
        requests: Some(50),
        ..Rates::default()
    };

    let count = count_admitted(&rates, 1);

    assert!((500..=552).contains(&count), "{count}");
}

#[test]
fn a_burst_is_admitted_at_once_and_the_next_request_gets_a_retry_delay() {
    let rates = Rates {
        requests: Some(2),
        burst: Some(3),
        ..Rates::default()
    };
    let mut limiter = Limiter::new();
    let start = MonoTime::from_millis(60_000);

    let admitted = (0..3).filter(|_| limiter.admit(start, &charge(1), &rates).is_ok());
    let admitted = admitted.count();
    let refused = limiter.admit(start, &charge(1), &rates);

    assert_eq!(admitted, 3);
    let refusal = refused.expect_err("the burst is used up");
    assert_eq!(
        (refusal.reason, refusal.retry),
        (Reason::RequestRate, Millis(500))
    );
    assert!(
        limiter
            .admit(start.after(refusal.retry), &charge(1), &rates)
            .is_ok()
    );
}

#[test]
fn the_token_rate_is_limited_on_average_for_prompts_larger_than_it() {
    let rates = Rates {
        tokens: Some(1_000),
        ..Rates::default()
    };

    let count = count_admitted(&rates, 2_500);

    assert!((4..=5).contains(&count), "{count}");
}

#[test]
fn a_request_is_admitted_after_the_retry_delay_of_its_refusal() {
    let rates = Rates {
        tokens: Some(1_000),
        ..Rates::default()
    };
    let mut limiter = Limiter::new();
    limiter
        .admit(MonoTime::ZERO, &charge(5_000), &rates)
        .expect("admitted");

    let refusal = limiter
        .admit(MonoTime::ZERO, &charge(1), &rates)
        .expect_err("refused");
    let later = limiter.admit(MonoTime::ZERO.after(refusal.retry), &charge(1), &rates);

    assert_eq!(refusal.reason, Reason::TokenRate);
    assert!(later.is_ok());
}

#[test]
fn a_refused_request_is_not_charged() {
    let rates = Rates {
        requests: Some(1),
        concurrency: Some(1),
        metered: true,
        ..Rates::default()
    };
    let mut limiter = Limiter::new();

    let refusal = limiter
        .admit(MonoTime::ZERO, &charge(1), &rates)
        .expect_err("refused");
    limiter.add_credit(&entry(), Credit(150));
    let admitted = limiter.admit(MonoTime::ZERO, &charge(1), &rates);

    assert_eq!(refusal.reason, Reason::NoCredit);
    assert!(admitted.is_ok());
    assert_eq!(limiter.credit(&entry()), Credit(50));
}

#[test]
fn concurrency_is_limited_and_unused_credit_is_refunded() {
    let rates = Rates {
        concurrency: Some(1),
        metered: true,
        ..Rates::default()
    };
    let mut limiter = Limiter::new();
    limiter.add_credit(&entry(), Credit(200));
    limiter
        .admit(MonoTime::ZERO, &charge(1), &rates)
        .expect("admitted");

    let refusal = limiter
        .admit(MonoTime::ZERO, &charge(1), &rates)
        .expect_err("refused");
    limiter.finish(&charge(1), &rates, Tokens(1), Credit(30));

    assert_eq!(refusal.reason, Reason::Concurrency);
    assert_eq!(limiter.credit(&entry()), Credit(170));
    assert!(limiter.admit(MonoTime::ZERO, &charge(1), &rates).is_ok());
}

#[test]
fn retries_are_limited_to_a_share_of_the_requests() {
    let settings = retry::Settings::default();
    let mut budget = RetryBudget::new(settings.clone());

    let granted = (0..10_000_u64)
        .filter(|&number| {
            budget.record_request();
            budget.retry(MonoTime::from_micros(number), 1).is_ok()
        })
        .count() as u64;

    assert!(
        granted <= 10_000 * settings.per_thousand / 1_000 + settings.burst,
        "{granted}"
    );
}

#[test]
fn the_attempts_of_one_request_are_limited() {
    let settings = retry::Settings::default();
    let mut budget = RetryBudget::new(settings.clone());

    let refusal = budget
        .retry(MonoTime::ZERO, settings.max_attempts)
        .expect_err("refused");

    assert_eq!(refusal.reason, Reason::RetryBudget);
    assert!(refusal.retry.get() > 0);
}
