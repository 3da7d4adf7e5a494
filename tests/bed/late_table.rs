use std::sync::{Arc, Mutex};

use coriandernotch::platform::{Answer, Error, Row, Table, Write};

/// A table that carries out a transaction late: between the read and the transaction that follow it.
pub(crate) struct LateTable<T> {
    table: T,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Whether the next transaction is to be late.
    holds_next: bool,
    /// The transaction that is still to be carried out.
    late: Option<Vec<Write>>,
}

impl<T: Table> LateTable<T> {
    pub(crate) fn new(table: T) -> Self {
        Self {
            table,
            state: Mutex::default(),
        }
    }

    /// Lets the next transaction be late; its caller gets no answer.
    pub(crate) fn hold_next(&self) {
        self.state.lock().unwrap().holds_next = true;
    }
}

impl<T: Table> Table for LateTable<T> {
    fn transact(&self, writes: Vec<Write>) -> Answer<'_, Vec<u64>> {
        let late = {
            let mut state = self.state.lock().unwrap();
            if std::mem::take(&mut state.holds_next) {
                state.late = Some(writes);
                return Box::pin(std::future::ready(Err(Error::Unknown {
                    step: "transact",
                    peer: "stand-in".into(),
                    reason: "held back".to_owned(),
                })));
            }
            state.late.take()
        };
        Box::pin(async move {
            if let Some(late) = late {
                self.table.transact(late).await?;
            }
            self.table.transact(writes).await
        })
    }

    fn read(&self, key: Arc<str>) -> Answer<'_, Option<Row>> {
        self.table.read(key)
    }

    fn scan(&self, prefix: Arc<str>, after: Arc<str>, limit: usize) -> Answer<'_, Vec<Row>> {
        self.table.scan(prefix, after, limit)
    }
}
