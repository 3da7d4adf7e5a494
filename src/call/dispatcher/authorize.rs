use std::sync::Arc;

use crate::admit::Refusal;
use crate::call::Order;
use crate::fleet::Snapshot;

/// Checks that every enforced version accepts the key and lets its workspace call the service.
pub(super) fn authorize(order: &Order, enforced: &[Arc<Snapshot>]) -> Result<(), Refusal> {
    let allowed = !enforced.is_empty()
        && enforced.iter().all(|s| {
            s.authenticate(&order.key) == Some(order.workspace)
                && s.may_call(order.workspace, order.service)
        });
    if allowed {
        Ok(())
    } else {
        Err(Refusal::Withdrawn)
    }
}
