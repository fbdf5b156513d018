//! Frames put in order, and calls to processes that misbehave.

use bytes::Bytes;
use tokio::{io::AsyncWriteExt, net::TcpListener};
use wire::{
    Assembled, Assembler, AttemptId, CallError, Frame, FrameKind, Hello, Hub,
    StreamChecksum,
};

fn id(attempt: u32) -> AttemptId {
    AttemptId {
        request_id: "r1".into(),
        attempt,
    }
}

fn chunk(seq: u32, text: &str) -> Frame {
    Frame {
        id: id(1),
        seq,
        payload: Bytes::from(text.to_owned()),
        tokens: 1,
        ..Frame::default()
    }
}

fn end(texts: &[&str]) -> Frame {
    let mut checker = StreamChecksum::default();
    for text in texts {
        checker.push(text.as_bytes(), 1);
    }
    Frame {
        id: id(1),
        seq: checker.count(),
        kind: FrameKind::End,
        count: checker.count(),
        checksum: checker.checksum(),
        ..Frame::default()
    }
}

/// Takes frames as they arrive; the text, and whether the answer is whole.
fn assemble(frames: &[Frame]) -> (String, bool) {
    let mut assembler = Assembler::new(id(1));
    let mut text = String::new();
    for frame in frames {
        let (chunks, whole) = match assembler.push(frame.clone()) {
            Assembled::Chunks(chunks) => (chunks, false),
            Assembled::Complete(chunks, _) => (chunks, true),
            Assembled::Failed(chunks, _) => (chunks, false),
            Assembled::Corrupt => return (text, false),
        };
        for chunk in chunks {
            text.push_str(std::str::from_utf8(&chunk.payload).expect("ASCII"));
        }
        if whole {
            return (text, true);
        }
    }
    (text, false)
}

#[test]
fn reordered_and_doubled_frames_give_the_whole_answer() {
    let (a, b, c) = (chunk(0, "a"), chunk(1, "b"), chunk(2, "c"));
    let last = end(&["a", "b", "c"]);
    let frames = [c.clone(), a.clone(), a, last, b, c];
    assert_eq!(assemble(&frames), ("abc".to_owned(), true));
}

#[test]
fn frames_of_another_attempt_change_nothing() {
    let stray = Frame {
        id: id(2),
        ..chunk(0, "x")
    };
    let frames = [stray.clone(), chunk(0, "a"), stray, end(&["a"])];
    assert_eq!(assemble(&frames), ("a".to_owned(), true));
}

#[test]
fn missing_changed_or_cut_frames_never_make_a_whole_answer() {
    let cut = [chunk(0, "a"), chunk(1, "b")];
    assert_eq!(assemble(&cut), ("ab".to_owned(), false));
    let missing = [chunk(0, "a"), end(&["a", "b"])];
    assert!(!assemble(&missing).1);
    let changed = [chunk(0, "a"), chunk(1, "x"), end(&["a", "b"])];
    assert!(!assemble(&changed).1);
}

#[tokio::test]
async fn bytes_that_do_not_parse_end_the_call_and_no_more() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.write_all(&[0xff; 64]).await;
        }
    });
    let hub = Hub::start(500);
    for _ in 0..2 {
        let answer = hub.hello(address, Hello::default()).await;
        assert!(answer.is_err_and(|err| !err.never_sent()));
    }
}

#[tokio::test]
async fn silence_and_refusal_are_told_apart() {
    let hub = Hub::start(200);
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = silent.local_addr().expect("bound");
    let answer = hub.hello(address, Hello::default()).await;
    assert_eq!(answer, Err(CallError::TimedOut(address)));
    drop(silent);
    let answer = hub.hello(address, Hello::default()).await;
    assert!(answer.is_err_and(|err| err.never_sent()));
}
