//! Histories of one reservation, and what an engine holds in them.

use jujubewind::direct::BootTime;
use jujubewind::direct::MemoryHold;
use jujubewind::direct::Order;
use jujubewind::direct::OrderReply;
use jujubewind::direct::ReservationLimits;
use jujubewind::direct::Step;
use jujubewind::types::Millis;

/// How long an answer takes.
const ANSWER_MILLIS: u64 = 20;
/// When an order without an answer is given up.
const TIMEOUT_MILLIS: u64 = 500;
/// How long the machine freezes.
const FREEZE_MILLIS: u64 = 5_000;
/// By when a reservation has ended in each history.
const END_MILLIS: u64 = 60_000;
/// Orders at which a fault may strike.
const FAULTY_ORDERS: usize = 6;
/// An engine that goes on carries out the orders of this time in each millisecond.
const MILLIS_PER_LATE_ORDER: u64 = 100;
/// More orders than any history has.
const LATER_ORDERS: usize = 1_000;

pub const LIMITS: ReservationLimits = ReservationLimits {
    hold: Millis(3_500),
    renewal: Millis(1_166),
    max_idle: Millis(7_200),
    idle_renewals: Millis(5_000),
    max_lateness: Millis(12_500),
    retry: Millis(200),
    recheck: Millis(1_000),
};

/// What happens to one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Answered,
    AnswerLost,
    /// Carried out this much later, without an answer.
    Late(u64),
    Dropped,
    Refused,
    Restarted,
}

const FAULTS: [Fate; 6] = [
    Fate::AnswerLost,
    Fate::Late(2_000),
    Fate::Late(12_000),
    Fate::Dropped,
    Fate::Refused,
    Fate::Restarted,
];

/// A span in which an engine answers no order.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    pub from: u64,
    pub until: u64,
    pub effect: Effect,
}

/// What becomes of an order that reaches a silent engine.
#[derive(Clone, Copy, Debug)]
pub enum Effect {
    CarriedOut,
    /// Carried out once the engine goes on, one order after the other.
    CarriedOutAtItsEnd,
    Dropped,
}

/// One history: the faults by number of the order, and the moments of the request and the machine.
#[derive(Clone, Debug)]
pub struct History {
    pub faults: Vec<(usize, Fate)>,
    pub ends: u64,
    pub used: Option<u64>,
    pub frozen: Option<u64>,
    pub silence: Option<Silence>,
    /// Whether the request ends once the engine has cut it off, as its memory has expired.
    pub sees_cut: bool,
}

/// What came of a history.
#[derive(Debug)]
pub struct Outcome {
    /// When the entry knew that the request had ended: after a freeze, or when the memory was lost.
    pub ended: u64,
    /// When the engine cut off the request, as the memory that it used had expired.
    pub cut: Option<u64>,
    /// When nothing was left to do.
    pub done: u64,
    /// Reservations (`true`), releases and restarts carried out by the engine.
    pub carried_out: Vec<(u64, bool)>,
}

impl Silence {
    /// When an order that was sent then is carried out, after the end.
    fn position(&self, sent: u64) -> u64 {
        (sent - self.from) / MILLIS_PER_LATE_ORDER
    }

    fn contains(&self, at: u64) -> bool {
        self.from <= at && at < self.until
    }

    fn fate(&self, sent: u64) -> Fate {
        match self.effect {
            Effect::CarriedOut => Fate::AnswerLost,
            Effect::CarriedOutAtItsEnd => Fate::Late(self.until - sent + self.position(sent)),
            Effect::Dropped => Fate::Dropped,
        }
    }
}

impl History {
    fn fate(&self, number: usize, sent: u64) -> Fate {
        let silence = self.silence.filter(|one| one.contains(sent));
        if let Some(silence) = silence {
            return silence.fate(sent);
        }
        let fault = self.faults.iter().find(|(at, _)| *at == number);
        fault.map_or(Fate::Answered, |(_, fate)| *fate)
    }

    /// The time after a span that may contain the freeze.
    fn advance(&self, now: u64, span: u64) -> u64 {
        match self.frozen {
            Some(at) if now <= at && at < now + span => (now + span).max(at + FREEZE_MILLIS),
            _ => now + span,
        }
    }

    /// When the engine cuts off the request, as far as orders have been sent.
    fn cut(&self, carried_out: &[(u64, bool)]) -> Option<u64> {
        let used = self.used.filter(|_| self.sees_cut)?;
        let holds = |(from, until): &(u64, u64)| *from <= used && used < *until;
        let (_, until) = spans(carried_out).into_iter().find(holds)?;
        Some(until)
    }

