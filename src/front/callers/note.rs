use super::port::Port;
use super::reply::Reply;
use crate::call::Order;
use crate::clock;
use crate::event::{Event, Refusal, rule};

/// Notes a refusal for operators, with the figures behind the first one of a minute.
pub(super) fn note(port: &Port, reply: &Reply, order: Option<Order>) {
    let Some(reason) = reply.refusal() else {
        return;
    };
    let (workspace, service) = (order.map(|o| o.workspace), order.map(|o| o.service));
    let refusal = Refusal {
        reason,
        workspace,
        service,
    };
    let now = clock::now();
    port.dispatcher.events().refuse(now, refusal, || {
        let current = port.dispatcher.enforced().first().cloned();
        let current = current.as_ref();
        Event::Refused {
            reason,
            rule: rule(reason),
            workspace: workspace.and_then(|id| Some(current?.workspace(id)?.name.clone())),
            service: service.and_then(|id| Some(current?.service(id)?.name.clone())),
            figures: port.dispatcher.figures(workspace, service, now).into(),
        }
    });
}
