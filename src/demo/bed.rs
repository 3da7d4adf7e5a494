use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use eyre::{Report, WrapErr, eyre};
use tokio::net::TcpListener;

use crate::collections::Map;
use crate::fleet::{Digest, Document, parse};
use crate::node::Node;
use crate::platform::{Instance, State};
use crate::settings::{self, Role};
use crate::standin::{Store, Target, Worker, worker::Need};

/// Operators of a bed; the key of each is the name of the role with `-key` after it.
const OPERATORS: [(&str, Role); 3] = [
    ("watch", Role::View),
    ("shift", Role::Operate),
    ("demo", Role::Administer),
];

/// Service time of the stand-in targets.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Size of the stand-in workers, about that of the first user's.
const WORKER_SIZE: Need = Need {
    milli_cpus: 32_000,
    memory_mib: 131_072,
    accelerators: 0,
};

/// Workers to a rack.
const RACK: usize = 4;

/// Stand-ins and entry instances in one process.
pub struct Bed {
    /// Table service, object store and list.
    pub store: Arc<Store>,
    /// Fleet document that was first put in force.
    pub document: Document,
    /// Targets by instance name.
    pub targets: Map<Arc<str>, Arc<Target>>,
    /// Workers by instance name, in the pools that queues name and services do not.
    pub workers: Map<Arc<str>, Arc<Worker>>,
    /// Instances with their places; the store's list leaves out those that reboot.
    pub instances: Mutex<Vec<Instance>>,
    nodes: Mutex<Vec<Arc<Node>>>,
    started: Mutex<usize>,
}

impl Bed {
    /// Starts the stand-ins of a fleet.
    ///
    /// # Errors
    ///
    /// The document is invalid or no port can be bound.
    pub async fn start(text: &str) -> Result<Self, Report> {
        let document = parse("fleet", text).map_err(|problems| {
            eyre!(
                "step=read-document problem={:?}",
                problems.first().map(ToString::to_string)
            )
        })?;
        let store = Store::new();
        let mut targets = Map::default();
        let mut workers = Map::default();
        let mut instances = Vec::new();
        for pool in &document.pools {
            for (number, name) in pool.instances.iter().enumerate() {
                let data_centre = find_data_centre(&document, name)?;
                let address = match runs_jobs(&document, &pool.name) {
                    true => {
                        let (worker, address) = start_worker().await?;
                        workers.insert(name.clone(), worker);
                        address
                    }
                    false => {
                        let (target, address) = start_target().await?;
                        store.machines().add(name, target.clone());
                        targets.insert(name.clone(), target);
                        address
                    }
                };
                instances.push(Instance {
                    name: name.clone(),
                    address,
                    rack: format!("{data_centre}-{}-{}", pool.name, number / RACK).into(),
                    incarnation: 0,
                    data_centre,
                    state: State::Live,
                });
            }
        }
        store.set_instances(instances.clone());
        Ok(Self {
            store,
            document,
            targets,
            workers,
            instances: Mutex::new(instances),
            nodes: Mutex::default(),
            started: Mutex::new(0),
        })
    }

    /// Starts an entry instance in the next data centre.
    ///
    /// # Errors
    ///
    /// A port cannot be bound.
    pub async fn start_node(&self) -> Result<Arc<Node>, Report> {
        let number = {
            let mut started = self.started.lock().expect("started lock");
            *started += 1;
            *started
        };
        let data_centres = &self.document.data_centres;
        let data_centre = &data_centres[(number - 1) % data_centres.len()].name;
        let name = format!("entry-{number}");
        let text = serde_json::json!({
            "name": name,
            "data-centre": data_centre,
            "listen": {
                "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"
            },
            // In-process clients of the store are used in place of these addresses.
            "platform": {
                "table": ["127.0.0.1:1"], "objects": ["127.0.0.1:1"], "listing": ["127.0.0.1:1"]
            },
            "operators": OPERATORS.map(|(name, role)| {
                let digest = Digest::of(format!("{role}-key").as_bytes());
                serde_json::json!({ "name": name, "digest": digest, "role": role })
            }),
        });
        let settings = settings::parse("settings", &text.to_string()).map_err(|p| {
            eyre!(
                "step=read-settings problem={:?}",
                p.first().map(ToString::to_string)
            )
        })?;
        let node = Arc::new(Node::start(settings, self.store.platform(&name)).await?);
        self.list_node(&node, State::Live);
        self.nodes.lock().expect("nodes lock").push(node.clone());
        Ok(node)
    }

