use std::collections::BTreeMap;

use coriandernotch::batch::Progress;

use crate::answer::Answer;
use crate::content::Content;
use crate::feed::Feed;
use crate::key::Key;
use crate::page::{PAGE_ROWS, Page};
use crate::request::Request;
use crate::row::Row;
use crate::table::Table;
use crate::transaction::Transaction;

/// Rows with versions and conditional transactions.
#[derive(Debug, Default)]
pub(crate) struct Store {
    rows: BTreeMap<Key, (u64, Content)>,
    version: u64,
    /// Oldest version for which the changes after it are known.
    history_from: u64,
    /// All progress that was ever stored, by the key of its row.
    stored_progress: BTreeMap<Key, Vec<Progress>>,
}

impl Store {
    /// Carries out a call at the moment at which it takes effect.
    pub(crate) fn execute(&mut self, request: &Request) -> Answer {
        match request {
            Request::Read(table, from) => Answer::Rows(self.read(*table, from.as_ref())),
            Request::Feed(after) => Answer::Feed(self.read_new_jobs(*after)),
            Request::Write(transaction) => self.apply(transaction),
        }
    }

    fn read(&self, table: Table, from: Option<&Key>) -> Page {
        let is_wanted = |key: &Key| table.contains(key) && from.is_none_or(|from| key >= from);
        let mut rows = self.rows.iter().filter(|(key, _)| is_wanted(key)).map(row);
        Page {
            rows: rows.by_ref().take(PAGE_ROWS).collect(),
            has_more: rows.next().is_some(),
            version: self.version,
        }
    }

    fn read_new_jobs(&self, after: u64) -> Feed {
        if after < self.history_from {
            return Feed::Gone;
        }
        let is_new_job = |(key, (version, _)): &(&Key, &(u64, Content))| {
            matches!(key, Key::Job(..)) && *version > after
        };
        let rows = self.rows.iter().filter(is_new_job);
        Feed::Changes(rows.map(row).collect(), self.version)
    }

    /// Discards the history of changes, also for a reader that knows the latest one.
    pub(crate) fn discard_history(&mut self) {
        self.version += 1;
        self.history_from = self.version;
    }

    fn apply(&mut self, transaction: &Transaction) -> Answer {
        let (key, version) = &transaction.expected;
        let found = self.rows.get_key_value(key);
        if found.map_or(0, |(_, (version, _))| *version) != *version {
            return Answer::Conflict(found.map(row).map(Box::new));
        }
        self.version += 1;
        for (key, content) in &transaction.puts {
            if let Content::Progress(progress) = content {
                let stored = self.stored_progress.entry(key.clone()).or_default();
                stored.push(progress.clone());
            }
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

    /// Returns whether a row had this progress at some time.
    pub(crate) fn has_stored(&self, key: &Key, progress: &Progress) -> bool {
        let stored = self.stored_progress.get(key);
        stored.is_some_and(|stored| stored.contains(progress))
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
