use super::Client;
use crate::platform::{Answer, Instance, Listing};

impl Listing for Client {
    fn instances(&self) -> Answer<'_, Vec<Instance>> {
        Box::pin(async move { self.fetch_list("list", "/instances").await })
    }
}
