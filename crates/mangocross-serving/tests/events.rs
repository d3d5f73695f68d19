//! Event streams are split into complete events, regardless of how the data is chunked.

use mangocross_serving::EventSplitter;
use quickcheck::QuickCheck;

fn stream(ids: std::ops::Range<u64>) -> Vec<u8> {
    ids.map(|id| format!("id: {id}\ndata: token {id}\n\n")).collect::<String>().into_bytes()
}

#[test]
fn any_chunking_gives_the_same_events() {
    fn holds(cuts: Vec<u8>) -> bool {
        let whole = stream(1..9);
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        let mut rest = whole.as_slice();
        for cut in cuts {
            let (piece, later) = rest.split_at(usize::from(cut).min(rest.len()));
            passed.extend_from_slice(&splitter.push(piece).expect("short events").data);
            rest = later;
        }
        passed.extend_from_slice(&splitter.push(rest).expect("short events").data);
        passed == whole && !splitter.is_inside_event() && splitter.last_id() == Some(8)
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<u8>) -> bool);
}

/// A server stops in the middle of event 3; another one resumes after event 2.
#[test]
fn partial_event_is_dropped_and_no_event_is_repeated() {
    let mut splitter = EventSplitter::default();
    let cut = &stream(1..4)[..stream(1..4).len() - 7];
    assert_eq!(splitter.push(cut).expect("short events").data, stream(1..3));
    assert!(splitter.is_inside_event());
    splitter.drop_partial();
    assert_eq!(splitter.last_id(), Some(2));
    // The second server repeats event 2, which is skipped.
    assert_eq!(splitter.push(&stream(2..6)).expect("short events").data, stream(3..6));
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut splitter = EventSplitter::default();
    let event = b"id: 7\r\ndata: x\r\n\r\n";
    assert_eq!(splitter.push(event).expect("short events").data.as_ref(), event);
    assert_eq!(splitter.last_id(), Some(7));
}

#[test]
fn oversized_event_is_an_error() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(&vec![b'x'; (1 << 20) + 1]).is_err());
}

/// The pattern of a stalled server that sends something now and then: a byte, a comment, an event
/// without data, an event that was sent before. None of it is progress.
#[test]
fn only_new_events_with_data_are_progress() {
    let mut splitter = EventSplitter::default();
    let mut has_content =
        |data: &str| splitter.push(data.as_bytes()).expect("short events").has_content;
    assert!(has_content("id: 1\ndata: a\n\n"));
    for idle in [": ping\n\n", "id: 1\ndata: a\n\n", "id: 2\ndata:\n\n", "event: x\n\n", "\n\n"] {
        assert!(!has_content(idle), "{idle:?}");
    }
    assert!(!has_content("id: 3\nda"));
    assert!(!has_content("t"));
    assert!(has_content("a: b\n\n"));
}

/// An event of 1 MiB arrives byte by byte, as one line or as many. Each byte is searched once; a
/// search from the start of the event, or of its line, would take hours.
#[test]
fn long_event_in_small_pieces_is_searched_once() {
    for text in [&b"x"[..], &b"d:x\n"[..]] {
        let mut splitter = EventSplitter::default();
        let mut length = 0;
        while length < 1 << 20 {
            for byte in text {
                let events = splitter.push(std::slice::from_ref(byte)).expect("not too long");
                assert!(events.data.is_empty());
            }
            length += text.len();
        }
    }
}
