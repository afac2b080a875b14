//! The parser of an engine's streams.

use jujubewind::http::EventParser;

#[test]
fn events_are_complete_however_their_bytes_arrive() {
    let stream = b"data: one\n\nid: 7\ndata:two\n\n";

    for size in 1..stream.len() {
        let mut parser = EventParser::default();
        let pieces = stream.chunks(size);
        let events: Vec<String> = pieces
            .flat_map(|piece| parser.push(piece).expect("short lines"))
            .collect();

        assert_eq!(events, ["one", "two"], "{size} bytes at a time");
    }
}

/// Guards against a stream that fills the memory of the process.
#[test]
fn a_line_without_end_is_given_up() {
    let mut parser = EventParser::default();
    let piece = vec![b'x'; 65_536];

    let taken = (0..1_000).take_while(|_| parser.push(&piece).is_some());

    assert!(taken.count() < 20);
    assert!(parser.buffered() < 2 * 1_024 * 1_024);
}
