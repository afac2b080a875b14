//! Splitting streams into whole events.

use jujubewind::direct::EventSplitter;
use jujubewind::direct::Events;
use proptest::prelude::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// A batch with one event, which may have an identifier.
fn events_of(text: &'static str, id: Option<u64>) -> Events {
    Events {
        bytes: text.as_bytes().into(),
        first: id,
        last: id,
    }
}

#[test]
fn forwarded_events_are_not_sent_again() {
    let events = events_of("id: 3\ndata: c\n\n", Some(3));

    assert!(events.follow(None));
    assert!(events.follow(Some(2)));
    assert!(!events.follow(Some(3)));
    assert!(!events.follow(Some(7)));
}

#[test]
fn comments_are_told_from_events() {
    let comments = events_of(": ping\n\n:\n\n", None);
    let hint = events_of("retry: 3000\n\n", None);
    let unnumbered = events_of("data: a\n\n", None);
    let mixed = events_of(": ping\n\nweight: 2\nid: 3\n\n", Some(3));

    assert!(!comments.has_event());
    assert!(!hint.has_event());
    assert!(unnumbered.has_event());
    assert!(mixed.has_event());
}

#[test]
fn events_that_were_forwarded_are_cut_off() {
    let events = EventSplitter::default().push(b"id: 3\ndata: c\n\nid: 4\ndata: d\n\n");
    let events = events.expect("two events");

    assert_eq!(events.clone().after(Some(2)), Some(events.clone()));
    assert_eq!(
        events.clone().after(Some(3)),
        Some(events_of("id: 4\ndata: d\n\n", Some(4)))
    );
    assert_eq!(events.after(Some(4)), None);
}

#[test]
fn incomplete_event_is_buffered() {
    let mut events = EventSplitter::default();

    let first = events.push(b"id: 1\ndata: a\n\nid: 2\nda");
    let torn = events.has_partial_event();
    let second = events.push(b"ta: b\n\n");

    assert_eq!(first, Some(events_of("id: 1\ndata: a\n\n", Some(1))));
    assert!(torn);
    assert_eq!(second, Some(events_of("id: 2\ndata: b\n\n", Some(2))));
    assert!(!events.has_partial_event());
}

#[test]
fn event_without_an_id_is_forwarded() {
    let mut events = EventSplitter::default();

    let whole = events.push(b"data: x\n\n");

    assert_eq!(whole, Some(events_of("data: x\n\n", None)));
}

proptest! {
    #[test]
    fn events_do_not_depend_on_chunking(cuts in prop::collection::vec(1_usize..9, 1..60)) {
        let pieces: Vec<String> = (1..20).map(event).collect();
        let text = pieces.concat();
        let mut events = EventSplitter::default();
        let mut out = Vec::new();
        let mut last = None;
        let mut rest = text.as_bytes();

        for cut in cuts.iter().cycle() {
            let (piece, after) = rest.split_at((*cut).min(rest.len()));
            if let Some(whole) = events.push(piece) {
                prop_assert!(whole.bytes.ends_with(b"\n\n"));
                prop_assert!(whole.follow(last));
                out.extend_from_slice(&whole.bytes);
                last = whole.last.or(last);
            }
            rest = after;
            if rest.is_empty() {
                break;
            }
        }

        prop_assert_eq!(out, text.as_bytes());
        prop_assert_eq!(last, Some(19));
    }
}
