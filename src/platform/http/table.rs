use std::sync::Arc;

use hyper::{Method, StatusCode};

use super::Client;
use super::percent;
use crate::platform::{Answer, Error, Row, Table, Write};

impl Table for Client {
    fn transact(&self, writes: Vec<Write>) -> Answer<'_, Vec<u64>> {
        Box::pin(async move {
            let step = "transact";
            let body =
                serde_json::to_vec(&writes).map_err(|e| self.unavailable(step, e.to_string()))?;
            let (status, body) = self
                .call(step, Method::POST, "/table/transact", body.into())
                .await?;
            if status == StatusCode::CONFLICT {
                // Only a key of this transaction proves that the table service sent the conflict.
                let key = writes.iter().find(|write| write.key.as_bytes() == &*body);
                return Err(match key {
                    Some(write) => Error::Conflict {
                        key: write.key.clone(),
                    },
                    None => self.unknown(step, "conflict names another key".into()),
                });
            }
            match serde_json::from_slice::<Vec<u64>>(&body) {
                Ok(versions) if versions.len() == writes.len() => Ok(versions),
                Ok(versions) => {
                    let reason = format!("{} versions for {} writes", versions.len(), writes.len());
                    Err(self.unknown(step, reason))
                }
                Err(error) => Err(self.unknown(step, error.to_string())),
            }
        })
    }

    fn read(&self, key: Arc<str>) -> Answer<'_, Option<Row>> {
        Box::pin(async move {
            let path = format!("/table/rows/{}", percent::encode_path(&key));
            match self.fetch("read", &path).await? {
                Some(body) => self.decode("read", &body).map(Some),
                None => Ok(None),
            }
        })
    }

    fn scan(&self, prefix: Arc<str>, after: Arc<str>, limit: usize) -> Answer<'_, Vec<Row>> {
        Box::pin(async move {
            let (prefix, after) = (
                percent::encode_query(&prefix),
                percent::encode_query(&after),
            );
            let path = format!("/table/scan?prefix={prefix}&after={after}&limit={limit}");
            self.fetch_list("scan", &path).await
        })
    }
}
