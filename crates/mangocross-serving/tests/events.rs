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
            passed.extend_from_slice(&splitter.push(piece).expect("short events"));
            rest = later;
        }
        passed.extend_from_slice(&splitter.push(rest).expect("short events"));
        passed == whole && !splitter.is_inside_event() && splitter.last_id() == Some(8)
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<u8>) -> bool);
}

/// A server stops in the middle of event 3; another one resumes after event 2.
#[test]
fn partial_event_is_dropped_and_no_event_is_repeated() {
    let mut splitter = EventSplitter::default();
    let cut = &stream(1..4)[..stream(1..4).len() - 7];
    assert_eq!(splitter.push(cut).expect("short events"), stream(1..3));
    assert!(splitter.is_inside_event());
    splitter.drop_partial();
    assert_eq!(splitter.last_id(), Some(2));
    // The second server repeats event 2, which is skipped.
    assert_eq!(splitter.push(&stream(2..6)).expect("short events"), stream(3..6));
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut splitter = EventSplitter::default();
    let event = b"id: 7\r\ndata: x\r\n\r\n";
    assert_eq!(splitter.push(event).expect("short events").as_ref(), event);
    assert_eq!(splitter.last_id(), Some(7));
}

#[test]
fn oversized_event_is_an_error() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(&vec![b'x'; (1 << 20) + 1]).is_err());
}
