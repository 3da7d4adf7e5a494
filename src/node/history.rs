use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use super::Shared;
use crate::config::{Change, HEAD_KEY, Revision};
use crate::fleet::{self, Difference, Digest, Document};
use crate::platform::Error;

/// Maximum versions of a page; each may need a read of its document from the object store.
const MAX_PAGE_VERSIONS: u64 = 50;

/// Maximum differences listed for one version; the rest are only counted.
const MAX_DIFFERENCES: usize = 200;

/// Maximum wait for one answer of the store.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// A committed version and its differences from the version before.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Past {
    /// History row of the version.
    #[serde(flatten)]
    pub change: Change,
    /// Differences from the version before, or `None` when a document could not be read.
    pub differences: Option<Vec<Difference>>,
    /// Number of differences that are not listed.
    pub omitted: usize,
}

/// A page of the history, the newest version first.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Page {
    /// Versions of the page.
    pub versions: Vec<Past>,
    /// Value of `before` that requests the next page; `None` on the last page.
    pub next: Option<u64>,
}

impl Shared {
    /// Reads the versions older than `before`, or the newest ones, at most `limit` of them.
    ///
    /// # Errors
    ///
    /// The table cannot be read.
    pub async fn history(&self, before: Option<u64>, limit: u64) -> Result<Page, Error> {
        let limit = limit.clamp(1, MAX_PAGE_VERSIONS);
        let newest = self.newest_version().await?;
        let before = before.unwrap_or(u64::MAX).min(newest + 1);
        let first = before.saturating_sub(limit).max(1);
        // One version more than the page shows, to compare the oldest version of the page with.
        let after = Change::key(first.saturating_sub(2));
        let rows = self.platform.table.scan(
            Change::PREFIX.into(),
            after.into(),
            usize::try_from(limit + 1).unwrap_or(usize::MAX),
        );
        let rows = with_timeout(rows).await?;
        let changes: Vec<Change> = rows
            .iter()
            .filter_map(|row| serde_json::from_str(&row.value).ok())
            .filter(|change: &Change| change.version < before)
            .collect();
        let mut versions = Vec::new();
        let mut old: Option<(Digest, Option<Document>)> = None;
        for change in changes {
            let unchanged = old.as_ref().filter(|(digest, _)| *digest == change.digest);
            let new = match unchanged {
                Some((_, document)) => document.clone(),
                None => self.read_document(change.digest).await,
            };
            let differences = match (&old, &new) {
                (Some((_, Some(old))), Some(new)) => Some(fleet::diff(old, new)),
                (None, Some(_)) if change.version == 1 => Some(Vec::new()),
                _ => None,
            };
            old = Some((change.digest, new));
            if change.version >= first {
                versions.push(limit_differences(change, differences));
            }
        }
        versions.reverse();
        Ok(Page {
            versions,
            next: (first > 1).then_some(first),
        })
    }

    /// Reads the history row of a version.
    ///
    /// # Errors
    ///
    /// The table cannot be read.
    pub async fn past(&self, version: u64) -> Result<Option<Change>, Error> {
        let row = with_timeout(self.platform.table.read(Change::key(version).into())).await?;
        Ok(row.and_then(|row| serde_json::from_str(&row.value).ok()))
    }

    /// Reads a document by its digest.
    ///
    /// # Errors
    ///
    /// The object store cannot be read.
    pub async fn content(&self, digest: Digest) -> Result<Option<Arc<str>>, Error> {
        let content = with_timeout(self.platform.objects.get(digest.to_string().into())).await?;
        let content = content.filter(|c| Digest::of(c).matches(&digest));
        Ok(content.and_then(|c| std::str::from_utf8(&c).ok().map(Into::into)))
    }

    async fn read_document(&self, digest: Digest) -> Option<Document> {
        let content = self.content(digest).await.ok().flatten()?;
        fleet::parse("fleet", &content).ok()
    }

    async fn newest_version(&self) -> Result<u64, Error> {
        let row = with_timeout(self.platform.table.read(HEAD_KEY.into())).await?;
        let revision = row.and_then(|row| Revision::from_row(&row).ok());
        Ok(revision.map_or(0, |r| r.head.version))
    }
}

fn limit_differences(change: Change, differences: Option<Vec<Difference>>) -> Past {
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

/// Waits at most [`READ_TIMEOUT`] for an answer of the store.
async fn with_timeout<T>(answer: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let answer = tokio::time::timeout(READ_TIMEOUT, answer).await;
    answer.unwrap_or_else(|_| {
        Err(Error::Unavailable {
            step: "read-history",
            peer: "store".into(),
            reason: "no answer in time".to_owned(),
        })
    })
}
