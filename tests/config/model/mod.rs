//! Model of a fleet: the decision types under test with a simulated store and network, advanced in
//! single steps.

mod attempt;
mod check;
mod delayed;
mod node;
mod step;

use std::time::Duration;

use coriandernotch::clock::Instant;
use coriandernotch::config::*;

use attempt::Attempt;
use delayed::Delayed;
pub(crate) use node::Node;
pub(crate) use step::Step;

/// State of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Model {
    pub(crate) now: Instant,
    pub(crate) nodes: Vec<Node>,
    /// Head row in the store.
    pub(crate) row: Revision,
    attempts: Vec<Attempt>,
    delayed: Vec<Delayed>,
    /// Pairs of nodes whose link has failed, the lower number first.
    disconnected: Vec<(usize, usize)>,
    /// Accepted changes: time, operation and version.
    accepted: Vec<(Instant, Operation, u64)>,
    /// Voters that committers may count as ended.
    ended: Vec<Voter>,
    /// Sequence number of the newest attempt.
    pub(crate) last_sequence: u64,
    /// Longest time after the acceptance of a version at which an instance still admitted work
    /// without enforcing it.
    pub(crate) longest_lag: Duration,
    /// Number of times an instance was found to admit work.
    pub(crate) admissions: u64,
}

impl Model {
    pub(crate) fn new(nodes: usize) -> Self {
        let names = ["a", "b", "c", "d", "e"];
        let now = Instant::from_start(Duration::from_secs(100));
        let new_node = |name: &&str| Node {
            state: State::example(name, &names[..nodes], now),
            running: true,
            paused: None,
            store_reachable: true,
            voter: Voter::new(name, 1),
        };
        let nodes: Vec<Node> = names[..nodes].iter().map(new_node).collect();
        let row = nodes[0].state.revision().unwrap();
        Self {
            now,
            nodes,
            row,
            attempts: Vec::new(),
            delayed: Vec::new(),
            disconnected: Vec::new(),
            accepted: Vec::new(),
            ended: Vec::new(),
            last_sequence: 1,
            longest_lag: Duration::ZERO,
            admissions: 0,
        }
    }

    /// Tells whether the process of a node runs and is not paused.
    fn active(&self, node: usize) -> bool {
        self.nodes[node].running && self.nodes[node].paused.is_none()
    }

    /// Tells whether two different nodes are active and can exchange messages.
    fn connected(&self, a: usize, b: usize) -> bool {
        a != b
            && self.active(a)
            && self.active(b)
            && !self.disconnected.contains(&(a.min(b), a.max(b)))
    }

    fn origin(&mut self, node: usize) -> Origin {
        self.last_sequence += 1;
        Origin::new(
            Operation::of(&self.nodes[node].voter, self.last_sequence),
            "model",
            0,
        )
    }

    fn propose(&mut self, node: usize, commit: Commit) {
        let committer = self.nodes[node].voter.clone();
        let (aborted, write_sent, accepted) = (false, false, false);
        self.attempts.push(Attempt {
            commit,
            committer,
            aborted,
            write_sent,
            accepted,
        });
    }

