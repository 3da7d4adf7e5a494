use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::{Body, Bytes};

use super::{Charge, CompleteBody, Connection, Evicted, Fault};

/// Capacity with which the buffer of a body begins.
const FIRST_BYTES: usize = 4 << 10;

/// Reads a body of at most `limit` bytes into one buffer, whose capacity is charged as it grows with
/// what has arrived. Parts of the body are copied, since each part of a read buffer that is kept
/// keeps all of that buffer.
///
/// # Errors
///
/// Fails when the connection is evicted, the body is too long or the client breaks off. The request
/// has not run.
pub async fn read<B>(
    connection: &Arc<Connection>,
    body: B,
    limit: usize,
) -> Result<CompleteBody, Fault>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    let hint = body.size_hint();
    if hint.lower() > limit as u64 {
        return Err(Fault::TooLong);
    }
    let most = hint.exact().map_or(limit, |length| length as usize);
    connection.declare(hint.lower() as usize);
    let mut body = std::pin::pin!(body);
    let mut charge = Charge::new(connection.clone());
    let mut bytes: Vec<u8> = Vec::new();
    loop {
        let frame = tokio::select! {
            biased;
            () = connection.evicted() => return Err(Evicted.into()),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            break;
        };
        let Ok(part) = frame?.into_data() else {
            continue;
        };
        let length = bytes.len() + part.len();
        if length > limit {
            return Err(Fault::TooLong);
        }
        if length > bytes.capacity() {
            let grown = length.max(bytes.capacity() * 2).max(FIRST_BYTES);
            let capacity = grown.min(most.max(length));
            connection
                .charge(&mut charge, capacity - bytes.capacity())
                .await?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&part);
    }
    if !connection.complete() {
        return Err(Evicted.into());
    }
    Ok(CompleteBody { bytes, charge })
}
