use super::{Size, fill};
use crate::fleet::TeamId;

/// Weighted dominant-resource fairness over the teams.
///
/// A team may hold more than its share while others are idle; [`Fairness::entitlements`] says how
/// much each may keep once they are not.
#[derive(Clone, Debug, Default)]
pub struct Fairness {
    teams: Vec<Account>,
    /// Processors and memory that come with one accelerator.
    part: Size,
    /// Processors and memory held by way of accelerators.
    companion: Size,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    weight: u32,
    limit: u32,
    used: Size,
    running: u32,
    wanted: Size,
    waiting: u32,
    /// Recent mean distance from the share, positive above it.
    drift: f64,
}

impl Fairness {
    /// Sets the weight and the upper limit of a team, in running jobs.
    ///
    /// ```
    /// use coriandernotch::fleet::TeamId;
    /// use coriandernotch::jobs::{Fairness, Size};
    ///
    /// let mut fairness = Fairness::default();
    /// for team in [TeamId(0), TeamId(1)] {
    ///     fairness.set(team, 1, 10);
    ///     fairness.wait(team, Size::new(50, 1, 0));
    ///     fairness.wait(team, Size::new(50, 1, 0));
    /// }
    /// fairness.start(TeamId(0), Size::new(50, 1, 0));
    /// let capacity = Size::new(100, 100, 0);
    /// assert_eq!(fairness.next(capacity, |_| true), Some(TeamId(1)));
    /// assert!((fairness.entitlements(capacity)[0] - 0.5).abs() < 0.001);
    /// ```
    pub fn set(&mut self, team: TeamId, weight: u32, limit: u32) {
        if self.teams.len() <= team.index() {
            self.teams.resize(team.index() + 1, Account::default());
        }
        let account = &mut self.teams[team.index()];
        (account.weight, account.limit) = (weight, limit);
    }

    /// Sets the processors and memory that come with one accelerator, once.
    pub fn set_part(&mut self, part: Size) {
        if self.part == Size::ZERO {
            self.part = part;
        }
    }

    /// Returns what a job counts for: an accelerator brings its part of its worker, or the teams
    /// that use none would fill the processors next to accelerators that then stand idle.
    ///
    /// ```
    /// use coriandernotch::jobs::{Fairness, Size};
    ///
    /// let mut fairness = Fairness::default();
    /// fairness.set_part(Size::new(8_000, 32_768, 0));
    /// assert_eq!(fairness.charged(Size::new(20_000, 9, 2)), Size::new(4_000, 0, 2));
    /// ```
    pub fn charged(&self, size: Size) -> Size {
        let brought = |part: u64| part * size.accelerators;
        size - Size::new(brought(self.part.processors), brought(self.part.memory), 0)
    }

    /// Returns the processors of a size, and those that come with its accelerators.
    pub fn processors(&self, size: Size) -> u64 {
        size.processors + self.part.processors * size.accelerators
    }

    /// Returns the processors and memory held by way of accelerators, which teams do not share.
    pub fn companion(&self) -> Size {
        self.companion
    }

    /// Returns the upper limit of a known team.
    pub fn limit(&self, team: TeamId) -> Option<u32> {
        self.teams.get(team.index()).map(|a| a.limit)
    }

    /// Returns the number of known teams.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Returns whether no team is known.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Returns how many jobs of a team hold resources.
    pub fn running(&self, team: TeamId) -> u32 {
        self.teams[team.index()].running
    }

    /// Returns how many jobs of a team wait, without urgent ones.
    pub fn waiting(&self, team: TeamId) -> u32 {
        self.teams[team.index()].waiting
    }

    /// Returns what a team holds.
    pub fn used(&self, team: TeamId) -> Size {
        self.teams[team.index()].used
    }

    /// Returns whether a team may have one more job running.
    pub fn below_limit(&self, team: TeamId) -> bool {
        let account = &self.teams[team.index()];
        account.running < account.limit
    }

    /// Counts a job that waits.
    pub fn wait(&mut self, team: TeamId, size: Size) {
        let size = self.charged(size);
        let account = &mut self.teams[team.index()];
        account.wanted = account.wanted + size;
        account.waiting += 1;
    }

    /// Removes a job that waits.
    pub fn leave(&mut self, team: TeamId, size: Size) {
        let size = self.charged(size);
        let account = &mut self.teams[team.index()];
        account.wanted = account.wanted - size;
        account.waiting = account.waiting.saturating_sub(1);
    }

    /// Counts a job that holds resources.
    pub fn start(&mut self, team: TeamId, size: Size) {
        self.resize(team, Size::ZERO, size);
        self.teams[team.index()].running += 1;
    }

    /// Removes a job that held resources.
    pub fn stop(&mut self, team: TeamId, size: Size) {
        self.resize(team, size, Size::ZERO);
        let account = &mut self.teams[team.index()];
        account.running = account.running.saturating_sub(1);
    }

    /// Replaces what one running job holds.
    pub fn resize(&mut self, team: TeamId, old: Size, new: Size) {
        let (less, more) = (self.charged(old), self.charged(new));
        let account = &mut self.teams[team.index()];
        account.used = account.used - less + more;
        self.companion = self.companion - (old - less) + (new - more);
    }

    /// Moves the recent mean distance from the share by `part` towards the present `distance`. It
    /// stays within one mean job, which is what whole jobs can be off for long.
    pub fn drift(&mut self, team: TeamId, distance: f64, part: f64, capacity: Size) -> f64 {
        let account = &mut self.teams[team.index()];
        let job = account.used.dominant(capacity) / f64::from(account.running.max(1));
        account.drift = (account.drift + part * (distance - account.drift)).clamp(-job, job);
        account.drift
    }

    /// Returns the dominant share of a team, corrected for its recent distance from its share,
    /// divided by its weight.
    pub fn level(&self, team: TeamId, capacity: Size) -> f64 {
        let account = &self.teams[team.index()];
        (account.used.dominant(capacity) + account.drift) / f64::from(account.weight.max(1))
    }

    /// Chooses the waiting team with the lowest level, below its limit and accepted by `may`.
    pub fn next(&self, capacity: Size, may: impl Fn(TeamId) -> bool) -> Option<TeamId> {
        (0..)
            .map(TeamId)
            .zip(&self.teams)
            .filter(|(id, a)| a.waiting > 0 && a.running < a.limit && may(*id))
            .map(|(id, _)| (self.level(id, capacity), id))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id)
    }

    /// Returns the dominant share that each team may hold given what all hold and want.
    pub fn entitlements(&self, capacity: Size) -> Vec<f64> {
        let demands: Vec<_> = self.teams.iter().map(|a| a.demand(capacity)).collect();
        fill(&demands)
    }

    /// Returns the bytes held.
    pub fn footprint(&self) -> usize {
        self.teams.capacity() * size_of::<Account>()
    }
}

impl Account {
    /// Weight and wished fraction of each resource, as far as the limit lets it run.
    fn demand(&self, capacity: Size) -> (f64, [f64; 3]) {
        let wish = (self.used + self.wanted).fractions(capacity);
        let jobs = f64::from((self.running + self.waiting).max(1));
        let part = (f64::from(self.limit) / jobs).min(1.0);
        (f64::from(self.weight), wish.map(|x| x * part))
    }
}
