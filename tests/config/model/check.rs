use std::sync::Arc;

use coriandernotch::config::*;

use super::{Model, Step};

/// Checks of the rule.
impl Model {
    /// Checks the rule `config` on each instance that would admit work now: it enforces every
    /// version that was accepted more than [`FRESHNESS`] ago, or has a later one in force.
    pub(crate) fn check(&mut self) -> Result<(), String> {
        for node in self
            .nodes
            .iter()
            .filter(|node| node.running && node.paused.is_none())
        {
            if !node.state.is_fresh(self.now) {
                continue;
            }
            self.admissions += 1;
            let in_force = node
                .state
                .in_force()
                .ok_or("admits work without a version in force")?
                .head
                .version;
            for (at, operation, version) in &self.accepted {
                let enforces = in_force >= *version
                    || node
                        .state
                        .enforced()
                        .any(|v| v.head.operation == *operation);
                let lag = self.now.since(*at);
                if !enforces {
                    self.longest_lag = self.longest_lag.max(lag);
                    if lag > FRESHNESS {
                        let voter = &node.voter;
                        return Err(format!(
                            "{voter:?} ignores version {version} {lag:?} after its acceptance"
                        ));
                    }
                }
            }
        }
        Ok(())
    }

    /// Ends all faults, runs a few rounds on every instance and checks that all agree.
    pub(crate) fn recover(&mut self) -> Result<(), String> {
        self.disconnected.clear();
        self.delayed.clear();
        let count = u8::try_from(self.nodes.len()).unwrap();
        for n in 0..count {
            self.nodes[n as usize].store_reachable = true;
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
            // Documents that no instance has are read from the object store.
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
                return Err(format!("{:?} does not recover: {state:?}", node.voter));
            }
            if !state.pending().is_empty() {
                return Err(format!(
                    "{:?} still has a pending proposal: {state:?}",
                    node.voter
                ));
            }
        }
        Ok(())
    }
}
