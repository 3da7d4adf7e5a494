use super::{Assignment, Summary};
use crate::platform::{Error, Row, Table};

/// Most rows that one request to the table returns.
const PAGE_ROWS: usize = 1000;

/// Rows of all pools and instances.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    pub(super) ledgers: Vec<Row>,
    pub(super) assignments: Vec<Row>,
}

impl Rows {
    /// Reads the rows.
    ///
    /// Pool rows are read before instance rows. Every change of an instance also writes the row of
    /// its pool. A write that is conditional on the version of a pool row therefore takes effect
    /// only if the instance rows, which were read later, are still current.
    ///
    /// # Errors
    ///
    /// Returns the error of the table.
    ///
    /// ```
    /// use coriandernotch::pools::Rows;
    /// use coriandernotch::standin::Store;
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// assert!(Rows::fetch(&Store::new().client("a")).await.is_ok());
    /// # });
    /// ```
    pub async fn fetch(table: &dyn Table) -> Result<Self, Error> {
        Ok(Self {
            ledgers: scan(table, Summary::PREFIX).await?,
            assignments: scan(table, Assignment::PREFIX).await?,
        })
    }
}

/// Reads all rows whose keys start with a prefix.
pub(crate) async fn scan(table: &dyn Table, prefix: &str) -> Result<Vec<Row>, Error> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map_or_else(|| "".into(), |row| row.key.clone());
        let page = table.scan(prefix.into(), after, PAGE_ROWS).await?;
        let is_last = page.len() < PAGE_ROWS;
        rows.extend(page);
        if is_last {
            return Ok(rows);
        }
    }
}
