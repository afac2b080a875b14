//! Which of two backend servers that have a call answers it.

use jujubewind::direct::Contender;
use jujubewind::direct::Ending;
use jujubewind::direct::Hedge;
use jujubewind::direct::HedgeVerdict as Verdict;

const ENDINGS: [Ending; 3] = [Ending::Answered, Ending::Failed, Ending::Unanswered];
const ORDERS: [[Contender; 2]; 2] = [
    [Contender::Own, Contender::Other],
    [Contender::Other, Contender::Own],
];

/// The verdicts after both attempts have ended in this order.
fn verdicts(order: [Contender; 2], endings: [Ending; 2]) -> [Verdict; 2] {
    let mut hedge = Hedge::default();
    let first = hedge.apply(order[0], endings[0]);
    [first, hedge.apply(order[1], endings[1])]
}

#[test]
fn the_first_answer_is_forwarded_at_once() {
    for order in ORDERS {
        let mut hedge = Hedge::default();

        let verdict = hedge.apply(order[0], Ending::Answered);

        assert_eq!(verdict, Verdict::Forward(order[0]));
    }
}

#[test]
fn a_call_is_not_ended_by_one_server_while_the_other_may_answer() {
    for order in ORDERS {
        for ending in [Ending::Failed, Ending::Unanswered] {
            let waiting = verdicts(order, [ending, Ending::Answered]);

            assert_eq!(waiting, [Verdict::Wait, Verdict::Forward(order[1])]);
        }
    }
}

#[test]
fn a_failure_is_forwarded_if_the_other_server_has_not_answered() {
    for order in ORDERS {
        let late = verdicts(order, [Ending::Failed, Ending::Unanswered]);
        let early = verdicts(order, [Ending::Unanswered, Ending::Failed]);

        assert_eq!(late[1], Verdict::Forward(order[0]));
        assert_eq!(early[1], Verdict::Forward(order[1]));
    }
}

#[test]
fn a_call_is_given_up_only_if_neither_server_has_sent_a_response() {
    for order in ORDERS {
        for first in ENDINGS {
            for second in ENDINGS {
                let given_up = verdicts(order, [first, second]).contains(&Verdict::GiveUp);

                let neither = [first, second] == [Ending::Unanswered; 2];
                assert_eq!(given_up, neither, "{order:?}: {first:?}, {second:?}");
            }
        }
    }
}
