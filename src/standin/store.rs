use std::future::pending;
use std::sync::{Arc, Mutex};

use tokio::time::{Instant, sleep};

use super::data::Data;
use super::{Counters, Failure, Fault, Faults, Handle, Machines, Reply, Request};
use crate::platform::{Command, Instance, Platform, Row};

/// State of the platform services in memory.
///
/// Row versions restart at 1 after a deletion, which is the weakest reading of the protocol.
pub struct Store {
    data: Arc<Mutex<Data>>,
    machines: Arc<Machines>,
    faults: Faults,
    counters: Counters,
}

impl Store {
    /// Makes an empty store.
    ///
    /// ```
    /// assert!(coriandernotch::standin::Store::new().row("fleet/head").is_none());
    /// ```
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            data: Arc::default(),
            machines: Arc::new(Machines::new()),
            faults: Faults::default(),
            counters: Counters::new(),
        })
    }

    /// Returns the faults to inject.
    ///
    /// ```
    /// coriandernotch::standin::Store::new().faults().clear();
    /// ```
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns the counts of calls.
    ///
    /// ```
    /// assert_eq!(coriandernotch::standin::Store::new().counters().rows().total, 0);
    /// ```
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns an in-process client; `name` identifies it for [`Faults::cut`].
    ///
    /// ```
    /// let handle = coriandernotch::standin::Store::new().client("entry-1");
    /// assert_eq!(handle.name(), "entry-1");
    /// ```
    pub fn client(self: &Arc<Self>, name: &str) -> Handle {
        Handle::new(self.clone(), name)
    }

    /// Returns the machines on which the listed instances run.
    ///
    /// ```
    /// assert!(coriandernotch::standin::Store::new().machines().accepted().is_empty());
    /// ```
    pub fn machines(&self) -> &Machines {
        &self.machines
    }

    /// Returns in-process handles to the services.
    ///
    /// ```
    /// let platform = coriandernotch::standin::Store::new().platform("entry-1");
    /// drop(platform.table);
    /// ```
    pub fn platform(self: &Arc<Self>, name: &str) -> Platform {
        let handle = Arc::new(self.client(name));
        Platform {
            table: handle.clone(),
            objects: handle.clone(),
            listing: handle.clone(),
            machines: handle,
        }
    }

    /// Replaces the list of instances.
    ///
    /// ```
    /// coriandernotch::standin::Store::new().set_instances(Vec::new());
    /// ```
    pub fn set_instances(&self, list: Vec<Instance>) {
        self.data().set_instances(Instant::now(), list);
    }

    /// Changes the newest list of instances.
    ///
    /// ```
    /// coriandernotch::standin::Store::new().edit_instances(|list| list.clear());
    /// ```
    pub fn edit_instances(&self, edit: impl FnOnce(&mut Vec<Instance>)) {
        self.data().edit_instances(Instant::now(), edit);
    }

    /// Reads a row past faults and counters, for checks.
    ///
    /// ```
    /// assert!(coriandernotch::standin::Store::new().row("a").is_none());
    /// ```
    pub fn row(&self, key: &str) -> Option<Row> {
        self.data().read(key)
    }

    /// Reads rows past faults and counters, for checks.
    ///
    /// ```
    /// assert!(coriandernotch::standin::Store::new().rows("claims/").is_empty());
    /// ```
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.data().scan(prefix, "", usize::MAX)
    }

    /// Serves one call of `client` under the faults in force.
    ///
    /// The effect may come after the caller gave up, as with a real service.
    ///
    /// ```
    /// use coriandernotch::standin::{Reply, Request, Store};
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let reply = Store::new().perform("entry-1", Request::Read("a".into())).await;
    /// assert_eq!(reply, Ok(Reply::Row(None)));
    /// # });
    /// ```
    pub async fn perform(&self, client: &str, request: Request) -> Result<Reply, Failure> {
        if self.faults.is_cut(client) {
            return pending().await;
        }
        let delay = self.faults.delay();
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let rows = match &request {
            Request::Transact(writes) => writes.len(),
            _ => 0,
        };
        self.counters.add(request.kind(), rows);
        match self.faults.next(&request) {
            Fault::Pass => self.serve(request),
            Fault::Refuse => Err(Failure::Refused),
            Fault::Drop => Err(Failure::Lost),
            Fault::Lose => {
                let _ = self.serve(request);
                Err(Failure::Lost)
            }
        }
    }

    fn serve(&self, request: Request) -> Result<Reply, Failure> {
        let mut data = self.data();
        Ok(match request {
            Request::Read(key) => Reply::Row(data.read(&key)),
            Request::Scan {
                prefix,
                after,
                limit,
            } => Reply::Rows(data.scan(&prefix, &after, limit)),
            Request::Transact(writes) => {
                Reply::Versions(data.transact(&writes).map_err(Failure::Conflict)?)
            }
            Request::Put(name, content) => {
                data.objects.insert(name, content);
                Reply::Stored
            }
            Request::Get(name) => Reply::Object(data.objects.get(&name).cloned()),
            Request::List => {
                let at = Instant::now().checked_sub(self.faults.list_age());
                Reply::Instances(data.instances(at))
            }
            Request::Order(command) => {
                drop(data);
                self.order(&command)?;
                Reply::Stored
            }
        })
    }

    /// Carries an order out: an instance that reboots is out of the list meanwhile.
    fn order(&self, command: &Command) -> Result<(), Failure> {
        if !self.machines.accept(command) {
            return Err(Failure::Conflict(command.instance.clone()));
        }
        let ended = Machines::ends(command);
        let mut found = None;
        self.data().edit_instances(Instant::now(), |list| {
            let place = list
                .iter()
                .position(|i| i.name == command.instance && Some(i.incarnation) == ended);
            found = place.map(|place| list.remove(place));
        });
        let Some(mut instance) = found else {
            return Ok(());
        };
        let time = self.machines.begin(&instance.name);
        let (data, machines) = (self.data.clone(), self.machines.clone());
        tokio::spawn(async move {
            sleep(time).await;
            machines.end(&instance.name);
            instance.incarnation += 1;
            let mut data = data.lock().expect("store lock");
            data.edit_instances(Instant::now(), |list| list.push(instance));
        });
        Ok(())
    }

    fn data(&self) -> std::sync::MutexGuard<'_, Data> {
        self.data.lock().expect("store lock")
    }
}
