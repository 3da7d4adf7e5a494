use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use super::Shared;
use crate::config::{Change, HEAD_KEY, Revision};
use crate::fleet::{self, Difference, Digest, Document};
use crate::platform::Error;

/// Most versions of a page; each may need its document from the object store.
const MAX_PAGE: u64 = 50;

/// Differences listed for one version; the rest are counted.
const MAX_DIFFERENCES: usize = 200;

/// Time for one answer of the store.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// A version of the past.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Past {
    /// Row of the version.
    #[serde(flatten)]
    pub change: Change,
    /// Differences from the version before; nothing when a document could not be read.
    pub differences: Option<Vec<Difference>>,
    /// Differences that are not listed.
    pub omitted: usize,
}

/// Part of the history, the newest version first.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Page {
    /// Versions.
    pub versions: Vec<Past>,
    /// Value of `before` for the next page, unless this is the last one.
    pub next: Option<u64>,
}

impl Shared {
    /// Reads the versions older than `before`, or the newest ones, at most `limit` of them.
    ///
    /// # Errors
    ///
    /// The table cannot be read.
    pub async fn history(&self, before: Option<u64>, limit: u64) -> Result<Page, Error> {
        let limit = limit.clamp(1, MAX_PAGE);
        let newest = self.newest().await?;
        let before = before.unwrap_or(u64::MAX).min(newest + 1);
        let first = before.saturating_sub(limit).max(1);
        // One more than is shown, for the differences of the oldest one.
        let after = Change::key(first.saturating_sub(2));
        let rows = self.platform.table.scan(
            Change::PREFIX.into(),
            after.into(),
            usize::try_from(limit + 1).unwrap_or(usize::MAX),
        );
        let rows = bounded(rows).await?;
        let changes: Vec<Change> = rows
            .iter()
            .filter_map(|row| serde_json::from_str(&row.value).ok())
            .filter(|change: &Change| change.version < before)
            .collect();
        let mut versions = Vec::new();
        let mut old: Option<(Digest, Option<Document>)> = None;
        for change in changes {
            let same = old.as_ref().filter(|(digest, _)| *digest == change.digest);
            let new = match same {
                Some((_, document)) => document.clone(),
                None => self.document(change.digest).await,
            };
            let differences = match (&old, &new) {
                (Some((_, Some(old))), Some(new)) => Some(fleet::diff(old, new)),
                (None, Some(_)) if change.version == 1 => Some(Vec::new()),
                _ => None,
            };
            old = Some((change.digest, new));
            if change.version >= first {
                versions.push(shorten(change, differences));
            }
        }
        versions.reverse();
        Ok(Page {
            versions,
            next: (first > 1).then_some(first),
        })
    }

    /// Reads the row of a version.
    ///
    /// # Errors
    ///
    /// The table cannot be read.
    pub async fn past(&self, version: u64) -> Result<Option<Change>, Error> {
        let row = bounded(self.platform.table.read(Change::key(version).into())).await?;
        Ok(row.and_then(|row| serde_json::from_str(&row.value).ok()))
    }

    /// Reads a document by its digest.
    ///
    /// # Errors
    ///
    /// The object store cannot be read.
    pub async fn content(&self, digest: Digest) -> Result<Option<Arc<str>>, Error> {
        let content = bounded(self.platform.objects.get(digest.to_string().into())).await?;
        let content = content.filter(|c| Digest::of(c).matches(&digest));
        Ok(content.and_then(|c| std::str::from_utf8(&c).ok().map(Into::into)))
    }

    async fn document(&self, digest: Digest) -> Option<Document> {
        let content = self.content(digest).await.ok().flatten()?;
        fleet::parse("fleet", &content).ok()
    }

    async fn newest(&self) -> Result<u64, Error> {
        let row = bounded(self.platform.table.read(HEAD_KEY.into())).await?;
        let revision = row.and_then(|row| Revision::from_row(&row).ok());
        Ok(revision.map_or(0, |r| r.head.version))
    }
}

fn shorten(change: Change, differences: Option<Vec<Difference>>) -> Past {
    let count = differences.as_ref().map_or(0, Vec::len);
    let differences = differences.map(|mut list| {
        list.truncate(MAX_DIFFERENCES);
        list
    });
    Past {
        change,
        differences,
        omitted: count.saturating_sub(MAX_DIFFERENCES),
    }
}

/// Waits for an answer of the store for a bounded time.
async fn bounded<T>(answer: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let answer = tokio::time::timeout(READ_TIMEOUT, answer).await;
    answer.unwrap_or_else(|_| {
        Err(Error::Unavailable {
            step: "read-history",
            peer: "store".into(),
            reason: "no answer in time".to_owned(),
        })
    })
}
