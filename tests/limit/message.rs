use coriandernotch::limit::{Reply, Report, Request, Voter};

/// A message that is in transit between two nodes.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub(crate) from: Voter,
    pub(crate) to: Voter,
    pub(crate) body: Body,
}

#[derive(Clone, Debug)]
pub(crate) enum Body {
    Request(Request),
    Reply(Reply),
    Report(Report),
}
