use std::io::ErrorKind;
use std::time::Duration;

use coriandernotch::clock::{self, Instant};
use coriandernotch::platform::api::{Fault, Fleet};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::fleet;

/// Time after which the client gives a call up.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time within which the test must see the end of a connection.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a time that does not come before the end of the test.
fn later() -> Instant {
    clock::now() + TIMEOUT
}

/// Reads until the connection ends, and returns how it ended.
async fn end_of(connection: &mut TcpStream) -> std::io::Result<usize> {
    let mut buffer = [0; 1_024];
    loop {
        match connection.read(&mut buffer).await {
            Ok(read) if read > 0 => {}
            end => return end,
        }
    }
}

/// Asserts that a connection ends with a reset.
async fn assert_reset(connection: &mut TcpStream) {
    let end = timeout(TIMEOUT, end_of(connection)).await.expect("an end");
    let is_reset = end
        .as_ref()
        .is_err_and(|e| e.kind() == ErrorKind::ConnectionReset);
    assert!(is_reset, "{end:?}");
}

/// Guards against an order that arrives long after it was given up: its bytes were held up by a cut
/// link, and a connection that is closed in the ordinary way goes on to send them. The order of a
/// leader that was cut off came after those of its successor (rule ONE).
#[tokio::test]
async fn resets_the_connection_of_a_call_that_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let fleet = Fleet::new(listener.local_addr().unwrap(), "entry-1");
    let order = fleet.maintain("m-1", 1, 1, later(), RESPONSE_TIMEOUT);
    let (order, accepted) = tokio::join!(order, listener.accept());
    assert!(matches!(order, Err(Fault::Unknown { .. })), "{order:?}");
    assert_reset(&mut accepted.unwrap().0).await;
}

/// Guards against the same fault when the task that waits for the answer ends.
#[tokio::test]
async fn resets_the_connection_of_a_call_that_is_cancelled() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let fleet = Fleet::new(listener.local_addr().unwrap(), "entry-1");
    let order = tokio::spawn(async move { fleet.maintain("m-1", 1, 1, later(), TIMEOUT).await });
    let (mut connection, _) = listener.accept().await.unwrap();
    let request = connection.read(&mut [0; 1]).await.unwrap();
    assert_eq!(request, 1, "the request is sent");
    order.abort();
    assert_reset(&mut connection).await;
}

/// Guards against an order that is sent after the permission for it has ended: the connection took
/// long to open, or the process was paused, after the permission was checked.
#[tokio::test]
async fn sends_no_order_after_its_permission_has_ended() {
    let mut fleet = fleet::Fleet::default();
    fleet.add("m-1", "s");
    let client = Fleet::new(fleet.start().await, "entry-1");
    let ended = clock::now();
    let maintained = client.maintain("m-1", 1, 1, ended, RESPONSE_TIMEOUT).await;
    let moved = client
        .relocate("m-1", "t", 1, ended, RESPONSE_TIMEOUT)
        .await;
    for order in [maintained, moved] {
        assert!(matches!(order, Err(Fault::Unsent { .. })), "{order:?}");
    }
    assert_eq!(fleet.orders(), 0);
}
