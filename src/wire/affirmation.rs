use super::position::read_operation;
use super::{Malformed, Position};
use crate::config::{self, Vote, Voter};

/// What a voter has acknowledged, and the ages of what it heard from others.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Affirmation {
    /// Name of the voter.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Life of the voter.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// 1 held, 2 retired, 3 lost.
    #[prost(uint32, tag = "3")]
    pub vote: u32,
    /// Head in force.
    #[prost(message, optional, tag = "4")]
    pub position: Option<Position>,
    /// Acknowledged operations without a result.
    #[prost(string, repeated, tag = "5")]
    pub pending: Vec<String>,
    /// Ages per voter of the head in force.
    #[prost(bytes = "vec", tag = "6")]
    pub ages: Vec<u8>,
}

const HELD: u32 = 1;
const RETIRED: u32 = 2;
const LOST: u32 = 3;

impl From<&config::Affirmation> for Affirmation {
    fn from(affirmation: &config::Affirmation) -> Self {
        Self {
            name: affirmation.from.name.to_string(),
            incarnation: affirmation.from.incarnation,
            vote: match affirmation.vote {
                Vote::Held => HELD,
                Vote::Retired => RETIRED,
                Vote::Lost => LOST,
            },
            position: affirmation.position.map(Into::into),
            pending: affirmation
                .pending
                .iter()
                .map(ToString::to_string)
                .collect(),
            ages: affirmation.ages.clone(),
        }
    }
}

impl TryFrom<Affirmation> for config::Affirmation {
    type Error = Malformed;

    fn try_from(affirmation: Affirmation) -> Result<Self, Malformed> {
        Ok(Self {
            from: Voter::new(&affirmation.name, affirmation.incarnation),
            vote: match affirmation.vote {
                HELD => Vote::Held,
                RETIRED => Vote::Retired,
                LOST => Vote::Lost,
                _ => return Err(Malformed("vote")),
            },
            position: affirmation.position.map(TryInto::try_into).transpose()?,
            pending: affirmation
                .pending
                .into_iter()
                .map(read_operation)
                .collect::<Result<_, _>>()?,
            ages: affirmation.ages,
        })
    }
}
