use std::sync::Arc;

use coriandernotch::batch::{Member, Profile, Progress, Record};
use coriandernotch::collections::Map;

use crate::content::Content;
use crate::key::Key;
use crate::row::Row;

/// What a new leader has read of the store so far.
#[derive(Debug, Default)]
pub(crate) struct Loading {
    /// Number of reads that are not answered.
    pub(crate) outstanding: usize,
    pub(crate) jobs: Vec<(Arc<str>, Record)>,
    pub(crate) progress: Map<Arc<str>, Progress>,
    pub(crate) profiles: Vec<Profile>,
    pub(crate) members: Vec<Member>,
}

impl Loading {
    pub(crate) fn add(&mut self, row: Row) {
        match (row.key, row.content) {
            (Key::Job(_, id), Content::Job(record)) => self.jobs.push((id, record)),
            (Key::Progress(_, id), Content::Progress(progress)) => {
                self.progress.insert(id, progress);
            }
            (_, Content::Registration(profile)) => self.profiles.push(profile),
            (_, Content::Member(member)) => self.members.push(member),
            _ => {}
        }
    }
}
