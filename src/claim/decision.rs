use super::{Ask, Claim, Owner, Stamp, State, Verdict, WINDOW};

/// What an existing claim row means for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The row was written by this very attempt.
    Ours,
    /// The row binds nobody any more and may be replaced at its version.
    Replace,
    /// The request must not run.
    Stop(Verdict),
}

impl Decision {
    /// Judges `claim` for the request `ask` with number `operation` at `owner`.
    ///
    /// `abandoned` means that the claim is of this owner and that its request was never sent.
    ///
    /// ```
    /// use coriandernotch::claim::{Ask, Claim, Decision, Owner, Stamp, State, Verdict};
    /// use coriandernotch::fleet::Digest;
    ///
    /// let owner = Owner { instance: "e1".into(), incarnation: 1 };
    /// let ask = Ask::new("t", "k", Digest::of(b"a"));
    /// let (digest, at) = (ask.digest, Stamp(0));
    /// let claim = Claim { owner: owner.clone(), operation: 1, digest, at, state: State::Started };
    /// let judge = |operation| Decision::of(&claim, &ask, operation, &owner, false, Stamp(5));
    /// assert_eq!(judge(1), Decision::Ours);
    /// assert_eq!(judge(2), Decision::Stop(Verdict::Running));
    /// ```
    pub fn of(
        claim: &Claim,
        ask: &Ask,
        operation: u64,
        owner: &Owner,
        abandoned: bool,
        now: Stamp,
    ) -> Self {
        let own = claim.owner == *owner && claim.operation == operation;
        if own && claim.state == State::Started {
            return Decision::Ours;
        }
        if now.since(claim.at) >= WINDOW {
            return Decision::Replace;
        }
        let mine = claim.owner.instance == owner.instance;
        match &claim.state {
            State::Released => Decision::Replace,
            State::Started if abandoned && claim.owner == *owner => Decision::Replace,
            _ if claim.digest != ask.digest => Decision::Stop(Verdict::Mismatch),
            State::Done(reply) => Decision::Stop(Verdict::Replay(reply.clone())),
            State::Unkept(status) => Decision::Stop(Verdict::Unkept(*status)),
            State::Started if mine && claim.owner.incarnation != owner.incarnation => {
                Decision::Stop(Verdict::Unknown)
            }
            State::Started => Decision::Stop(Verdict::Running),
        }
    }
}
