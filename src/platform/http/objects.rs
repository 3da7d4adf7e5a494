use std::sync::Arc;

use bytes::Bytes;
use hyper::{Method, StatusCode};

use super::Client;
use super::percent;
use crate::platform::{Answer, Objects};

impl Objects for Client {
    fn put(&self, name: Arc<str>, content: Bytes) -> Answer<'_, ()> {
        Box::pin(async move {
            let path = format!("/objects/{}", percent::encode_path(&name));
            let step = "put-object";
            match self.call(step, Method::PUT, &path, content).await? {
                (StatusCode::CONFLICT, _) => Err(self.unknown(step, "status 409".into())),
                _ => Ok(()),
            }
        })
    }

    fn get(&self, name: Arc<str>) -> Answer<'_, Option<Bytes>> {
        Box::pin(async move {
            let path = format!("/objects/{}", percent::encode_path(&name));
            self.fetch("get-object", &path).await
        })
    }
}
