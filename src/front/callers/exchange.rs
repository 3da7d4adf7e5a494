use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response};

use super::accept::{Call, accept};
use super::body::Body;
use super::claimed::claim;
use super::connections::Sender;
use super::dial::Dial;
use super::hold::Hold;
use super::note::note;
use super::port::Port;
use super::reply::Reply;
use super::send::{Step, send};
use crate::call::Grant;
use crate::clock::{self, Instant};
use crate::route::Verdict;

/// Answers one call.
pub(super) async fn exchange(port: Arc<Port>, request: Request<Incoming>) -> Response<Body> {
    let start = clock::now();
    match run(&port, request, start).await {
        Ok(response) => response,
        Err(reply) => reply.into_response(),
    }
}

async fn run(
    port: &Arc<Port>,
    request: Request<Incoming>,
    start: Instant,
) -> Result<Response<Body>, Reply> {
    let call = accept(port, request, start).inspect_err(|reply| note(port, reply, None))?;
    let Some(claim_request) = call.claim_request.clone() else {
        return dispatch(port, call).await;
    };
    let ticket = match claim(&port.claims, &claim_request).await {
        Ok(ticket) => ticket,
        Err(response) => return Ok(*response),
    };
    let hold = Hold::new(&port.claims, ticket, call.sent.clone());
    dispatch(port, call)
        .await
        .map(|response| hold.keep(response))
}

/// Runs a call, again where that is safe.
async fn dispatch(port: &Arc<Port>, call: Call) -> Result<Response<Body>, Reply> {
    let order = call.order;
    let result = try_dispatch(port, call).await;
    result.inspect_err(|reply| note(port, reply, Some(order)))
}

async fn try_dispatch(port: &Arc<Port>, mut call: Call) -> Result<Response<Body>, Reply> {
    loop {
        let grant = port.dispatcher.admit(call.order, clock::now()).await?;
        let (grant, sender) = connect(port, call.order.deadline, grant).await?;
        match send(port, &mut call, grant, sender).await? {
            Step::Done(response) => return Ok(response),
            Step::Again => {}
        }
    }
}

/// Finds a target that can be reached. Nothing was sent yet, so every failure is truly not run.
async fn connect(
    port: &Port,
    deadline: Instant,
    mut grant: Grant,
) -> Result<(Grant, Sender), Reply> {
    loop {
        if let Some(sender) = port.connections.take_ready(grant.address()) {
            return Ok((grant, sender));
        }
        let left = deadline.since(clock::now());
        let limit = port.limits.connect_timeout.min(left);
        let result;
        (grant, result) = Dial::start(grant, port.connections.clone(), limit).await;
        match result {
            Ok(sender) => return Ok((grant, sender)),
            Err(error) => {
                log::warn!(event = "target-unreachable", step = "connect",
                    peer:% = grant.address(), error:% = error; "");
                let now = clock::now();
                // A wait that the caller's deadline cut short says nothing about the target.
                let verdict = match now < deadline {
                    true => Verdict::Unreachable,
                    false => Verdict::Neutral,
                };
                grant.retry(verdict, now)?;
            }
        }
    }
}
