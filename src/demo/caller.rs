use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use super::journal::{Entry, Journal};
use super::{Bed, Client};
use crate::clock;
use crate::random::Random;

/// Think time of a caller between two calls.
const THINK: Duration = Duration::from_millis(40);

/// Wait after a refusal or when no instance is ready, as `Retry-After` scaled to the short run.
const BACK_OFF: Duration = Duration::from_millis(100);

/// One caller of the load: a workspace's key for one service.
#[derive(Clone)]
pub(super) struct Caller {
    pub(super) number: u64,
    pub(super) seed: u64,
    pub(super) workspace: Arc<str>,
    pub(super) service: Arc<str>,
    pub(super) key: Arc<str>,
    /// How many times the mean the service's load is now, in percent.
    pub(super) pace: Arc<AtomicU32>,
    pub(super) stop: Arc<AtomicBool>,
}

impl Caller {
    /// Calls until the run stops.
    pub(super) async fn run(self, bed: Arc<Bed>, journal: Arc<Journal>) {
        let mut random = Random::new(self.seed.wrapping_add(self.number));
        let mut client = Client::default();
        let mut count = 0u64;
        while !self.stop.load(Ordering::Acquire) {
            let ready = bed.ready();
            if ready.is_empty() {
                tokio::time::sleep(BACK_OFF).await;
                continue;
            }
            let to = ready[random.below(ready.len() as u64) as usize];
            count += 1;
            let id: Arc<str> = format!("{}-{count}", self.number).into();
            let post = random.below(2) == 0;
            let body = format!("{id} {}", "x".repeat(random.below(2000) as usize));
            let request = self.make(&id, post, &body);
            let sent = clock::now();
            let reply = client.call(to, request).await;
            let entry = Entry {
                id,
                workspace: self.workspace.clone(),
                service: self.service.clone(),
                key: self.key.clone(),
                idempotent: !post,
                sent,
                took: clock::now().since(sent),
                whole: reply.as_ref().is_ok_and(|r| r.body == body.as_bytes()),
                answer: reply.ok().map(|r| (r.status, r.outcome().to_owned())),
            };
            let answered = entry
                .answer
                .as_ref()
                .is_some_and(|(status, _)| status.is_success());
            journal.add(entry);
            let pace = f64::from(self.pace.load(Ordering::Acquire).max(1)) / 100.0;
            let think = THINK
                .div_f64(pace)
                .mul_f64(0.5 + random.below(1000) as f64 / 1000.0);
            tokio::time::sleep(if answered { think } else { think.max(BACK_OFF) }).await;
        }
    }

    fn make(&self, id: &str, post: bool, body: &str) -> Request<Full<Bytes>> {
        // PUT carries a body and is idempotent, POST is not.
        let method = if post { "POST" } else { "PUT" };
        Request::builder()
            .method(method)
            .uri(format!("/v1/services/{}/item", self.service))
            .header("host", "demo")
            .header("authorization", format!("Bearer {}", self.key))
            .header("x-request-id", id)
            .header("x-workspace", &*self.workspace)
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .expect("the parts of the request are valid")
    }
}
