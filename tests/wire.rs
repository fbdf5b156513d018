//! Frame reassembly, and calls to processes that misbehave.

use bytes::Bytes;
use tokio::{io::AsyncWriteExt, net::TcpListener};
use wire::{
    Assembled, Assembler, AttemptId, CallError, Frame, FrameKind, Hello, Hub,
    StreamChecksum,
};

fn attempt_id(attempt: u32) -> AttemptId {
    AttemptId {
        request_id: "r1".into(),
        attempt,
    }
}

fn chunk(seq: u32, text: &str) -> Frame {
    Frame {
        id: attempt_id(1),
        seq,
        payload: Bytes::from(text.to_owned()),
        tokens: 1,
        ..Frame::default()
    }
}

fn end(texts: &[&str]) -> Frame {
    let mut checksum = StreamChecksum::default();
    for text in texts {
        checksum.push(text.as_bytes(), 1);
    }
    Frame {
        id: attempt_id(1),
        seq: checksum.count(),
        kind: FrameKind::End,
        count: checksum.count(),
        checksum: checksum.checksum(),
        ..Frame::default()
    }
}

/// Feeds frames in order of arrival; returns the text, and whether the answer is
/// complete.
fn assemble(frames: &[Frame]) -> (String, bool) {
    let mut assembler = Assembler::new(attempt_id(1));
    let mut text = String::new();
    for frame in frames {
        let (chunks, complete) = match assembler.push(frame.clone()) {
            Assembled::Chunks(chunks) => (chunks, false),
            Assembled::Complete(chunks, _) => (chunks, true),
            Assembled::Failed(chunks, _) => (chunks, false),
            Assembled::Corrupt => return (text, false),
        };
        for chunk in chunks {
            text.push_str(std::str::from_utf8(&chunk.payload).expect("ASCII"));
        }
        if complete {
            return (text, true);
        }
    }
    (text, false)
}

#[test]
fn reordered_and_duplicate_frames_assemble_the_answer() {
    let (a, b, c) = (chunk(0, "a"), chunk(1, "b"), chunk(2, "c"));
    let end_frame = end(&["a", "b", "c"]);
    let frames = [c.clone(), a.clone(), a, end_frame, b, c];
    assert_eq!(assemble(&frames), ("abc".to_owned(), true));
}

#[test]
fn frames_of_another_attempt_are_ignored() {
    let foreign = Frame {
        id: attempt_id(2),
        ..chunk(0, "x")
    };
    let frames = [foreign.clone(), chunk(0, "a"), foreign, end(&["a"])];
    assert_eq!(assemble(&frames), ("a".to_owned(), true));
}

#[test]
fn missing_altered_or_truncated_frames_never_complete_an_answer() {
    let truncated = [chunk(0, "a"), chunk(1, "b")];
    assert_eq!(assemble(&truncated), ("ab".to_owned(), false));
    let missing = [chunk(0, "a"), end(&["a", "b"])];
    assert!(!assemble(&missing).1);
    let altered = [chunk(0, "a"), chunk(1, "x"), end(&["a", "b"])];
    assert!(!assemble(&altered).1);
}

#[tokio::test]
async fn unparsable_bytes_fail_only_their_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("listener has an address");
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
async fn silent_peer_is_distinguished_from_a_refused_connection() {
    let hub = Hub::start(200);
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = silent.local_addr().expect("listener has an address");
    let answer = hub.hello(address, Hello::default()).await;
    assert_eq!(answer, Err(CallError::TimedOut(address)));
    drop(silent);
    let answer = hub.hello(address, Hello::default()).await;
    assert!(answer.is_err_and(|err| err.never_sent()));
}
