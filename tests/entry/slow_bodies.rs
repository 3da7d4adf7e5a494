use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::instance::{TIMEOUT, start_instance};
use crate::platform::{ONE, TWO, start_platform};

/// Guards against an answer that leaves open whether the job is stored although its body has not
/// arrived: callers may repeat only what 503 refuses or what never ran, and 504 says neither.
#[tokio::test(flavor = "multi_thread")]
async fn refuses_a_submission_whose_body_is_not_there_before_the_deadline() {
    let (_store, address, _worker) = start_platform().await;
    let instance = start_instance("slow-bodies", address);
    instance.submit(ONE, "1").await;
    let mut caller = TcpStream::connect(instance.callers).await.unwrap();
    let head = format!(
        "POST {TWO} HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer key-1\r\nx-deadline-ms: 600\r\n\
         content-length: 1000\r\n\r\n{{"
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    let mut status = [0; 12];
    let read = timeout(TIMEOUT, caller.read_exact(&mut status)).await;
    read.expect("an answer").unwrap();
    assert_eq!(std::str::from_utf8(&status).unwrap(), "HTTP/1.1 503");
}
