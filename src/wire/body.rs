use super::{
    Ack, Affirmation, Borrow, Fetch, Fetched, Hello, Lent, Prepare, Renew, Report, Return, Revision,
};

/// Content of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First message on each connection, from both sides.
    #[prost(message, tag = "10")]
    Hello(Hello),
    /// Asks for an affirmation.
    #[prost(bool, tag = "11")]
    Pull(bool),
    /// Answers a pull.
    #[prost(message, tag = "12")]
    Affirmation(Affirmation),
    /// Proposes a version.
    #[prost(message, tag = "13")]
    Prepare(Prepare),
    /// Answers a proposal.
    #[prost(message, tag = "14")]
    Ack(Ack),
    /// Tells of a committed version.
    #[prost(message, tag = "15")]
    Commit(Revision),
    /// Withdraws the proposal of an operation, written as hexadecimal digits.
    #[prost(string, tag = "16")]
    Abort(String),
    /// Asks for something that the sender lacks.
    #[prost(message, tag = "17")]
    Fetch(Fetch),
    /// Answers a fetch.
    #[prost(message, tag = "18")]
    Fetched(Fetched),
    /// Asks for a loan.
    #[prost(message, tag = "19")]
    Borrow(Borrow),
    /// Asks for a longer term.
    #[prost(message, tag = "20")]
    Renew(Renew),
    /// Gives back permits of a loan.
    #[prost(message, tag = "21")]
    Return(Return),
    /// Answers a loan request or a renewal.
    #[prost(message, tag = "22")]
    Lent(Lent),
    /// Tells what runs.
    #[prost(message, tag = "23")]
    Report(Report),
    /// Last message of an instance that retires.
    #[prost(message, tag = "24")]
    Retire(Affirmation),
    /// Tells that the rows `news/{queue}/` have changed.
    #[prost(string, tag = "25")]
    Work(String),
}
