use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use tokio::sync::{Notify, watch};

use super::{Link, Signals};
use crate::call::Load;
use crate::clock::Instant;
use crate::collections::Map;
use crate::config::Voter;
use crate::control::Control;
use crate::fleet::Digest;
use crate::wire::{Body, Hello, PROTOCOL};

/// Instances that watch the lease of each queue, so that the reads do not grow with the fleet.
pub const CANDIDATES: usize = 3;

/// Connected peers of one entry instance.
pub struct Hub {
    control: Arc<Control>,
    data_centre: Arc<str>,
    links: Mutex<Map<Arc<str>, Link>>,
    /// What each connected peer last said that it runs.
    loads: Mutex<Map<Arc<str>, Load>>,
    /// Version in force at each connected peer, as it last said.
    versions: Mutex<Map<Arc<str>, u64>>,
    signals: Signals,
    /// Woken when something must be fetched.
    wants: Notify,
    /// Bytes sent to peers, with headers.
    sent: AtomicU64,
    stop: watch::Sender<bool>,
}

impl Hub {
    /// Makes a hub without peers.
    pub fn new(control: Arc<Control>, data_centre: &str) -> Arc<Self> {
        Arc::new(Self {
            control,
            data_centre: data_centre.into(),
            links: Mutex::default(),
            loads: Mutex::default(),
            versions: Mutex::default(),
            signals: Signals::default(),
            wants: Notify::new(),
            sent: AtomicU64::new(0),
            stop: watch::Sender::new(false),
        })
    }

    /// Returns the configuration of this instance.
    pub fn control(&self) -> &Arc<Control> {
        &self.control
    }

    /// Lists the connected peers.
    pub fn links(&self) -> Vec<Link> {
        self.links
            .lock()
            .expect("links lock")
            .values()
            .cloned()
            .collect()
    }

    /// Returns the connection to one life of a peer.
    pub fn link(&self, voter: &Voter) -> Option<Link> {
        let links = self.links.lock().expect("links lock");
        links
            .get(&voter.name)
            .filter(|link| link.voter() == voter)
            .cloned()
    }

    /// Returns whether a peer of this name is connected.
    pub fn is_connected(&self, name: &str) -> bool {
        self.links.lock().expect("links lock").contains_key(name)
    }

    /// Sends a message to all connected peers.
    pub fn tell_all(&self, body: &Body) {
        for link in self.links() {
            link.tell(body.clone());
        }
    }

    /// Returns the sign that is woken when something must be fetched.
    pub fn wants(&self) -> &Notify {
        &self.wants
    }

    /// Returns the bytes sent to peers since the start, with the headers of each frame.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    pub(super) fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the signs that queues have news.
    pub fn signals(&self) -> &Signals {
        &self.signals
    }

    /// Returns the place of this instance in the order of those who should hold `queue`.
    pub fn candidate_rank(&self, queue: &str) -> usize {
        let own = weigh(queue, &self.control.own().name);
        let links = self.links();
        let before = links.iter().filter(|l| weigh(queue, &l.voter().name) > own);
        before.count()
    }

    /// Tells those who may hold `queue` that it has news. A lost message only delays the holder.
    pub fn notify(&self, queue: &str) {
        self.signals.notify(queue);
        let mut links = self.links();
        links.sort_by_key(|l| std::cmp::Reverse(weigh(queue, &l.voter().name)));
        for link in links.iter().take(CANDIDATES) {
            link.tell(Body::Work(queue.to_owned()));
        }
    }

    /// Ends all connections.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    pub(super) fn stopped(&self) -> watch::Receiver<bool> {
        self.stop.subscribe()
    }

    pub(super) fn hello(&self) -> Hello {
        let own = self.control.own();
        Hello {
            protocol: PROTOCOL,
            name: own.name.to_string(),
            incarnation: own.incarnation,
            data_centre: self.data_centre.to_string(),
        }
    }

    /// Adds a connected peer, unless a newer life of it is connected.
    pub(super) fn attach(&self, link: &Link) -> bool {
        let mut links = self.links.lock().expect("links lock");
        let old = links.get(&link.voter().name).map(|l| l.voter().incarnation);
        if old.is_some_and(|incarnation| incarnation > link.voter().incarnation) {
            return false;
        }
        links.insert(link.voter().name.clone(), link.clone());
        true
    }

    pub(super) fn detach(&self, link: &Link, now: Instant) {
        let mut links = self.links.lock().expect("links lock");
        let name = &link.voter().name;
        if links.get(name).is_some_and(|current| current.is_same(link)) {
            links.remove(name);
            drop(links);
            self.loads.lock().expect("loads lock").remove(name);
            self.versions.lock().expect("versions lock").remove(name);
            self.pass_loads(now);
        }
    }

    /// Returns the version in force at a connected peer, once it said so.
    pub fn version(&self, name: &str) -> Option<u64> {
        let versions = self.versions.lock().expect("versions lock");
        versions.get(name).copied()
    }

    pub(super) fn learn_version(&self, name: &Arc<str>, version: u64) {
        let mut versions = self.versions.lock().expect("versions lock");
        versions.insert(name.clone(), version);
    }

    /// Returns what a connected peer last said that it runs.
    pub fn load(&self, name: &str) -> Option<Load> {
        self.loads.lock().expect("loads lock").get(name).cloned()
    }

    pub(super) fn learn_load(&self, name: &Arc<str>, load: Load, now: Instant) {
        self.loads
            .lock()
            .expect("loads lock")
            .insert(name.clone(), load);
        self.pass_loads(now);
    }

    fn pass_loads(&self, now: Instant) {
        let mut sum = Load::default();
        self.loads
            .lock()
            .expect("loads lock")
            .values()
            .for_each(|load| sum.add(load));
        self.control.dispatcher().set_peer_load(&sum, now);
    }
}

/// Weight of an instance for a queue in the rendezvous order.
fn weigh(queue: &str, name: &str) -> Digest {
    Digest::of(format!("{queue} {name}").as_bytes())
}
