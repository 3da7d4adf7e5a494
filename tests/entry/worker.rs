use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use coriandernotch::random::Random;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::end::End;
use crate::run::Run;
use crate::standin::{Call, Server, open};

/// Maximum number of ends in one answer.
const MAX_LISTED_ENDS: usize = 500;

/// Time after which an order without an answer is carried out.
const LATE_AFTER: Duration = Duration::from_secs(2);

/// Stand-in of a worker.
#[derive(Clone)]
pub(crate) struct Worker {
    state: Arc<Mutex<State>>,
    id: String,
}

struct State {
    begun: Instant,
    /// Start time of the process as it reports it, in milliseconds since 1970.
    born: u64,
    /// Highest fencing token of the requests.
    token: u64,
    /// All runs that were started here, in the order of their starts.
    runs: Vec<Run>,
    /// Position of the last end.
    position: u64,
    /// Position up to which ends are acknowledged.
    acknowledged: u64,
    /// Whether it carries out no call and answers none.
    frozen: bool,
    /// Share of the orders and polls that get no answer, in percent, and the numbers that select
    /// them. The orders are carried out late.
    lost_percent: u64,
    random: Random,
    /// Highest run of each task that was stopped or has ended here.
    past_runs: HashMap<String, u64>,
    /// First call on each connection: its path and body, by the number of the connection.
    first_calls: BTreeMap<usize, (String, Value)>,
    /// Its port, from the start of the stand-in.
    server: Option<Server>,
}

impl Worker {
    pub(crate) fn new(id: &str) -> Self {
        let state = State {
            begun: Instant::now(),
            born: 7,
            token: 0,
            runs: Vec::new(),
            position: 0,
            acknowledged: 0,
            frozen: false,
            lost_percent: 0,
            random: Random::new(0),
            past_runs: HashMap::new(),
            first_calls: BTreeMap::new(),
            server: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            id: id.into(),
        }
    }

    /// Creates the stand-in of a later process of a worker.
    pub(crate) fn restarted(id: &str) -> Self {
        let worker = Self::new(id);
        worker.state.lock().unwrap().born += 1;
        worker
    }

    pub(crate) async fn start(&self) -> SocketAddr {
        let worker = self.clone();
        let server = open(move |call| {
            let worker = worker.clone();
            async move { Some(worker.respond(call).await) }
        })
        .await;
        let address = server.address;
        self.state.lock().unwrap().server = Some(server);
        address
    }

    /// Closes the connections to the worker and refuses new ones, while its runs go on.
    pub(crate) fn cut_off(&self) {
        let state = self.state.lock().unwrap();
        state.server.as_ref().expect("the worker is served").close();
    }

    /// Returns task and run number of each start that was carried out.
    pub(crate) fn starts(&self) -> Vec<(String, u64)> {
        let runs = self.runs();
        runs.into_iter().map(|run| (run.task, run.number)).collect()
    }

