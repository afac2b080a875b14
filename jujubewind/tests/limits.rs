//! Limits of catalogue entries, and the retry budget.

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
    "reviews".parse().expect("a name")
}

fn charge(tokens: u64) -> Charge {
    Charge {
        entry: entry(),
        org: "school".parse().expect("a name"),
        tokens: Tokens(tokens),
        credit: Credit(100),
    }
}

/// Requests admitted in ten seconds when one comes each millisecond.
fn admitted(rates: &Rates, tokens: u64) -> u64 {
    let mut limiter = Limiter::new();
    (0..10_000)
        .map(MonoTime::from_millis)
        .filter(|&now| limiter.admit(now, &charge(tokens), rates).is_ok())
        .count() as u64
}

#[test]
fn the_request_rate_holds_with_a_second_of_burst() {
    let rates = Rates {
        requests: Some(50),
        ..Rates::default()
    };

    let count = admitted(&rates, 1);

    assert!((500..=552).contains(&count), "{count}");
}

#[test]
fn a_burst_passes_at_once_and_the_next_one_is_told_when_to_come_back() {
    let rates = Rates {
        requests: Some(2),
        burst: Some(3),
        ..Rates::default()
    };
    let mut limiter = Limiter::new();
    let start = MonoTime::from_millis(60_000);

    let passed = (0..3).filter(|_| limiter.admit(start, &charge(1), &rates).is_ok());
    let passed = passed.count();
    let refused = limiter.admit(start, &charge(1), &rates);

    assert_eq!(passed, 3);
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
fn the_token_rate_holds_on_average_for_prompts_above_it() {
    let rates = Rates {
        tokens: Some(1_000),
        ..Rates::default()
    };

    let count = admitted(&rates, 2_500);

    assert!((4..=5).contains(&count), "{count}");
}

#[test]
fn a_refusal_names_a_time_after_which_the_request_passes() {
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
fn a_refused_request_is_charged_nothing() {
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
fn the_owner_has_so_many_at_once_and_gets_back_what_it_did_not_use() {
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
fn retries_stay_a_share_of_requests() {
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
fn one_request_has_few_attempts_and_is_told_when_to_come_back() {
    let settings = retry::Settings::default();
    let mut budget = RetryBudget::new(settings.clone());

    let refusal = budget
        .retry(MonoTime::ZERO, settings.max_attempts)
        .expect_err("refused");

    assert_eq!(refusal.reason, Reason::RetryBudget);
    assert!(refusal.retry.get() > 0);
}
