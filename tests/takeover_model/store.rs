use std::collections::BTreeMap;

use crate::answer::Answer;
use crate::content::Content;
use crate::key::Key;
use crate::request::Request;
use crate::row::Row;
use crate::transaction::Transaction;

/// Rows with versions and conditional transactions.
#[derive(Debug, Default)]
pub(crate) struct Store {
    rows: BTreeMap<Key, (u64, Content)>,
    version: u64,
}

impl Store {
    /// Carries out a call at the moment at which it takes effect.
    pub(crate) fn execute(&mut self, request: &Request) -> Answer {
        match request {
            Request::Read(table) => {
                let rows = self.rows.iter().filter(|(key, _)| table.contains(key));
                Answer::Rows(rows.map(row).collect())
            }
            Request::Write(transaction) => self.apply(transaction),
        }
    }

    fn apply(&mut self, transaction: &Transaction) -> Answer {
        let (key, version) = &transaction.expected;
        let found = self.rows.get_key_value(key);
        if found.map_or(0, |(_, (version, _))| *version) != *version {
            return Answer::Conflict(found.map(row));
        }
        self.version += 1;
        for (key, content) in &transaction.puts {
            let entry = (self.version, content.clone());
            self.rows.insert(key.clone(), entry);
        }
        for key in &transaction.deletes {
            self.rows.remove(key);
        }
        Answer::Applied(self.version)
    }

    /// Writes a row without a condition, as workers and callers do.
    pub(crate) fn put(&mut self, key: Key, content: Content) {
        self.version += 1;
        self.rows.insert(key, (self.version, content));
    }

    pub(crate) fn get(&self, key: &Key) -> Option<&Content> {
        self.rows.get(key).map(|(_, content)| content)
    }

    pub(crate) fn remove(&mut self, key: &Key) {
        self.rows.remove(key);
    }
}

fn row((key, (version, content)): (&Key, &(u64, Content))) -> Row {
    Row {
        key: key.clone(),
        version: *version,
        content: content.clone(),
    }
}
