//! A fleet of the real decision types over a model of store and network, driven step by step.

use std::sync::Arc;
use std::time::Duration;

use coriandernotch::clock::Instant;
use coriandernotch::config::*;

/// One thing that happens; node and attempt numbers wrap around.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    Tick(u16),
    /// Reads the head; with `Hold` the answer is kept until `Release`.
    Read(u8),
    HoldRead(u8),
    Pull(u8, u8),
    HoldPull(u8, u8),
    Release(u8),
    Propose(u8),
    ProposeVoters(u8),
    Prepare(u8, u8),
    /// Delivers the proposal but loses the answer.
    PrepareLost(u8, u8),
    Write(u8),
    /// The write takes effect if its condition holds; may happen late and more than once.
    Effect(u8),
    Commit(u8, u8),
    Abort(u8, u8),
    Fence(u8),
    Fetch(u8, u8),
    Crash(u8),
    Restart(u8),
    Pause(u8),
    Resume(u8),
    Retire(u8, u8),
    Store(u8),
    Link(u8, u8),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Node {
    pub(crate) state: State,
    pub(crate) running: bool,
    /// Since when the process is stopped.
    pub(crate) paused: Option<Instant>,
    pub(crate) store: bool,
    own: Voter,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Attempt {
    commit: Commit,
    committer: Voter,
    aborted: bool,
    written: bool,
    accepted: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Held {
    Read(usize, Instant, Revision),
    Pull(usize, Instant, Affirmation),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) nodes: Vec<Node>,
    pub(crate) row: Revision,
    attempts: Vec<Attempt>,
    held: Vec<Held>,
    cut: Vec<(usize, usize)>,
    accepted: Vec<(Instant, Operation, u64)>,
    ended: Vec<Voter>,
    pub(crate) sequence: u64,
    /// Longest time after an acceptance at which an instance still admitted without it.
    pub(crate) worst: Duration,
    pub(crate) admitted: u64,
}

impl World {
    pub(crate) fn new(nodes: usize) -> Self {
        let names = ["a", "b", "c", "d", "e"];
        let now = Instant::from_start(Duration::from_secs(100));
        let make = |own: &&str| Node {
            state: State::example(own, &names[..nodes], now),
            running: true,
            paused: None,
            store: true,
            own: Voter::new(own, 1),
        };
        let nodes: Vec<Node> = names[..nodes].iter().map(make).collect();
        let row = nodes[0].state.revision().unwrap();
        Self {
            now,
            nodes,
            row,
            attempts: Vec::new(),
            held: Vec::new(),
            cut: Vec::new(),
            accepted: Vec::new(),
            ended: Vec::new(),
            sequence: 1,
            worst: Duration::ZERO,
            admitted: 0,
        }
    }

    fn active(&self, node: usize) -> bool {
        self.nodes[node].running && self.nodes[node].paused.is_none()
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        a != b && self.active(a) && self.active(b) && !self.cut.contains(&(a.min(b), a.max(b)))
    }

    fn origin(&mut self, node: usize) -> Origin {
        self.sequence += 1;
        Origin::new(
            Operation::of(&self.nodes[node].own, self.sequence),
            "model",
            0,
        )
    }

    fn propose(&mut self, node: usize, commit: Commit) {
        let committer = self.nodes[node].own.clone();
        let (aborted, written, accepted) = (false, false, false);
        self.attempts.push(Attempt {
            commit,
            committer,
            aborted,
            written,
            accepted,
        });
    }

    /// Lets time pass; running instances notice it at least every 3 s.
    fn tick(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + Duration::from_secs(3)).min(end);
            for node in self.nodes.iter_mut().filter(|node| node.running) {
                match node.paused {
                    None => node.state.tick(self.now),
                    // The platform may then omit the instance, and a commit leave it out.
                    Some(since) if self.now.since(since) > PAUSE_LIMIT => {
                        if !self.ended.contains(&node.own) {
                            self.ended.push(node.own.clone());
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
        let attempts = self.attempts.len();
        let newest = |k: u8| attempts - 1 - k as usize % attempts.min(2);
        match step {
            Step::Tick(millis) => self.tick(Duration::from_millis(millis.into())),
            Step::Read(n) | Step::HoldRead(n) => {
                let n = node(n);
                if !self.active(n) || !self.nodes[n].store {
                } else if matches!(step, Step::Read(_)) {
                    self.nodes[n].state.on_head_read(now, now, &self.row);
                } else if self.held.len() < 4 {
                    self.held.push(Held::Read(n, now, self.row.clone()));
                }
            }
            Step::Pull(n, peer) | Step::HoldPull(n, peer) => {
                let (n, peer) = (node(n), node(peer));
                if self.linked(n, peer) {
                    let ages = self.nodes[peer].state.on_pull(now);
                    if matches!(step, Step::Pull(..)) {
                        self.nodes[n].state.on_ages(now, now, &ages);
                    } else if self.held.len() < 4 {
                        self.held.push(Held::Pull(n, now, ages));
                    }
                }
            }
            Step::Release(k) if !self.held.is_empty() => {
                match self.held.remove(k as usize % self.held.len()) {
                    Held::Read(n, at, revision) if self.active(n) => {
                        self.nodes[n].state.on_head_read(now, at, &revision);
                    }
                    Held::Pull(n, at, ages) if self.active(n) => {
                        self.nodes[n].state.on_ages(now, at, &ages);
                    }
                    _ => {}
                }
            }
            Step::Propose(n) if self.active(node(n)) => {
                let origin = self.origin(node(n));
                if let Some(base) = self.nodes[node(n)].state.revision() {
                    let content = format!("[{}]", self.sequence);
                    self.propose(node(n), Commit::document(base, &content, &origin));
                }
            }
            Step::ProposeVoters(n) if self.active(node(n)) => {
                let origin = self.origin(node(n));
                let state = &self.nodes[node(n)].state;
                if let Some((base, version)) = state.revision().zip(state.in_force()) {
                    let running = self.nodes.iter().filter(|other| other.running);
                    let add: Vec<Voter> = running.map(|other| other.own.clone()).collect();
                    let (content, ended) = (version.content.clone(), &self.ended);
                    let commit = Commit::voters(base, content, &add, ended, &origin);
                    self.propose(node(n), commit);
                }
            }
            Step::Prepare(k, n) | Step::PrepareLost(k, n) if attempts > 0 => {
                let attempt = &mut self.attempts[newest(k)];
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
            Step::Write(k) if attempts > 0 => {
                let attempt = &mut self.attempts[newest(k)];
                let committer = self.nodes.iter().find(|n| n.own == attempt.committer);
                if let Some(committer) =
                    committer.filter(|n| n.running && n.paused.is_none() && n.store)
                {
                    let gone = |voter: &Voter| {
                        self.ended.contains(voter) || committer.state.is_retired(voter)
                    };
                    attempt.written |= !attempt.aborted && attempt.commit.has_quorum(gone);
                }
            }
            Step::Effect(k) if attempts > 0 => {
                let attempt = &mut self.attempts[newest(k)];
                let prepare = attempt.commit.prepare();
                if attempt.written && prepare.base.number == self.row.number {
                    let head = prepare.version.head.clone();
                    self.accepted.push((now, head.operation, head.version));
                    attempt.accepted = true;
                    self.row = Revision {
                        number: self.row.number + 1,
                        head,
                    };
                }
            }
            Step::Commit(k, n) if attempts > 0 && self.active(node(n)) => {
                let attempt = &self.attempts[newest(k)];
                if attempt.accepted {
                    let prepare = attempt.commit.prepare();
                    let number = prepare.base.number + 1;
                    let head = prepare.version.head.clone();
                    self.nodes[node(n)]
                        .state
                        .on_commit(now, &Revision { number, head });
                }
            }
            Step::Abort(k, n) if attempts > 0 => {
                let attempt = &mut self.attempts[newest(k)];
                attempt.aborted |= !attempt.written;
                if attempt.aborted
                    && self.nodes[node(n)].running
                    && self.nodes[node(n)].paused.is_none()
                {
                    let operation = attempt.commit.prepare().operation();
                    self.nodes[node(n)].state.on_abort(now, operation);
                }
            }
            Step::Fence(n) if self.active(node(n)) && self.nodes[node(n)].store => {
                if let Some(write) = self.nodes[node(n)].state.fence(now) {
                    use coriandernotch::platform::Condition;
                    if write.condition == Condition::Version(self.row.number) {
                        assert_eq!(write.value.as_deref(), Some(&*self.row.head.to_json()));
                        self.row.number += 1;
                    }
                }
            }
            Step::Fetch(n, peer) if self.linked(node(n), node(peer)) => {
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
                self.ended.push(self.nodes[node(n)].own.clone());
            }
            Step::Restart(n) if !self.nodes[node(n)].running => {
                let node = &mut self.nodes[node(n)];
                node.own.incarnation += 1;
                node.state = State::new(node.own.clone(), now);
                (node.running, node.paused) = (true, None);
            }
            Step::Pause(n) if self.active(node(n)) => self.nodes[node(n)].paused = Some(now),
            Step::Resume(n) => {
                let node = &mut self.nodes[node(n)];
                if node.paused.take().is_some() {
                    node.state.tick(now);
                }
                if node.running && node.state.vote() == Vote::Lost {
                    node.own.incarnation += 1;
                    node.state.rejoin(now, node.own.clone());
                }
            }
            Step::Retire(n, peers) if self.active(node(n)) => {
                let n = node(n);
                let last = self.nodes[n].state.retire(now);
                for peer in 0..count {
                    if peers & (1 << peer) != 0 && self.linked(n, peer) {
                        self.nodes[peer].state.on_retire(now, &last);
                    }
                }
                self.nodes[n].running = false;
                self.ended.push(self.nodes[n].own.clone());
            }
            Step::Store(n) => self.nodes[node(n)].store ^= true,
            Step::Link(a, b) => {
                let pair = (node(a).min(node(b)), node(a).max(node(b)));
                match self.cut.iter().position(|cut| *cut == pair) {
                    Some(place) => drop(self.cut.remove(place)),
                    None => self.cut.push(pair),
                }
            }
            _ => {}
        }
    }

    /// Checks the rule `config` on each instance that would admit work now.
    pub(crate) fn check(&mut self) -> Result<(), String> {
        for node in self
            .nodes
            .iter()
            .filter(|node| node.running && node.paused.is_none())
        {
            if !node.state.is_fresh(self.now) {
                continue;
            }
            self.admitted += 1;
            let in_force = node
                .state
                .in_force()
                .ok_or("admits without a version")?
                .head
                .version;
            for (at, operation, version) in &self.accepted {
                let obeys = in_force >= *version
                    || node
                        .state
                        .enforced()
                        .any(|v| v.head.operation == *operation);
                let lag = self.now.since(*at);
                if !obeys {
                    self.worst = self.worst.max(lag);
                    if lag > FRESHNESS {
                        let own = &node.own;
                        return Err(format!("{own:?} admits {lag:?} after {version} without it"));
                    }
                }
            }
        }
        Ok(())
    }

    /// Ends all faults, gives every instance a few rounds and checks that all agree.
    pub(crate) fn heal(&mut self) -> Result<(), String> {
        self.cut.clear();
        self.held.clear();
        let count = u8::try_from(self.nodes.len()).unwrap();
        for n in 0..count {
            self.nodes[n as usize].store = true;
            self.step(Step::Resume(n));
            self.step(Step::Restart(n));
        }
        for _ in 0..4 {
            self.step(Step::Tick(1000));
            for n in 0..count {
                self.step(Step::Fence(n));
                self.step(Step::Read(n));
            }
            for (n, peer) in (0..count).flat_map(|n| (0..count).map(move |peer| (n, peer))) {
                self.step(Step::Pull(n, peer));
                self.step(Step::Fetch(n, peer));
            }
            // A document that no instance holds comes from the object store.
            for node in &mut self.nodes {
                for attempt in &self.attempts {
                    let content: &Arc<str> = &attempt.commit.prepare().version.content;
                    node.state.on_content(self.now, content);
                }
                node.state.on_content(self.now, &"{}".into());
            }
        }
        for node in &self.nodes {
            let state = &node.state;
            if state.revision().as_ref() != Some(&self.row) || !state.is_fresh(self.now) {
                return Err(format!("{:?} does not recover: {state:?}", node.own));
            }
            if !state.pending().is_empty() {
                return Err(format!("{:?} keeps a proposal: {state:?}", node.own));
            }
        }
        Ok(())
    }
}
