use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use super::ledger::Ledger;
use super::reply::{self, Body};
use super::{Ending, Mode, Overflow, REQUEST_ID, Run, SLOTS, WORKSPACE};
use crate::clock;
use crate::standin::http::{Hangup, body};
use crate::standin::serve::serve;

/// Largest request body in bytes.
const MAX_BODY: usize = 64 << 20;

#[derive(Clone, Copy, Default)]
struct Settings {
    mode: Mode,
    overflow: Overflow,
    service_time: Duration,
}

/// A back end with eight slots.
pub struct Target {
    settings: Mutex<Settings>,
    ledger: Mutex<Ledger>,
    slots: Semaphore,
    power: watch::Sender<bool>,
}

impl Target {
    /// Makes a target that answers at once.
    ///
    /// ```
    /// assert_eq!(coriandernotch::standin::Target::new().total(), 0);
    /// ```
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            settings: Mutex::default(),
            ledger: Mutex::default(),
            slots: Semaphore::new(SLOTS),
            power: watch::Sender::new(true),
        })
    }

    /// Changes the behaviour from the next request on.
    ///
    /// ```
    /// use coriandernotch::standin::{Target, target::Mode};
    ///
    /// Target::new().set_mode(Mode::Hang);
    /// ```
    pub fn set_mode(&self, mode: Mode) {
        self.settings().mode = mode;
    }

    /// Changes what happens when all slots are in use.
    ///
    /// ```
    /// use coriandernotch::standin::{Target, target::Overflow};
    ///
    /// Target::new().set_overflow(Overflow::Wait);
    /// ```
    pub fn set_overflow(&self, overflow: Overflow) {
        self.settings().overflow = overflow;
    }

    /// Changes how long a request occupies its slot.
    ///
    /// ```
    /// coriandernotch::standin::Target::new().set_service_time(std::time::Duration::ZERO);
    /// ```
    pub fn set_service_time(&self, time: Duration) {
        self.settings().service_time = time;
    }

    /// Turns the target off, which closes its connections under running requests, or on again.
    ///
    /// ```
    /// coriandernotch::standin::Target::new().set_power(false);
    /// ```
    pub fn set_power(&self, on: bool) {
        self.power.send_replace(on);
        if !on {
            let mut ledger = self.ledger();
            ledger.cut += ledger.running;
        }
    }

    /// Returns whether the target is on.
    ///
    /// ```
    /// assert!(coriandernotch::standin::Target::new().is_on());
    /// ```
    pub fn is_on(&self) -> bool {
        *self.power.borrow()
    }

    /// Returns how many requests ran when the target was turned off.
    ///
    /// ```
    /// assert_eq!(coriandernotch::standin::Target::new().cut(), 0);
    /// ```
    pub fn cut(&self) -> usize {
        self.ledger().cut
    }

    /// Returns how many requests began to run.
    ///
    /// ```
    /// assert_eq!(coriandernotch::standin::Target::new().total(), 0);
    /// ```
    pub fn total(&self) -> u64 {
        self.ledger().total
    }

    /// Returns how many requests were refused for lack of a slot or while leaving.
    ///
    /// ```
    /// assert_eq!(coriandernotch::standin::Target::new().refused(), 0);
    /// ```
    pub fn refused(&self) -> u64 {
        self.ledger().refused
    }

    /// Returns how often the request with this id ran.
    ///
    /// ```
    /// assert_eq!(coriandernotch::standin::Target::new().count("r1"), 0);
    /// ```
    pub fn count(&self, id: &str) -> u32 {
        self.ledger().count(id)
    }

    /// Returns the ids of requests that ran more than once.
    ///
    /// ```
    /// assert!(coriandernotch::standin::Target::new().repeated().is_empty());
    /// ```
    pub fn repeated(&self) -> Vec<Arc<str>> {
        self.ledger().repeated()
    }

    /// Returns how many requests run now.
    ///
    /// ```
    /// assert_eq!(coriandernotch::standin::Target::new().running(), 0);
    /// ```
    pub fn running(&self) -> usize {
        self.ledger().running
    }

    /// Returns the largest number of requests that ran at once.
    ///
    /// ```
    /// assert_eq!(coriandernotch::standin::Target::new().peak(), 0);
    /// ```
    pub fn peak(&self) -> usize {
        self.ledger().peak
    }

    /// Returns the records of all runs in the order of their start.
    ///
    /// ```
    /// assert!(coriandernotch::standin::Target::new().runs().is_empty());
    /// ```
    pub fn runs(&self) -> Vec<Run> {
        self.ledger().runs.clone()
    }

    /// Serves connections from `listener`, one task for each, until dropped.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
    /// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let target = coriandernotch::standin::Target::new();
    /// let server = tokio::spawn(target.serve(listener));
    /// server.abort();
    /// # });
    /// ```
    pub fn serve(
        self: &Arc<Self>,
        listener: TcpListener,
    ) -> impl Future<Output = ()> + Send + 'static {
        let target = self.clone();
        serve(listener, "target", move |stream| {
            connection(target.clone(), stream)
        })
    }

    async fn respond(&self, request: Request<Incoming>) -> Result<Response<Body>, Hangup> {
        let header = |name| {
            let value = request.headers().get(name);
            value.and_then(|v| v.to_str().ok()).unwrap_or("").to_owned()
        };
        let (id, workspace) = (header(REQUEST_ID), header(WORKSPACE));
        let settings = *self.settings();
        if settings.mode == Mode::Leaving {
            self.ledger().refused += 1;
            return Ok(reply::leaving(&id));
        }
        let slot = match settings.overflow {
            Overflow::Refuse => self.slots.try_acquire().ok(),
            Overflow::Wait => self.slots.acquire().await.ok(),
        };
        let Some(_slot) = slot else {
            self.ledger().refused += 1;
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(reply::whole(status, &id, "no slot".into()));
        };
        let content = body(request, MAX_BODY).await?;
        // A request whose body is incomplete never runs.
        let mut work = Work::begin(self, &id, &workspace);
        if settings.mode != Mode::Fail && !settings.service_time.is_zero() {
            tokio::time::sleep(settings.service_time).await;
        }
        if settings.mode == Mode::Hang {
            pending::<()>().await;
        }
        work.ending = Ending::Finished;
        match settings.mode {
            Mode::Normal => Ok(reply::whole(StatusCode::OK, &id, content)),
            Mode::Fail => Ok(reply::whole(
                StatusCode::INTERNAL_SERVER_ERROR,
                &id,
                "failed".into(),
            )),
            Mode::Truncate => Ok(reply::truncated(&id, &content)),
            Mode::Slow => Ok(reply::slow(&id, &content)),
            Mode::Close | Mode::Hang | Mode::Leaving => Err(Hangup),
        }
    }

    fn settings(&self) -> MutexGuard<'_, Settings> {
        self.settings.lock().expect("target settings lock")
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("target ledger lock")
    }
}

async fn connection(target: Arc<Target>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| target.respond(request));
    let mut power = target.power.subscribe();
    if !*power.borrow_and_update() {
        return;
    }
    // Broken connections are part of the modes, so their errors say nothing.
    tokio::select! {
        _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
        _ = power.wait_for(|on| !on) => {}
    }
}

/// Records the end of a run even when its connection is closed under it.
struct Work<'a> {
    target: &'a Target,
    place: usize,
    ending: Ending,
}

impl<'a> Work<'a> {
    fn begin(target: &'a Target, id: &str, workspace: &str) -> Self {
        Self {
            target,
            place: target.ledger().begin(id, workspace, clock::now()),
            ending: Ending::Interrupted,
        }
    }
}

impl Drop for Work<'_> {
    fn drop(&mut self) {
        self.target
            .ledger()
            .end(self.place, self.ending, clock::now());
    }
}
