//! The commit protocol against faults of the store.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use coriandernotch::config::*;
use coriandernotch::platform::{Answer, Condition, Error, Row, Table, Write};

/// In-memory table that injects one fault into each transaction.
struct Rows {
    rows: Mutex<BTreeMap<Arc<str>, Row>>,
    faults: Mutex<Vec<Fault>>,
}

/// Fault injected into one transaction.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The store is unavailable: nothing is written, and the caller is told so.
    Down,
    /// The connection is lost before the write; the caller does not learn the result.
    LostBefore,
    /// The connection is lost after the write; the caller does not learn the result.
    LostAfter,
    /// Another committer's change is written first.
    Raced,
    /// An instance writes a fence first.
    Fenced,
}

impl Rows {
    fn new(faults: &[Fault]) -> Self {
        let faults = Mutex::new(faults.iter().rev().copied().collect());
        Self {
            rows: Mutex::default(),
            faults,
        }
    }

    fn apply(&self, writes: &[Write]) -> Result<Vec<u64>, Error> {
        let mut rows = self.rows.lock().unwrap();
        for write in writes {
            let version = rows.get(&write.key).map(|row| row.version);
            let condition_holds = match write.condition {
                Condition::Any => true,
                Condition::Absent => version.is_none(),
                Condition::Version(number) => version == Some(number),
            };
            if !condition_holds {
                return Err(Error::Conflict {
                    key: write.key.clone(),
                });
            }
        }
        Ok(writes
            .iter()
            .map(|write| {
                let version = rows.get(&write.key).map_or(1, |row| row.version + 1);
                let (key, value) = (write.key.clone(), write.value.clone().unwrap());
                rows.insert(
                    key.clone(),
                    Row {
                        key,
                        version,
                        value,
                    },
                );
                version
            })
            .collect())
    }

    /// Writes another committer's change of the head if `raced`, or else a fence.
    fn interfere(&self, raced: bool) {
        let row = self.rows.lock().unwrap()[HEAD_KEY].clone();
        let head = Head::from_json(&row.value).unwrap();
        let origin = Origin::new(Operation(99), "other", 0);
        let head = if raced {
            head.with_digest(head.digest, &origin)
        } else {
            head
        };
        self.apply(&[Write::put(HEAD_KEY, Condition::Any, &head.to_json())])
            .unwrap();
    }
}

impl Table for Rows {
    fn transact(&self, writes: Vec<Write>) -> Answer<'_, Vec<u64>> {
        let fault = self.faults.lock().unwrap().pop().unwrap_or(Fault::None);
        let (step, peer, reason) = ("transact", Arc::from("store"), String::new());
        let answer = match fault {
            Fault::Down => Err(Error::Unavailable { step, peer, reason }),
            Fault::LostBefore => Err(Error::Unknown { step, peer, reason }),
            Fault::LostAfter => {
                let lost = Error::Unknown { step, peer, reason };
                self.apply(&writes).and(Err(lost))
            }
            Fault::Raced | Fault::Fenced => {
                self.interfere(fault == Fault::Raced);
                self.apply(&writes)
            }
            Fault::None => self.apply(&writes),
        };
        Box::pin(async move { answer })
    }

    fn read(&self, key: Arc<str>) -> Answer<'_, Option<Row>> {
        let row = self.rows.lock().unwrap().get(&key).cloned();
        Box::pin(async move { Ok(row) })
    }

    fn scan(&self, _: Arc<str>, _: Arc<str>, _: usize) -> Answer<'_, Vec<Row>> {
        Box::pin(async move { Ok(Vec::new()) })
    }
}

/// Guards against an outcome reported to an operator that differs from the result of the write.
#[tokio::test(start_paused = true)]
async fn outcome_matches_the_write_after_each_store_fault() {
    use Fault::{Down, Fenced, LostAfter, LostBefore, Raced};
    let cases: [(&str, &[Fault], &str); 11] = [
        ("no fault", &[], "accepted"),
        ("down at first", &[Down, Down], "accepted"),
        ("down throughout", &[Down; 4], "refused"),
        ("reply lost after the write", &[LostAfter], "accepted"),
        ("reply lost before the write", &[LostBefore], "accepted"),
        (
            "reply lost, then down",
            &[LostAfter, Down, Down, Down],
            "unknown",
        ),
        ("replies lost throughout", &[LostBefore; 4], "unknown"),
        ("another change came first", &[Raced], "conflict"),
        ("fenced", &[Fenced], "fenced"),
        (
            "lost before the write, then fenced",
            &[LostBefore, Fenced],
            "fenced",
        ),
        (
            "lost after the write, then replaced",
            &[LostAfter, Raced],
            "accepted",
        ),
    ];
    for (name, faults, expected) in cases {
        let voter = Voter::new("a", 1);
        let table = Rows::new(&[&[Fault::None], faults].concat());
        let origin = Origin::new(Operation(1), "ana", 0);
        let first = Commit::first(&table, "{}", voter.clone(), &origin).await;
        let Outcome::Accepted(base) = first else {
            panic!("{name}: {first:?}")
        };
        let origin = Origin::new(Operation(2), "ana", 0);
        let mut commit = Commit::document(base, "[]", &origin);
        commit.on_ack(&Ack::Acknowledged(voter));
        let outcome = commit.settle(&table).await;
        let found = match &outcome {
            Outcome::Accepted(revision) if revision.head.operation == Operation(2) => "accepted",
            Outcome::Conflict(revision) if revision.head.operation == Operation(99) => "conflict",
            Outcome::Refused(Reason::Fenced) => "fenced",
            Outcome::Refused(Reason::Unavailable(_)) => "refused",
            Outcome::Unknown(Operation(2)) => "unknown",
            _ => "wrong",
        };
        assert_eq!(found, expected, "{name}: {outcome:?}");
        let may_abort = commit.abort().is_some();
        assert_eq!(may_abort, expected == "refused", "{name}: abort");
        let written = table.rows.lock().unwrap().contains_key(&*Change::key(2));
        assert!(
            expected == "unknown" || written == (expected == "accepted"),
            "{name}: history"
        );
    }
}

/// Guards against two instances that both find the store empty: the second must not replace the
/// head of the first.
#[tokio::test(start_paused = true)]
async fn first_head_is_written_once() {
    let table = Rows::new(&[Fault::LostAfter]);
    let origin = Origin::new(Operation(1), "a", 0);
    let first = Commit::first(&table, "{}", Voter::new("a", 1), &origin).await;
    assert!(
        matches!(&first, Outcome::Accepted(r) if r.number == 1),
        "{first:?}"
    );
    let origin = Origin::new(Operation(2), "b", 0);
    let second = Commit::first(&table, "[]", Voter::new("b", 1), &origin).await;
    assert!(matches!(&second, Outcome::Conflict(r) if r.head.operation == Operation(1)));
}
