use super::{Malformed, Position};
use crate::config::{self, Voter};

/// Answer to a proposal.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ack {
    /// One of the kinds below.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Name of the voter that acknowledged.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Life of the voter that acknowledged.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Newest head known, for a stale proposal.
    #[prost(message, optional, tag = "4")]
    pub position: Option<Position>,
}

const ACKNOWLEDGED: u32 = 1;
const RECORDED: u32 = 2;
const STALE: u32 = 3;
const BUSY: u32 = 4;
const INVALID: u32 = 5;

impl From<&config::Ack> for Ack {
    fn from(ack: &config::Ack) -> Self {
        let mut out = Self::default();
        out.kind = match ack {
            config::Ack::Acknowledged(voter) => {
                out.name = voter.name.to_string();
                out.incarnation = voter.incarnation;
                ACKNOWLEDGED
            }
            config::Ack::Recorded => RECORDED,
            config::Ack::Stale(position) => {
                out.position = Some((*position).into());
                STALE
            }
            config::Ack::Busy => BUSY,
            config::Ack::Invalid => INVALID,
        };
        out
    }
}

impl TryFrom<Ack> for config::Ack {
    type Error = Malformed;

    fn try_from(ack: Ack) -> Result<Self, Malformed> {
        Ok(match ack.kind {
            ACKNOWLEDGED => Self::Acknowledged(Voter::new(&ack.name, ack.incarnation)),
            RECORDED => Self::Recorded,
            STALE => Self::Stale(ack.position.ok_or(Malformed("position"))?.try_into()?),
            BUSY => Self::Busy,
            INVALID => Self::Invalid,
            _ => return Err(Malformed("ack kind")),
        })
    }
}