    /// Advances the time; nodes that run and are not paused are called at least every 3 s.
    fn tick(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + Duration::from_secs(3)).min(end);
            for node in self.nodes.iter_mut().filter(|node| node.running) {
                match node.paused {
                    None => node.state.tick(self.now),
                    // The platform may then omit the instance, and a commit may exclude it.
                    Some(since) if self.now.since(since) > PAUSE_LIMIT => {
                        if !self.ended.contains(&node.voter) {
                            self.ended.push(node.voter.clone());
                        }
                    }
                    Some(_) => {}
                }
            }
        }
    }

    /// Applies a step.
    #[expect(clippy::too_many_lines, reason = "one arm per kind of step")]
    pub(crate) fn step(&mut self, step: Step) {
        let now = self.now;
        let count = self.nodes.len();
        let node = |n: u8| n as usize % count;
        let attempt_count = self.attempts.len();
        let recent_attempt = |k: u8| attempt_count - 1 - k as usize % attempt_count.min(2);
        match step {
            Step::Tick(millis) => self.tick(Duration::from_millis(millis.into())),
            Step::Read(n) | Step::DelayRead(n) => {
                let n = node(n);
                if !self.active(n) || !self.nodes[n].store_reachable {
                } else if matches!(step, Step::Read(_)) {
                    self.nodes[n].state.on_head_read(now, now, &self.row);
                } else if self.delayed.len() < 4 {
                    self.delayed.push(Delayed::Read(n, now, self.row.clone()));
                }
            }
            Step::Pull(n, peer) | Step::DelayPull(n, peer) => {
                let (n, peer) = (node(n), node(peer));
                if self.connected(n, peer) {
                    let affirmation = self.nodes[peer].state.on_pull(now);
                    if matches!(step, Step::Pull(..)) {
                        self.nodes[n].state.on_ages(now, now, &affirmation);
                    } else if self.delayed.len() < 4 {
                        self.delayed.push(Delayed::Pull(n, now, affirmation));
                    }
                }
            }
            Step::DeliverDelayed(k) if !self.delayed.is_empty() => {
                match self.delayed.remove(k as usize % self.delayed.len()) {
                    Delayed::Read(n, at, revision) if self.active(n) => {
                        self.nodes[n].state.on_head_read(now, at, &revision);
                    }
                    Delayed::Pull(n, at, affirmation) if self.active(n) => {
                        self.nodes[n].state.on_ages(now, at, &affirmation);
                    }
                    _ => {}
                }
            }
            Step::Propose(n) if self.active(node(n)) => {
                let origin = self.origin(node(n));
                if let Some(base) = self.nodes[node(n)].state.revision() {
                    let content = format!("[{}]", self.last_sequence);
                    self.propose(node(n), Commit::document(base, &content, &origin));
                }
            }
            Step::ProposeVoters(n) if self.active(node(n)) => {
                let origin = self.origin(node(n));
                let state = &self.nodes[node(n)].state;
                if let Some((base, version)) = state.revision().zip(state.in_force()) {
                    let running = self.nodes.iter().filter(|other| other.running);
                    let add: Vec<Voter> = running.map(|other| other.voter.clone()).collect();
                    let (content, ended) = (version.content.clone(), &self.ended);
                    let commit = Commit::voters(base, content, &add, ended, &origin);
                    self.propose(node(n), commit);
                }
            }
            Step::Prepare(k, n) | Step::PrepareLost(k, n) if attempt_count > 0 => {
                let attempt = &mut self.attempts[recent_attempt(k)];
                let n = node(n);
                if self.nodes[n].running && self.nodes[n].paused.is_none() && !attempt.aborted {
                    let ack = self.nodes[n]
                        .state
                        .on_prepare(now, attempt.commit.prepare());
                    if matches!(step, Step::Prepare(..)) {
                        attempt.commit.on_ack(&ack);
                    }
                }
            }
            Step::SendWrite(k) if attempt_count > 0 => {
                let attempt = &mut self.attempts[recent_attempt(k)];
                let committer = self.nodes.iter().find(|n| n.voter == attempt.committer);
                if let Some(committer) =
                    committer.filter(|n| n.running && n.paused.is_none() && n.store_reachable)
                {
                    let inactive = |voter: &Voter| {
                        self.ended.contains(voter) || committer.state.is_retired(voter)
                    };
                    attempt.write_sent |= !attempt.aborted && attempt.commit.has_quorum(inactive);
                }
            }
            Step::ApplyWrite(k) if attempt_count > 0 => {
                let attempt = &mut self.attempts[recent_attempt(k)];
                let prepare = attempt.commit.prepare();
                if attempt.write_sent && prepare.base.number == self.row.number {
                    let head = prepare.version.head.clone();
                    self.accepted.push((now, head.operation, head.version));
                    attempt.accepted = true;
                    self.row = Revision {
                        number: self.row.number + 1,
                        head,
                    };
                }
            }
            Step::Commit(k, n) if attempt_count > 0 && self.active(node(n)) => {
                let attempt = &self.attempts[recent_attempt(k)];
                if attempt.accepted {
                    let prepare = attempt.commit.prepare();
                    let number = prepare.base.number + 1;
                    let head = prepare.version.head.clone();
                    self.nodes[node(n)]
                        .state
                        .on_commit(now, &Revision { number, head });
                }
            }
            Step::Abort(k, n) if attempt_count > 0 => {
                let attempt = &mut self.attempts[recent_attempt(k)];
                attempt.aborted |= !attempt.write_sent;
                if attempt.aborted
                    && self.nodes[node(n)].running
                    && self.nodes[node(n)].paused.is_none()
                {
                    let operation = attempt.commit.prepare().operation();
                    self.nodes[node(n)].state.on_abort(now, operation);
                }
            }
            Step::Fence(n) if self.active(node(n)) && self.nodes[node(n)].store_reachable => {
                if let Some(write) = self.nodes[node(n)].state.fence(now) {
                    use coriandernotch::platform::Condition;
                    if write.condition == Condition::Version(self.row.number) {
                        assert_eq!(write.value.as_deref(), Some(&*self.row.head.to_json()));
                        self.row.number += 1;
                    }
                }
            }
            Step::Fetch(n, peer) if self.connected(node(n), node(peer)) => {
                for want in self.nodes[node(n)].state.wants() {
                    let peer = self.nodes[node(peer)].state.clone();
                    let (revision, mut enforced) = (peer.revision(), peer.enforced());
                    let content = enforced.find(|v| want == Want::Content(v.head.digest));
                    let content = content.map(|version| version.content.clone());
                    let pending = peer.pending().iter().map(|pending| &pending.prepare);
                    let mut pending = pending.filter(|p| want == Want::Pending(p.operation()));
                    let pending = pending.next().cloned();
                    let state = &mut self.nodes[node(n)].state;
                    match (revision, content, pending) {
                        (_, Some(content), _) => state.on_content(now, &content),
                        (_, _, Some(prepare)) => drop(state.on_prepare(now, &prepare)),
                        (Some(revision), ..) => state.on_commit(now, &revision),
                        _ => {}
                    }
                }
            }
            Step::Crash(n) if self.nodes[node(n)].running => {
                self.nodes[node(n)].running = false;
                self.ended.push(self.nodes[node(n)].voter.clone());
            }
            Step::Restart(n) if !self.nodes[node(n)].running => {
                let node = &mut self.nodes[node(n)];
                node.voter.incarnation += 1;
                node.state = State::new(node.voter.clone(), now);
                (node.running, node.paused) = (true, None);
            }
            Step::Pause(n) if self.active(node(n)) => self.nodes[node(n)].paused = Some(now),
            Step::Resume(n) => {
                let node = &mut self.nodes[node(n)];
                if node.paused.take().is_some() {
                    node.state.tick(now);
                }
                if node.running && node.state.vote() == Vote::Lost {
                    node.voter.incarnation += 1;
                    node.state.rejoin(now, node.voter.clone());
                }
            }
            Step::Retire(n, peers) if self.active(node(n)) => {
                let n = node(n);
                let last = self.nodes[n].state.retire(now);
                for peer in 0..count {
                    if peers & (1 << peer) != 0 && self.connected(n, peer) {
                        self.nodes[peer].state.on_retire(now, &last);
                    }
                }
                self.nodes[n].running = false;
                self.ended.push(self.nodes[n].voter.clone());
            }
            Step::ToggleStore(n) => self.nodes[node(n)].store_reachable ^= true,
            Step::ToggleLink(a, b) => {
                let link = (node(a).min(node(b)), node(a).max(node(b)));
                match self.disconnected.iter().position(|other| *other == link) {
                    Some(index) => drop(self.disconnected.remove(index)),
                    None => self.disconnected.push(link),
                }
            }
            _ => {}
        }
    }
}
