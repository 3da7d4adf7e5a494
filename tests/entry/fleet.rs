use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::{Value, json};

use crate::standin::serve;

/// Stand-in of the machine service: lists machines and answers no order.
#[derive(Default)]
pub(crate) struct Fleet {
    machines: Vec<Value>,
    orders: Arc<AtomicUsize>,
}

impl Fleet {
    /// Adds a machine that is in a pool.
    pub(crate) fn add(&mut self, name: &str, pool: &str) {
        self.machines.push(
            json!({"machine": name, "pool": pool, "state": "up", "zone": "a",
            "capacity": {"cpu": 4000, "memMb": 4000, "gpu": 0}}),
        );
    }

    pub(crate) async fn start(&self) -> SocketAddr {
        let list = json!({"machines": self.machines});
        let orders = self.orders.clone();
        serve(move |call| {
            let (list, orders) = (list.clone(), orders.clone());
            async move {
                if call.path != "/api/machines" {
                    orders.fetch_add(1, Ordering::Relaxed);
                    std::future::pending::<()>().await;
                }
                Some((200, list))
            }
        })
        .await
    }

    /// Returns the number of orders received.
    pub(crate) fn orders(&self) -> usize {
        self.orders.load(Ordering::Relaxed)
    }
}
