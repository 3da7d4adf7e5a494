use std::time::Duration;

use coriandernotch::clock::Instant;
use coriandernotch::fleet::WorkspaceId;
use coriandernotch::limit::{Cap, Envelope, FRESHNESS, Terms};

use super::message::{Body, Message};
use super::node::Node;
use super::step::Step;
use super::unit::Unit;

pub(crate) const WORKSPACE: WorkspaceId = WorkspaceId(0);

/// A fleet of real ledgers with a simulated network that may lose, duplicate and reorder messages,
/// and the units that actually run.
#[derive(Clone, Debug)]
pub(crate) struct Simulation {
    pub(crate) now: Instant,
    pub(crate) nodes: Vec<Node>,
    /// Messages that were sent and not yet delivered.
    pub(crate) sent: Vec<Message>,
    pub(crate) units: Vec<Unit>,
    /// Committed versions and when they were committed.
    pub(crate) versions: Vec<(Terms, Instant)>,
    pub(crate) proposal: Option<Terms>,
    /// Units started by the last `Run` or `RunExpecting` step.
    pub(crate) started_by_step: u32,
    /// Units started since the beginning.
    pub(crate) total_started: u32,
}

impl Simulation {
    pub(crate) fn new(nodes: usize, limit: u32) -> Self {
        let mut out = Self {
            now: Instant::from_start(Duration::from_secs(100)),
            nodes: (0..nodes).map(|i| Node::new(i, 1)).collect(),
            sent: Vec::new(),
            units: Vec::new(),
            versions: Vec::new(),
            proposal: None,
            started_by_step: 0,
            total_started: 0,
        };
        let all = (1_u64 << nodes) - 1;
        for step in [Step::Propose(limit, all, 10), Step::Commit] {
            out.apply(step);
        }
        (0..nodes).for_each(|n| out.apply(Step::Install(n)));
        out
    }

    pub(crate) fn apply(&mut self, step: Step) {
        let node = { step }.node().map(|n| &self.nodes[*n]);
        if node.is_some_and(|n| n.paused) && !matches!(step, Step::Restart(_) | Step::Resume(_)) {
            return;
        }
        match step {
            Step::Take(n) => {
                self.take(n);
            }
            Step::Start(n) => {
                let unstarted = self.units.iter().filter(|u| u.end.is_none()).count();
                for _ in 0..unstarted {
                    self.start(n);
                }
            }
            Step::Run(n, count) => {
                self.started_by_step = 0;
                for _ in 0..count {
                    self.started_by_step += u32::from(self.take(n) && self.start(n));
                }
            }
            Step::RunExpecting(n, count, expected) => {
                self.apply(Step::Run(n, count));
                assert_eq!(self.started_by_step, expected, "{step:?}");
            }
            Step::SetWaiting(n, count) => {
                self.nodes[n].ledger.set_waiting(WORKSPACE, count, self.now);
            }
            Step::End(n) => {
                let voter = self.nodes[n].voter.clone();
                let runs = |u: &Unit| u.holder == voter && u.end.is_some();
                if let Some(i) = self.units.iter().position(runs) {
                    let unit = self.units.remove(i);
                    self.nodes[n].ledger.release(unit.permit);
                }
            }
            Step::Tick(n) => {
                let orders = self.nodes[n].ledger.tick(self.now);
                self.send(n, orders);
            }
            Step::Report(n) => {
                let report = self.nodes[n].ledger.report();
                for to in self.nodes.iter().map(|n| n.voter.clone()) {
                    let (from, body) = (self.nodes[n].voter.clone(), Body::Report(report.clone()));
                    self.sent.push(Message { from, to, body });
                }
            }
            Step::Deliver(i) if i < self.sent.len() => {
                let message = self.sent.remove(i);
                self.deliver(message);
            }
            Step::Duplicate(i) if i < self.sent.len() => self.sent.push(self.sent[i].clone()),
            Step::Lose(i) if i < self.sent.len() => {
                self.sent.remove(i);
            }
            Step::Deliver(_) | Step::Duplicate(_) | Step::Lose(_) => {}
            Step::DeliverAll => {
                let mut messages = std::mem::take(&mut self.sent);
                while !messages.is_empty() {
                    messages.into_iter().for_each(|m| self.deliver(m));
                    let to_paused =
                        |m: &Message| self.nodes.iter().any(|n| n.voter == m.to && n.paused);
                    (self.sent, messages) = std::mem::take(&mut self.sent)
                        .into_iter()
                        .partition(to_paused);
                }
            }
            Step::Sync => {
                for n in 0..self.nodes.len() {
                    for step in [Step::Install(n), Step::Tick(n), Step::Report(n)] {
                        self.apply(step);
                    }
                }
                self.apply(Step::DeliverAll);
            }
            Step::Advance(millis) => {
                self.now = self.now + Duration::from_millis(millis);
                self.finish();
            }
            Step::Restart(n) => self.nodes[n] = Node::new(n, self.nodes[n].voter.incarnation + 1),
            Step::Pause(n) => self.nodes[n].paused = true,
            Step::Resume(n) => {
                self.nodes[n].paused = false;
                self.finish();
            }
            Step::Propose(limit, mask, run) => {
                let indexed = self.nodes.iter().enumerate();
                let voters = indexed.filter(|(i, _)| mask & (1 << i) != 0);
                let cap = |i: u32, name: &str| Cap {
                    workspace: WorkspaceId(i),
                    name: name.into(),
                    limit,
                };
                self.proposal = Some(Terms::new(
                    self.versions.len() as u64 + 1,
                    voters.map(|(_, n)| n.voter.clone()).collect(),
                    vec![cap(0, "quotes"), cap(1, "pickups")],
                    Duration::from_secs(run),
                ));
            }
            Step::Prepare(n) => {
                if let Some(terms) = &self.proposal {
                    self.nodes[n].ledger.prepare(terms, self.now);
                }
            }
            Step::Abandon(n) => {
                if let Some(terms) = &self.proposal {
                    self.nodes[n].ledger.abandon(terms.id());
                }
            }
            Step::Commit => {
                let next = self.versions.len() as u64 + 1;
                if let Some(terms) = self.proposal.take_if(|t| t.version == next) {
                    self.versions.push((terms, self.now));
                }
            }
            Step::Install(n) => {
                let known = self.nodes[n].ledger.version() as usize;
                if let Some((terms, _)) = self.versions.get(known) {
                    self.nodes[n].ledger.install(terms, self.now);
                }
            }
            Step::InstallNewest(n) => {
                if let Some((terms, _)) = self.versions.last() {
                    self.nodes[n].ledger.install(terms, self.now);
                }
            }
            Step::Retire(n) => {
                let orders = self.nodes[n].ledger.begin_shutdown(self.now);
                self.send(n, orders);
            }
        }
    }

