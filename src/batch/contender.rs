use std::sync::Arc;
use std::time::Duration;

use super::{Leader, Strength, Transfer};
use crate::clock::Instant;

/// Least strength in thousandths of a processor, and the delay before an instance that has it tries
/// to lead: the leader of a large fleet needs more than a small instance has.
const CANDIDACY_DELAYS: [(u32, Duration); 2] =
    [(400, Duration::ZERO), (200, Duration::from_millis(150))];

/// Delay of instances with less strength.
const MAX_CANDIDACY_DELAY: Duration = Duration::from_millis(500);

/// Delay of an instance that is clearly weaker than the last leader. After a loss of power small
/// instances may start first, and a transfer to one that starts half a second later takes longer.
const WEAKER_CANDIDACY_DELAY: Duration = Duration::from_millis(1_200);

/// Time after its last change within which a leader counts as present. A leader that is absent for
/// longer is succeeded without its consent.
const PRESENT_FOR: Duration = Duration::from_millis(1_200);

/// Time before a request that the leader did not follow is repeated.
const REPEAT_AFTER: Duration = Duration::from_secs(1);

/// Time for which a leader remembers a request that it does not follow yet.
const PENDING_FOR: Duration = Duration::from_secs(2);

/// Time that a leader keeps the lead after it has loaded its state, so that its workers have
/// answered and the list that it hands over is short.
const MIN_TERM: Duration = Duration::from_secs(2);

/// Time for which an instance that could not keep up as leader counts as weaker, and for which the
/// fleet accepts no further transfer for that reason. Without it, the lead would pass between
/// instances none of which can keep up.
const RECOVER_FOR: Duration = Duration::from_secs(30);

/// An instance as a contender for the lead: when it asks the leader to make way, and when it makes
/// way itself.
#[derive(Clone, Debug)]
pub struct Contender {
    /// Strength of this instance if it keeps up.
    strength: Strength,
    /// Token of the leader that was last asked, and when.
    asked: Option<(u64, Instant)>,
    /// Strongest request that this instance received as leader, and when.
    pending: Option<(Transfer, Instant)>,
    /// Until when it counts as weaker, because it fell behind as leader.
    recovers_until: Instant,
}

impl Contender {
    /// Creates the contender of an instance with a strength.
    pub fn new(strength: Strength) -> Self {
        Self {
            strength,
            asked: None,
            pending: None,
            recovers_until: Instant::default(),
        }
    }

    /// Returns the strength that counts at a time.
    pub fn strength(&self, now: Instant) -> Strength {
        if now < self.recovers_until {
            self.strength.reduced()
        } else {
            self.strength
        }
    }

    /// Returns the strength that a leader shows in its row.
    pub fn strength_as_leader(&self, is_behind: bool, now: Instant) -> Strength {
        if is_behind {
            self.strength.reduced()
        } else {
            self.strength(now)
        }
    }

    /// Returns how long this instance waits before it tries to lead, so that stronger ones come
    /// first. `last` is the strength of the last leader.
    pub fn candidacy_delay(&self, last: Strength, now: Instant) -> Duration {
        let strength = self.strength(now);
        if last.clearly_exceeds(strength) {
            return WEAKER_CANDIDACY_DELAY;
        }
        let mut delays = CANDIDACY_DELAYS.iter();
        let delay = delays.find(|(least, _)| strength.thousandths() >= *least);
        delay.map_or(MAX_CANDIDACY_DELAY, |(_, delay)| *delay)
    }

    /// Returns the request to write into the row of the leader, which last changed at `changed_at`,
    /// if this instance should lead instead.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::batch::{Contender, Leader, Strength};
    /// use coriandernotch::clock::Instant;
    ///
    /// let now = Instant::from_start(Duration::from_secs(9));
    /// let leader = Leader { token: 1, strength: Strength::from_share(0.12), ..Leader::default() };
    /// let contender = Contender::new(Strength::from_share(0.5));
    /// assert!(contender.request(&"large".into(), &leader, now, now).is_some());
    /// ```
    pub fn request(
        &self,
        name: &Arc<str>,
        leader: &Leader,
        changed_at: Instant,
        now: Instant,
    ) -> Option<Transfer> {
        let strength = self.strength(now);
        let is_present = leader.is_held() && now.since(changed_at) < PRESENT_FOR;
        let asked = self.asked.filter(|(token, _)| *token == leader.token);
        let may_ask = asked.is_none_or(|(_, at)| now.since(at) >= REPEAT_AFTER);
        let rival = leader.transfer.as_ref();
        let is_best = rival.is_none_or(|rival| strength > rival.strength);
        let wants = is_present && may_ask && is_best && strength.clearly_exceeds(leader.strength);
        wants.then(|| Transfer {
            to: name.clone(),
            strength,
        })
    }

    /// Records that the leader with a token was asked.
    pub fn record_request(&mut self, token: u64, now: Instant) {
        self.asked = Some((token, now));
    }

    /// Records a request that this instance received as leader. Until it follows one, it remembers
    /// the strongest.
    pub fn record_received(&mut self, request: Transfer, now: Instant) {
        self.pending
            .take_if(|(_, at)| now.since(*at) >= PENDING_FOR);
        let pending = self.pending.as_ref();
        if pending.is_none_or(|(pending, _)| pending.strength <= request.strength) {
            self.pending = Some((request, now));
        }
    }

    /// Returns the request that this instance follows, which leads since `loaded_at` or still loads
    /// its state. `last_ms` is the clock of the store when a leader last made way because it was
    /// behind, and `store_ms` the same clock now.
    pub fn granted(
        &mut self,
        is_behind: bool,
        loaded_at: Option<Instant>,
        last_ms: u64,
        store_ms: u64,
        now: Instant,
    ) -> Option<Transfer> {
        self.pending
            .take_if(|(_, at)| now.since(*at) >= PENDING_FOR);
        if loaded_at.is_some_and(|at| now.since(at) < MIN_TERM) {
            return None;
        }
        let own = self.strength(now);
        let since_last = Duration::from_millis(store_ms.saturating_sub(last_ms));
        let may_repeat = last_ms == 0 || since_last >= RECOVER_FOR;
        let makes_way = |request: &Transfer| {
            let strength = request.strength;
            let exceeds_lagging =
                is_behind && may_repeat && strength.clearly_exceeds(self.strength.reduced());
            strength.clearly_exceeds(own) || exceeds_lagging
        };
        let (request, _) = self.pending.take_if(|(request, _)| makes_way(request))?;
        Some(request)
    }

    /// Forgets the requests that this instance received in an earlier term.
    pub fn begin_term(&mut self) {
        self.pending = None;
    }

    /// Records that this instance made way at `now` because it was behind.
    pub fn record_behind(&mut self, now: Instant) {
        self.recovers_until = now + RECOVER_FOR;
    }
}
