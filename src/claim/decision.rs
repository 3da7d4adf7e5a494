use super::{Claim, ClaimRequest, DEDUP_WINDOW, Owner, State, Timestamp, Verdict};

/// Consequence of an existing claim row for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The row was written by the same attempt, which thus holds the claim.
    Claimed,
    /// The claim has expired or was given up; the row may be replaced at its version.
    Replace,
    /// The request must not run.
    Reject(Verdict),
}

impl Decision {
    /// Decides on the request `ask`, whose attempt to claim has the number `operation` at `owner`,
    /// when its row holds `claim`.
    ///
    /// `abandoned` means that `owner` made the claim and never sent its request.
    ///
    /// ```
    /// use coriandernotch::claim::{Claim, ClaimRequest, Decision, Owner, Timestamp, State, Verdict};
    /// use coriandernotch::fleet::Digest;
    ///
    /// let owner = Owner { instance: "e1".into(), incarnation: 1 };
    /// let request = ClaimRequest::new("t", "k", Digest::of(b"a"));
    /// let (digest, at) = (request.digest, Timestamp(0));
    /// let claim = Claim { owner: owner.clone(), operation: 1, digest, at, state: State::Started };
    /// let decide = |operation| Decision::of(&claim, &request, operation, &owner, false, Timestamp(5));
    /// assert_eq!(decide(1), Decision::Claimed);
    /// assert_eq!(decide(2), Decision::Reject(Verdict::Running));
    /// ```
    pub fn of(
        claim: &Claim,
        request: &ClaimRequest,
        operation: u64,
        owner: &Owner,
        abandoned: bool,
        now: Timestamp,
    ) -> Self {
        let is_own = claim.owner == *owner && claim.operation == operation;
        if is_own && claim.state == State::Started {
            return Decision::Claimed;
        }
        if now.since(claim.at) >= DEDUP_WINDOW {
            return Decision::Replace;
        }
        let same_instance = claim.owner.instance == owner.instance;
        match &claim.state {
            State::Released => Decision::Replace,
            State::Started if abandoned && claim.owner == *owner => Decision::Replace,
            _ if claim.digest != request.digest => Decision::Reject(Verdict::Mismatch),
            State::Done(reply) => Decision::Reject(Verdict::Replay(reply.clone())),
            State::Unkept(status) => Decision::Reject(Verdict::Unkept(*status)),
            State::Started if same_instance && claim.owner.incarnation != owner.incarnation => {
                Decision::Reject(Verdict::Unknown)
            }
            State::Started => Decision::Reject(Verdict::Running),
        }
    }
}
