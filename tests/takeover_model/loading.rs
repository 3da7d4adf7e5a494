use std::sync::Arc;

use coriandernotch::batch::{Engine, Member, Profile, Progress, Record};
use coriandernotch::clock::Instant;
use coriandernotch::collections::Map;

use crate::content::Content;
use crate::key::Key;
use crate::page::Page;
use crate::row::Row;

/// What a leader has read of the store so far.
#[derive(Debug)]
pub(crate) struct Loading {
    /// Number of reads that are not answered.
    pub(crate) outstanding: usize,
    jobs: Vec<(Arc<str>, Record)>,
    progress: Map<Arc<str>, Progress>,
    pub(crate) profiles: Vec<Profile>,
    pub(crate) members: Vec<Member>,
    /// Version up to which all new jobs are included.
    pub(crate) jobs_version: u64,
}

impl Loading {
    pub(crate) fn new() -> Self {
        Self {
            outstanding: 0,
            jobs: Vec::new(),
            progress: Map::default(),
            profiles: Vec::new(),
            members: Vec::new(),
            jobs_version: u64::MAX,
        }
    }

    /// Adds all jobs of a partition.
    pub(crate) fn add_jobs(&mut self, page: Page) {
        self.jobs_version = self.jobs_version.min(page.version);
        self.add(page);
    }

    /// Adds all rows of another table.
    pub(crate) fn add(&mut self, page: Page) {
        page.rows.into_iter().for_each(|row| self.add_row(row));
    }

    fn add_row(&mut self, row: Row) {
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

    /// Passes the jobs that were read to an engine.
    pub(crate) fn load_jobs(&self, engine: &mut Engine, wall_ms: u64, now: Instant) {
        for (id, record) in &self.jobs {
            let progress = self.progress.get(id).cloned();
            engine.load_job(id, record.clone(), progress, wall_ms, now);
        }
    }
}
