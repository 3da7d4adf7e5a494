use hyper::{Response, StatusCode};
use serde_json::json;

use super::answer::{respond, store_unavailable};
use super::caller::Caller;
use super::context::Context;
use super::read::find;
use crate::front::callers::body::Body;
use crate::front::callers::reply::Reply;
use crate::jobs::{Reason, Record, State};
use crate::platform::{Condition, Error, Write};

/// Tries against changes of the row by the holder of the queue.
const TRIES: usize = 8;

/// Cancels a job.
///
/// The holder writes the row before it sends a start, so a waiting job whose row could be changed
/// has not run since.
pub(super) async fn cancel(
    context: &Context,
    caller: &Caller,
    queue: &str,
    id: &str,
) -> Result<Response<Body>, Reply> {
    let mut lost = false;
    for _ in 0..TRIES {
        let (row, mut record) = find(context, caller, queue, id).await?;
        let answer = |status, result: &str, record: &Record| {
            let id = format!("{queue}.{id}");
            let state = record.state;
            respond(
                status,
                &json!({"id": id, "result": result, "state": state, "runs": record.run}),
            )
        };
        if record.state == State::Cancelled && record.run == 0 {
            return Ok(answer(StatusCode::OK, "cancelled before it ran", &record));
        }
        if record.state.is_final() {
            return Ok(answer(StatusCode::OK, "already ended", &record));
        }
        if record.cancel {
            return Ok(answer(StatusCode::ACCEPTED, "stop requested", &record));
        }
        if record.state.is_waiting() {
            record.set_state(State::Cancelled, Reason::ByCaller);
        }
        record.cancel = true;
        let writes = vec![
            Write::put(&row.key, Condition::Version(row.version), &record.to_json()),
            Write::put(&Record::change_key(queue, id), Condition::Any, "{}"),
        ];
        match context.store.write(writes).await {
            Ok(()) => context.hub.notify(queue),
            // What the row says next settles it.
            Err(Error::Conflict { .. }) => {}
            Err(Error::Unknown { .. }) => lost = true,
            Err(Error::Unavailable { .. }) if lost => break,
            Err(Error::Unavailable { .. }) => return Err(store_unavailable()),
        }
    }
    Err(Reply::unknown(
        StatusCode::SERVICE_UNAVAILABLE,
        "the cancellation may have taken effect",
    ))
}