    /// Shows an entry instance in the platform's list.
    fn list_node(&self, node: &Node, state: State) {
        let member = &node.shared().member;
        let instance = Instance {
            name: member.name.clone(),
            address: member.callers,
            data_centre: member.data_centre.clone(),
            rack: member.name.clone(),
            incarnation: 0,
            state,
        };
        self.set_instance(instance);
    }

    /// Changes or adds an instance of the platform's list.
    pub fn set_instance(&self, instance: Instance) {
        let mut instances = self.instances.lock().expect("instances lock");
        instances.retain(|i| i.name != instance.name);
        instances.push(instance.clone());
        self.store.edit_instances(|list| {
            list.retain(|i| i.name != instance.name);
            list.push(instance);
        });
    }

    /// Removes an instance from the platform's list.
    pub fn remove_instance(&self, name: &str) {
        let mut instances = self.instances.lock().expect("instances lock");
        instances.retain(|i| *i.name != *name);
        self.store
            .edit_instances(|list| list.retain(|i| *i.name != *name));
    }

    /// Lists the running entry instances.
    pub fn nodes(&self) -> Vec<Arc<Node>> {
        self.nodes.lock().expect("nodes lock").clone()
    }

    /// Lists the callers' addresses of the entry instances that say that they are ready.
    pub fn ready(&self) -> Vec<SocketAddr> {
        let now = crate::clock::now();
        let nodes = self.nodes();
        let ready = nodes.iter().map(|n| n.shared()).filter(|s| s.is_ready(now));
        ready.map(|s| s.member.callers).collect()
    }

    /// Shuts an entry instance down gracefully and takes it out of the list.
    pub async fn stop_node(&self, node: &Arc<Node>) {
        let name = node.shared().member.name.clone();
        node.stop().await;
        self.nodes
            .lock()
            .expect("nodes lock")
            .retain(|n| n.shared().member.name != name);
        self.remove_instance(&name);
    }

    /// Waits until `done` holds, or returns false after `limit`.
    pub async fn wait(&self, limit: Duration, mut done: impl FnMut(&Self) -> bool) -> bool {
        let end = tokio::time::Instant::now() + limit;
        while !done(self) {
            if tokio::time::Instant::now() > end {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        true
    }
}

fn runs_jobs(document: &Document, pool: &str) -> bool {
    document.queues.iter().any(|q| *q.pool == *pool)
        && document.services.iter().all(|s| *s.pool != *pool)
}

async fn start_worker() -> Result<(Arc<Worker>, SocketAddr), Report> {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .wrap_err("step=bind peer=worker")?;
    let address = listener.local_addr().wrap_err("step=local-address")?;
    let worker = Worker::new(WORKER_SIZE);
    tokio::spawn(worker.serve(listener));
    Ok((worker, address))
}

async fn start_target() -> Result<(Arc<Target>, SocketAddr), Report> {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .wrap_err("step=bind peer=target")?;
    let address = listener.local_addr().wrap_err("step=local-address")?;
    let target = Target::new();
    target.set_service_time(SERVICE_TIME);
    tokio::spawn(target.serve(listener));
    Ok((target, address))
}

/// Finds the data centre whose name is part of the name of an instance.
fn find_data_centre(document: &Document, instance: &str) -> Result<Arc<str>, Report> {
    let mut names = document.data_centres.iter().map(|d| &d.name);
    let found = names.find(|name| instance.contains(&***name));
    found
        .cloned()
        .ok_or_else(|| eyre!("step=read-document instance={instance} data-centre=none"))
}
