//! The order of queued requests.

use jujubewind::direct::Job;
use jujubewind::direct::Queue;

use crate::fixture::at;
use crate::fixture::job;

fn arrived(id: u64, prompt: u64, millis: u64, priority: u8) -> Job {
    Job {
        arrived: at(millis),
        priority,
        ..job(id, prompt)
    }
}

fn order(jobs: Vec<Job>, now: u64) -> Vec<u64> {
    let mut queue = Queue::default();
    for job in jobs {
        queue.push(job);
    }
    queue
        .order(at(now))
        .iter()
        .map(|job| job.id.get())
        .collect()
}

#[test]
fn earliest_latency_deadline_goes_first() {
    let jobs = vec![arrived(1, 182_000, 0, 1), arrived(2, 5_000, 100, 1)];

    let order = order(jobs, 150);

    assert_eq!(order, [2, 1]);
}

#[test]
fn request_that_missed_its_latency_target_goes_last() {
    let jobs = vec![arrived(1, 5_000, 0, 1), arrived(2, 182_000, 100, 1)];

    let order = order(jobs, 400);

    assert_eq!(order, [2, 1]);
}

#[test]
fn the_higher_rank_goes_first() {
    let jobs = vec![arrived(1, 5_000, 0, 2), arrived(2, 182_000, 0, 0)];

    let order = order(jobs, 10);

    assert_eq!(order, [2, 1]);
}

#[test]
fn shorter_of_two_long_prompts_with_the_same_latency_target_goes_first() {
    let jobs = vec![arrived(1, 400_000, 0, 1), arrived(2, 100_000, 500, 1)];

    let order = order(jobs, 600);

    assert_eq!(order, [2, 1]);
}
