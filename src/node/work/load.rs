use std::sync::Arc;

use crate::jobs::Record;
use crate::node::Shared;
use crate::platform::{Error, Row};

/// Most rows in one page of a scan.
const PAGE_ROWS: usize = 1_000;

/// Reads the rows of all jobs of a queue.
pub(super) async fn load(shared: &Shared, name: &str) -> Result<Vec<Row>, Error> {
    let prefix: Arc<str> = Record::prefix(name).into();
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map_or_else(|| "".into(), |row| row.key.clone());
        let table = &shared.platform.table;
        let page = table.scan(prefix.clone(), after, PAGE_ROWS).await?;
        let last = page.len() < PAGE_ROWS;
        rows.extend(page);
        if last {
            return Ok(rows);
        }
    }
}
