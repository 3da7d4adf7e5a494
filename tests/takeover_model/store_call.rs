use std::time::Duration;

use coriandernotch::clock::Instant;

use crate::page::Page;
use crate::process::Process;
use crate::purpose::Purpose;
use crate::request::Request;

/// A call of an instance to the store.
#[derive(Clone, Debug)]
pub(crate) struct StoreCall {
    pub(crate) process: Process,
    pub(crate) purpose: Purpose,
    pub(crate) request: Request,
    pub(crate) timeout: Duration,
    /// Pages that were read before.
    pub(crate) read: Option<Page>,
    /// When the first attempt was sent.
    pub(crate) sent: Instant,
}