    /// Returns a string that is equal for equal states.
    pub(crate) fn state_key(&self) -> String {
        let Self {
            now,
            nodes,
            sent,
            units,
            versions,
            ..
        } = self;
        format!("{now:?} {nodes:?} {sent:?} {units:?} {}", versions.len())
    }

    /// Returns how many units run in the whole fleet.
    pub(crate) fn running(&self) -> u32 {
        self.units.iter().filter(|u| u.end.is_some()).count() as u32
    }

    /// Returns whether the number of running units is at most the highest limit that may still be
    /// in force at some node.
    pub(crate) fn limit_is_respected(&self) -> bool {
        let superseded = self.versions.iter().skip(1).map(|(_, since)| Some(*since));
        let intervals = self.versions.iter().zip(superseded.chain([None]));
        let longest = self.versions.iter().map(|(t, _)| t.longest_run).max();
        let grace = FRESHNESS + longest.unwrap_or_default();
        let maybe_in_force =
            intervals.filter(|(_, end)| end.is_none_or(|end| self.now <= end + grace));
        let limit = maybe_in_force
            .map(|((terms, _), _)| terms.caps[0].limit)
            .max();
        self.running() <= limit.unwrap_or(0)
    }

    fn take(&mut self, n: usize) -> bool {
        let node = &mut self.nodes[n];
        let Ok(permit) = node.ledger.take(WORKSPACE, self.now) else {
            return false;
        };
        self.units.push(Unit {
            holder: node.voter.clone(),
            permit,
            end: None,
        });
        true
    }

    /// Starts the unit of a node that took its permit last, or gives the permit back.
    fn start(&mut self, n: usize) -> bool {
        let fresh = self.is_fresh(n);
        let node = &mut self.nodes[n];
        let unstarted = |u: &Unit| u.holder == node.voter && u.end.is_none();
        let Some(i) = self.units.iter().rposition(unstarted) else {
            return false;
        };
        match node.ledger.check(self.units[i].permit, self.now) {
            Ok(end) if fresh => {
                self.units[i].end = Some(end);
                self.total_started += 1;
                true
            }
            _ => {
                let unit = self.units.remove(i);
                node.ledger.release(unit.permit);
                false
            }
        }
    }

    /// Returns whether a node may have evidence that the versions it enforces are in force, under
    /// the most permissive reading of the configuration protocol.
    fn is_fresh(&self, n: usize) -> bool {
        let ledger = &self.nodes[n].ledger;
        let mut known = ledger.version() as usize;
        let next = self.versions.get(known).map(|(t, _)| t.id());
        known += usize::from(next.is_some_and(|mark| ledger.is_pending(mark)));
        let superseded = self.versions.get(known);
        superseded.is_none_or(|(_, since)| self.now <= *since + FRESHNESS)
    }

    /// Ends the units whose end has been reached and gives back their permits, also at paused
    /// nodes.
    fn finish(&mut self) {
        let (now, nodes) = (self.now, &mut self.nodes);
        self.units.retain_mut(|unit| {
            if unit.end.is_none_or(|end| now < end) {
                return true;
            }
            if let Some(node) = nodes.iter_mut().find(|n| n.voter == unit.holder) {
                node.ledger.release(unit.permit);
            }
            false
        });
    }

    fn send(&mut self, n: usize, orders: Vec<Envelope>) {
        let node = &self.nodes[n];
        self.sent.extend(orders.into_iter().filter_map(|order| {
            let (from, to) = (node.voter.clone(), node.ledger.voter(order.to)?.clone());
            let body = Body::Request(order.request);
            Some(Message { from, to, body })
        }));
    }

    /// Delivers a message to its receiver. A restarted receiver never gets it, and a paused one
    /// gets it later.
    fn deliver(&mut self, message: Message) {
        let Some(node) = self.nodes.iter_mut().find(|n| n.voter == message.to) else {
            return;
        };
        if node.paused {
            self.sent.push(message);
            return;
        }
        let from = node.ledger.peer_id(&message.from);
        match message.body {
            Body::Request(request) => {
                let reply = node.ledger.handle_request(from, request, self.now);
                self.sent.extend(reply.map(|reply| Message {
                    from: message.to,
                    to: message.from,
                    body: Body::Reply(reply),
                }));
            }
            Body::Reply(reply) => node.ledger.apply_reply(from, reply, self.now),
            Body::Report(report) => node.ledger.apply_report(from, report, self.now),
        }
    }
}
