//! Calls that are cancelled before they have a connection to a target.

use tokio::io::AsyncWriteExt;

use crate::bed::{Bed, KEY, LONGEST_RUN, limits, ok};

/// What a client of HTTP/2 sends first: the preface and an empty SETTINGS frame.
const OPENING: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

/// Error code of a stream that is no longer needed.
const CANCEL: [u8; 4] = [0, 0, 0, 8];

/// Calls on one connection; hyper closes a connection with more than 20 that it had not accepted
/// when they were reset.
const CALLS: u32 = 15;

/// Connections of callers, one after the other.
const CALLERS: usize = 20;

/// Calls that the target runs at once.
const SLOTS: u32 = 8;

/// Guards against calls that give their slot back while their connection to the target is still
/// being made: each further call opened one more, until the target's queue of connections to
/// accept was full and those of other callers timed out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_calls_open_no_more_connections_than_slots() {
    let bed = Bed::with_slots(SLOTS, ok, limits()).await;
    let calls = cancelled_calls();
    for _ in 0..CALLERS {
        let mut caller = bed.connect().await;
        caller.write_all(&calls).await.unwrap();
        bed.assert_serves("cancelled calls").await;
    }
    bed.assert_free_within(LONGEST_RUN, "cancelled calls").await;
    let accepted = bed.accepted();
    assert!(accepted <= SLOTS as usize, "{accepted} connections");
}

/// Makes calls that are all cancelled within the bytes of one read.
fn cancelled_calls() -> Vec<u8> {
    // Clients use the odd stream ids.
    let ids = (0..CALLS).map(|call| 2 * call + 1);
    let begin = ids
        .clone()
        .flat_map(|id| frame(HEADERS, END_STREAM | END_HEADERS, id, &head()));
    let cancel = ids.flat_map(|id| frame(RST_STREAM, 0, id, &CANCEL));
    OPENING.iter().copied().chain(begin).chain(cancel).collect()
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
    [&length[1..], &[kind, flags], &stream.to_be_bytes(), payload].concat()
}

/// Encodes the head of a call by HPACK with names of the static table and plain values.
fn head() -> Vec<u8> {
    const METHOD_GET: u8 = 0x82;
    const SCHEME_HTTP: u8 = 0x86;
    const AUTHORITY: &[u8] = &[0x01];
    const PATH: &[u8] = &[0x04];
    const AUTHORIZATION: &[u8] = &[0x0f, 0x08];
    let field = |name: &[u8], value: &str| {
        let length = u8::try_from(value.len()).unwrap();
        [name, &[length], value.as_bytes()].concat()
    };
    [
        vec![METHOD_GET, SCHEME_HTTP],
        field(AUTHORITY, "h2-host"),
        field(PATH, "/v1/services/one/x"),
        field(AUTHORIZATION, &format!("Bearer {KEY}")),
    ]
    .concat()
}
