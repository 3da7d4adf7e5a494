//! Owners, managers and requests.

use std::sync::Arc;

use coriandernotch::claim::{ClaimRequest, Manager, Owner, Reply, Settings, Verdict};
use coriandernotch::fleet::Digest;
use coriandernotch::standin::Store;

pub(super) const HOUR_MS: u64 = 3_600_000;

pub(super) fn owner(name: &str, incarnation: u64) -> Owner {
    Owner {
        instance: name.into(),
        incarnation,
    }
}

pub(super) fn manager(store: &Arc<Store>, name: &str, incarnation: u64) -> Manager {
    let settings = Settings::share(200.0, 8);
    Manager::start(
        store.platform(name).table,
        owner(name, incarnation),
        settings,
    )
}

pub(super) fn ask(key: &str) -> ClaimRequest {
    ClaimRequest::new("quotes", key, Digest::of(b"POST /orders"))
}

pub(super) fn reply(body: &[u8]) -> Reply {
    Reply {
        status: 201,
        headers: vec![("content-type".into(), "text/plain; \u{fc}".into())],
        body: body.to_vec().into(),
    }
}

pub(super) fn name(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::First(_) => "first",
        Verdict::Replay(_) => "replay",
        Verdict::Unkept(_) => "unkept",
        Verdict::Running => "running",
        Verdict::Unknown => "unknown",
        Verdict::Mismatch => "mismatch",
        Verdict::Unavailable(_) => "unavailable",
    }
}