    /// Returns all runs that were started here.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    pub(crate) fn running(&self) -> usize {
        self.state.lock().unwrap().running().count()
    }

    pub(crate) fn acknowledged(&self) -> u64 {
        self.state.lock().unwrap().acknowledged
    }

    /// Records ends of runs of one task.
    pub(crate) fn add_ends(&self, task: &str, count: u64) {
        let mut state = self.state.lock().unwrap();
        for number in 1..=count {
            state.position += 1;
            let mut run = Run::begin(task, number, "");
            run.end(state.position, "failed", Instant::now());
            state.runs.push(run);
        }
    }

    /// Ends all runs of a job as done.
    pub(crate) fn end_runs(&self, job: &str) {
        let mut state = self.state.lock().unwrap();
        let mut position = state.position;
        let is_of_job = |run: &&mut Run| run.end.is_none() && run.task.starts_with(job);
        for run in state.runs.iter_mut().filter(is_of_job) {
            position += 1;
            run.end(position, "done", Instant::now());
        }
        state.position = position;
    }

    /// Counts the starts of tasks of a job.
    pub(crate) fn starts_of(&self, job: &str) -> usize {
        let starts = self.starts().into_iter();
        starts.filter(|(task, _)| task.starts_with(job)).count()
    }

    /// Stops carrying out calls and answering them.
    pub(crate) fn freeze(&self) {
        self.state.lock().unwrap().frozen = true;
    }

    /// Leaves a share of the orders and polls unanswered, and carries the orders out [`LATE_AFTER`]
    /// their arrival.
    pub(crate) fn lose_calls(&self, percent: u64, seed: u64) {
        let mut state = self.state.lock().unwrap();
        (state.lost_percent, state.random) = (percent, Random::new(seed));
    }

    /// Returns path and body of the first call on each connection.
    pub(crate) fn first_calls(&self) -> Vec<(String, Value)> {
        let state = self.state.lock().unwrap();
        state.first_calls.values().cloned().collect()
    }

    async fn respond(&self, call: Call) -> (u16, Value) {
        {
            let mut state = self.state.lock().unwrap();
            let first_call = state.first_calls.entry(call.connection);
            first_call.or_insert_with(|| (call.path.clone(), call.body.clone()));
        }
        if self.state.lock().unwrap().frozen {
            return std::future::pending().await;
        }
        if call.expected.as_ref().is_some_and(|id| *id != self.id) {
            return (421, json!({}));
        }
        let token = call.body["fenceToken"].as_u64().unwrap_or_default();
        {
            let mut state = self.state.lock().unwrap();
            if token < state.token {
                return (409, json!({"clockMs": state.clock(), "reason": "fence"}));
            }
            state.token = token;
        }
        if self.state.lock().unwrap().loses_call() {
            let worker = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(LATE_AFTER).await;
                worker.carry_out(&call);
            });
            return std::future::pending().await;
        }
        match call.path.as_str() {
            "/api/hold" => self.hold(&call.body).await,
            _ => self.carry_out(&call),
        }
    }

    /// Carries out an order.
    fn carry_out(&self, call: &Call) -> (u16, Value) {
        let mut state = self.state.lock().unwrap();
        match call.path.as_str() {
            "/api/run-start" => state.start(&call.body),
            "/api/run-stop" => state.stop(&call.body),
            "/api/pace" => (200, json!({"clockMs": state.clock()})),
            _ => (404, json!({})),
        }
    }

    async fn hold(&self, body: &Value) -> (u16, Value) {
        let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or_default());
        let deadline = Instant::now() + wait;
        let position = body["ackPosition"].as_u64().unwrap_or_default();
        self.state.lock().unwrap().acknowledge(position);
        loop {
            {
                let mut state = self.state.lock().unwrap();
                state.end_due_runs();
                if !state.unacknowledged().is_empty() || Instant::now() >= deadline {
                    return state.status();
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

impl State {
    fn clock(&self) -> u64 {
        u64::try_from(self.begun.elapsed().as_millis()).unwrap()
    }

    fn loses_call(&mut self) -> bool {
        self.lost_percent > 0 && self.random.below(100) < self.lost_percent
    }

    fn running(&self) -> impl Iterator<Item = &Run> {
        self.runs.iter().filter(|run| run.end.is_none())
    }

    /// Forgets the ends up to `position`. A position from an earlier process of the worker does not
    /// affect later ends.
    fn acknowledge(&mut self, position: u64) {
        self.acknowledged = self.acknowledged.max(position);
        let ends = self.runs.iter_mut().filter_map(|run| run.end.as_mut());
        for end in ends.filter(|end| end.position <= position) {
            end.acknowledged = true;
        }
    }

    /// Returns the ended runs whose ends are not acknowledged, in the order of their ends.
    fn unacknowledged(&self) -> Vec<(&Run, &End)> {
        let ended = self.runs.iter();
        let ended = ended.filter_map(|run| Some((run, run.end.as_ref()?)));
        let unacknowledged = ended.filter(|(_, end)| !end.acknowledged);
        let mut unacknowledged: Vec<_> = unacknowledged.collect();
        unacknowledged.sort_by_key(|(_, end)| end.position);
        unacknowledged
    }

    fn start(&mut self, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap();
        let number = body["run"].as_u64().unwrap();
        if self.running().any(|run| run.matches(task, number)) {
            return (200, json!({"clockMs": self.clock()}));
        }
        let past = self.past_runs.get(task).copied().unwrap_or_default();
        let deadline = body["deadlineMs"].as_u64().unwrap_or_default();
        if number <= past {
            return (409, json!({"clockMs": self.clock(), "reason": "old"}));
        }
        if deadline < self.clock() {
            return (409, json!({"clockMs": self.clock(), "reason": "late"}));
        }
        let payload = body["spec"].as_str().unwrap();
        self.runs.push(Run::begin(task, number, payload));
        (200, json!({"clockMs": self.clock()}))
    }

    fn stop(&mut self, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap();
        let number = body["run"].as_u64().unwrap();
        let past = self.past_runs.entry(task.to_owned()).or_default();
        *past = number.max(*past);
        let position = self.position + 1;
        let mut runs = self.runs.iter_mut();
        if let Some(run) = runs.find(|run| run.end.is_none() && run.matches(task, number)) {
            run.end(position, "stopped", Instant::now());
            self.position = position;
        }
        (200, json!({"clockMs": self.clock()}))
    }

    fn end_due_runs(&mut self) {
        let now = Instant::now();
        for run in &mut self.runs {
            if let Some(due) = run.due().filter(|due| run.end.is_none() && *due <= now) {
                let past = self.past_runs.entry(run.task.clone()).or_default();
                *past = run.number.max(*past);
                self.position += 1;
                run.end(self.position, "done", due);
            }
        }
    }

    fn status(&self) -> (u16, Value) {
        let running: Vec<Value> = (self.running())
            .map(|run| json!([run.task, run.number, "", run.percent(), 5]))
            .collect();
        let ended: Vec<Value> = (self.unacknowledged().iter())
            .take(MAX_LISTED_ENDS)
            .map(|(run, end)| json!([end.position, run.task, run.number, end.outcome, ""]))
            .collect();
        (
            200,
            json!({"clockMs": self.clock(), "born": self.born, "running": running, "ended": ended}),
        )
    }
}
