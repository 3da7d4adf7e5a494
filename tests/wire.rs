//! Frames between entry instances: arbitrary bytes do no harm, and conversions keep everything.

use coriandernotch::config::{Ack, Affirmation, Operation, Position, Vote, Voter, Want};
use coriandernotch::fleet::Digest;
use coriandernotch::limit::{Basis, LoanId, Reply, TermsId};
use coriandernotch::wire::{self, Body, Frame, MAX_FRAME, codec};
use quickcheck::{Arbitrary, Gen};
use tokio_util::bytes::BytesMut;
use tokio_util::codec::Decoder;

/// Converts the content of a frame as a receiver does; only the absence of a panic counts.
fn convert(body: Body) {
    match body {
        Body::Affirmation(a) | Body::Retire(a) => drop(Affirmation::try_from(a)),
        Body::Ack(a) => drop(Ack::try_from(a)),
        Body::Prepare(p) => drop(coriandernotch::config::Prepare::try_from(p)),
        Body::Commit(r) => drop(coriandernotch::config::Revision::try_from(r)),
        Body::Fetch(f) => drop(Want::try_from(f)),
        Body::Abort(o) => drop(Operation::try_from(o)),
        Body::Lent(l) => drop(Reply::from(l)),
        _ => {}
    }
}

/// Guards against a peer, or whoever reaches its port, that makes an instance panic.
#[test]
fn arbitrary_bytes_do_not_panic() {
    let mut random = Gen::from_size_and_seed(200, 5);
    let mut decoded = 0;
    for _ in 0..20_000 {
        let bytes = Vec::<u8>::arbitrary(&mut random);
        if let Ok(frame) = Frame::read(&bytes) {
            decoded += 1;
            frame.body.into_iter().for_each(convert);
        }
    }
    assert!(decoded > 0, "no input reached the conversions");
}

/// Guards against bytes changed on the way that pass as something they are not, or panic.
#[test]
fn changed_frames_do_not_panic() {
    let frame = Frame::tell(Body::Affirmation((&affirmation()).into())).write();
    for place in 0..frame.len() {
        for value in [0, 1, 0x7f, 0x80, 0xff] {
            let mut bytes = frame.to_vec();
            bytes[place] = value;
            if let Ok(frame) = Frame::read(&bytes) {
                frame.body.into_iter().for_each(convert);
            }
        }
        drop(Frame::read(&frame[..place]));
    }
}

/// Guards against memory taken for a length that a peer only claims.
#[test]
fn a_frame_above_the_bound_is_refused_before_it_arrives() {
    let length = u32::try_from(MAX_FRAME + 1).unwrap();
    let mut bytes = BytesMut::from(&length.to_be_bytes()[..]);
    assert!(codec().decode(&mut bytes).is_err());
}

fn affirmation() -> Affirmation {
    Affirmation {
        from: Voter::new("a", 3),
        vote: Vote::Held,
        position: Some(Position {
            revision: 9,
            version: 7,
            operation: Operation(5),
        }),
        pending: vec![Operation(6), Operation(7)],
        ages: vec![0, 254, 255],
    }
}

/// Guards against a field that is lost between two instances.
#[test]
fn conversions_keep_everything() {
    let sent = affirmation();
    assert_eq!(
        Affirmation::try_from(wire::Affirmation::from(&sent)),
        Ok(sent)
    );
    let position = Position {
        revision: 1,
        version: 2,
        operation: Operation(3),
    };
    for ack in [
        Ack::Acknowledged(Voter::new("b", 2)),
        Ack::Recorded,
        Ack::Stale(position),
        Ack::Busy,
        Ack::Invalid,
    ] {
        assert_eq!(Ack::try_from(wire::Ack::from(&ack)), Ok(ack));
    }
    for want in [
        Want::Head(position),
        Want::Content(Digest::of(b"x")),
        Want::Pending(Operation(4)),
    ] {
        assert_eq!(Want::try_from(wire::Fetch::from(want)), Ok(want));
    }
    let basis = Basis {
        version: 4,
        pending: Some(TermsId { version: 5, tag: 0 }),
    };
    for reply in [
        Reply::Loan {
            id: LoanId(1),
            amount: 2,
            basis,
        },
        Reply::Renewed {
            id: LoanId(1),
            attempt: 0,
            amount: 3,
            basis: Basis::default(),
        },
    ] {
        assert_eq!(Reply::from(wire::Lent::from(reply)), reply);
    }
}