    pub fn play(&self) -> Outcome {
        let mut hold = MemoryHold::new(boot(0), LIMITS);
        let (mut now, mut number, mut ends) = (0, 0, self.ends);
        let (mut noticed, mut cut, mut given_up) = (None, None, self.ends);
        let mut carried_out = Vec::new();
        while now < END_MILLIS {
            if noticed.is_none() {
                cut = self.cut(&carried_out);
                ends = cut.unwrap_or(u64::MAX).min(given_up);
            }
            if now >= ends {
                hold.end(boot(now));
                noticed.get_or_insert(now);
            }
            if self.used.is_some_and(|used| now >= used) {
                hold.mark_used();
            }
            match hold.step(boot(now)) {
                Step::Send(order) => {
                    let sent = now;
                    let (reply, span) =
                        send(self.fate(number, sent), order, sent, &mut carried_out);
                    number += 1;
                    now = self.advance(now, span);
                    hold.record(boot(now), boot(sent), order, reply);
                }
                Step::Sleep(span) if now < ends => {
                    now = self.advance(now, span.get().min(ends - now).max(1));
                }
                Step::Sleep(span) => now = self.advance(now, span.get().max(1)),
                Step::Lost => given_up = now,
                Step::Ended => {
                    carried_out.sort_unstable();
                    return Outcome {
                        ended: noticed.unwrap_or(now),
                        cut,
                        done: now,
                        carried_out,
                    };
                }
            }
        }
        panic!("the reservation never ended: {self:?}");
    }
}

impl Outcome {
    /// The spans in which the engine held memory.
    pub fn spans(&self) -> Vec<(u64, u64)> {
        spans(&self.carried_out)
    }
}

/// The spans in which an engine that carried out these orders held memory.
fn spans(carried_out: &[(u64, bool)]) -> Vec<(u64, u64)> {
    let mut carried_out = carried_out.to_vec();
    carried_out.sort_unstable();
    let mut spans: Vec<(u64, u64)> = Vec::new();
    for (at, is_reserved) in carried_out {
        let until = if is_reserved {
            at + LIMITS.hold.get()
        } else {
            at
        };
        match spans.last_mut() {
            Some((_, end)) if *end >= at => *end = until,
            _ if is_reserved => spans.push((at, until)),
            _ => {}
        }
    }
    spans
}

pub fn boot(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

/// Carries out an order as its fate has it; returns the reply and when it arrives.
fn send(
    fate: Fate,
    order: Order,
    now: u64,
    carried_out: &mut Vec<(u64, bool)>,
) -> (OrderReply, u64) {
    let is_reserve = order == Order::Reserve;
    let arrives = now + ANSWER_MILLIS / 2;
    match fate {
        Fate::Answered => {
            carried_out.push((arrives, is_reserve));
            (OrderReply::Done, ANSWER_MILLIS)
        }
        Fate::AnswerLost => {
            carried_out.push((arrives, is_reserve));
            (OrderReply::Missing, TIMEOUT_MILLIS)
        }
        Fate::Late(delay) => {
            carried_out.push((now + delay, is_reserve));
            (OrderReply::Missing, TIMEOUT_MILLIS)
        }
        Fate::Dropped => (OrderReply::Missing, TIMEOUT_MILLIS),
        Fate::Refused => (OrderReply::Refused, ANSWER_MILLIS),
        Fate::Restarted => {
            carried_out.push((arrives, false));
            (OrderReply::Restarted, ANSWER_MILLIS)
        }
    }
}

/// All choices of at most two faults.
fn fault_sets() -> Vec<Vec<(usize, Fate)>> {
    let single = |number| FAULTS.iter().map(move |fate| (number, *fate));
    let mut sets = vec![Vec::new()];
    for first in 0..FAULTY_ORDERS {
        for one in single(first) {
            sets.push(vec![one]);
            for second in first + 1..FAULTY_ORDERS {
                sets.extend(single(second).map(|two| vec![one, two]));
            }
        }
    }
    sets
}

pub fn histories() -> Vec<History> {
    let mut histories = Vec::new();
    for faults in fault_sets() {
        for ends in [5, 600, 1_500, 4_000, 8_000, 12_000] {
            for used in [None, Some(300), Some(5_000)] {
                for frozen in [None, Some(100), Some(1_000), Some(3_000)] {
                    histories.push(History {
                        faults: faults.clone(),
                        ends,
                        used,
                        frozen,
                        silence: None,
                        sees_cut: false,
                    });
                }
            }
        }
    }
    histories
}

/// Histories in which all orders but the first one have the same fate.
pub fn silences() -> Vec<History> {
    let silence = |fate: &Fate| History {
        faults: (1..LATER_ORDERS).map(|number| (number, *fate)).collect(),
        ends: 12_000,
        used: Some(300),
        frozen: None,
        silence: None,
        sees_cut: false,
    };
    FAULTS[..4].iter().map(silence).collect()
}

/// Histories of an engine that answers no order for a while, used or not.
pub fn silent_engines() -> Vec<History> {
    let mut histories = Vec::new();
    for silence in engine_silences() {
        for ends in [600, 1_500, 4_000, 8_000, 12_000] {
            for used in [None, Some(300), Some(2_500), Some(5_000)] {
                for frozen in [None, Some(1_000), Some(3_000)] {
                    histories.push(History {
                        faults: Vec::new(),
                        ends,
                        used,
                        frozen,
                        silence: Some(silence),
                        sees_cut: false,
                    });
                }
            }
        }
    }
    histories
}

fn engine_silences() -> Vec<Silence> {
    let effects = [
        Effect::CarriedOut,
        Effect::CarriedOutAtItsEnd,
        Effect::Dropped,
    ];
    let mut silences = Vec::new();
    for from in (50..8_000).step_by(350) {
        for span in [500, 1_000, 2_000, 3_000, 5_000, 8_000, 12_000] {
            let until = from + span;
            silences.extend(effects.map(|effect| Silence {
                from,
                until,
                effect,
            }));
        }
    }
    silences
}
