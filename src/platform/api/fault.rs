use std::sync::Arc;

/// Failure of a call to the platform or to a worker.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// No part of the request was sent, so it had no effect.
    #[error("step={step} peer={peer}: not sent: {reason}")]
    Unsent {
        /// Name of the call.
        step: &'static str,
        /// Address of the peer.
        peer: Arc<str>,
        /// Description of the cause.
        reason: String,
    },
    /// The connection was refused: no process listens at the address, or the link to it is cut off.
    #[error("step={step} peer={peer}: connection refused")]
    Absent {
        /// Name of the call.
        step: &'static str,
        /// Address of the peer.
        peer: Arc<str>,
    },
    /// The peer rejected the call, which had no effect.
    #[error("step={step} peer={peer}: refused with status {status}")]
    Refused {
        /// Name of the call.
        step: &'static str,
        /// Address of the peer.
        peer: Arc<str>,
        /// HTTP status of the response.
        status: u16,
    },
    /// The call may have taken effect already, or may do so later.
    #[error("step={step} peer={peer}: outcome unknown: {reason}")]
    Unknown {
        /// Name of the call.
        step: &'static str,
        /// Address of the peer.
        peer: Arc<str>,
        /// Description of the cause.
        reason: String,
    },
}

impl Fault {
    /// Returns whether the call certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Unknown { .. })
    }

    /// Returns whether the peer refuses this call whenever it is repeated, as the store does with rows
    /// that are too large.
    ///
    /// ```
    /// use coriandernotch::platform::api::Fault;
    ///
    /// let fault = |status| Fault::Refused { step: "transact", peer: "a:1".into(), status };
    /// assert!(fault(400).is_permanent() && !fault(503).is_permanent());
    /// ```
    pub fn is_permanent(&self) -> bool {
        matches!(
            self,
            Self::Refused {
                status: 400 | 413 | 422,
                ..
            }
        )
    }
}
