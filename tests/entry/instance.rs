use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;

use crate::log::Log;
use crate::platform::job;
use crate::port::free_address;

/// Time within which a test must reach each expected state; it normally takes far less.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// A process of an entry instance, killed when the test ends.
pub(crate) struct Instance {
    pub(crate) child: Child,
    pub(crate) callers: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) store: SocketAddr,
    /// Printed if the test fails; `None` if the test reads standard output itself.
    log: Option<Log>,
}

impl Instance {
    /// Submits a job of one task.
    pub(crate) async fn submit(&self, path: &str, payload: &str) {
        let body = job(payload, 1);
        request_until(self.callers, "POST", path, &body, |s, _| s == 200).await;
    }

    /// Waits until the instance reports a job in a state.
    pub(crate) async fn wait_for_state(&self, path: &str, state: &str) {
        let is_in_state = |_, answer: &Value| answer["state"] == state;
        request_until(self.callers, "GET", path, &json!({}), is_in_state).await;
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts an instance whose log is printed if the test fails.
pub(crate) fn start_instance(name: &str, store: SocketAddr) -> Instance {
    let log = Log::new(name);
    let mut instance = start_with_output(name, store, log.create());
    instance.log = Some(log);
    instance
}

pub(crate) fn start_with_output(name: &str, store: SocketAddr, stdout: Stdio) -> Instance {
    start_with_outputs(name, store, None, &bounds(), [stdout, Stdio::inherit()])
}

/// Starts an instance that maintains and moves the machines of a machine service, and whose log is
/// printed if the test fails.
pub(crate) fn start_with_machines(name: &str, store: SocketAddr, machines: SocketAddr) -> Instance {
    let log = Log::new(name);
    let outputs = [log.create(), Stdio::inherit()];
    let mut instance = start_with_outputs(name, store, Some(machines), &bounds(), outputs);
    instance.log = Some(log);
    instance
}

/// Starts an instance with a share of a processor, whose log is printed if the test fails.
pub(crate) fn start_with_share(name: &str, store: SocketAddr, share: f64) -> Instance {
    let log = Log::new(name);
    let outputs = [log.create(), Stdio::inherit()];
    let mut settings = settings(name, store, None, &bounds());
    settings["processor-share"] = json!(share);
    let mut instance = start_with_settings(name, store, &settings, outputs);
    instance.log = Some(log);
    instance
}

/// Starts an instance that stores jobs where instances of earlier versions find them, and deletes them
/// after `retention_s` seconds.
pub(crate) fn start_for_earlier(name: &str, store: SocketAddr, retention_s: u64) -> Instance {
    let mut bounds = bounds();
    bounds["status-s"] = json!(retention_s);
    let mut settings = settings(name, store, None, &bounds);
    settings["spread-jobs"] = json!(false);
    start_with_settings(name, store, &settings, [Stdio::null(), Stdio::inherit()])
}

/// Starts an instance that learns run times, whose log is printed if the test fails.
pub(crate) fn start_with_learning(name: &str, store: SocketAddr) -> Instance {
    let log = Log::new(name);
    let outputs = [log.create(), Stdio::inherit()];
    let mut settings = settings(name, store, None, &bounds());
    settings["learn-estimates"] = json!(true);
    let mut instance = start_with_settings(name, store, &settings, outputs);
    instance.log = Some(log);
    instance
}

/// Starts an instance that refuses jobs which could only end when they are of no use, and whose log
/// is printed if the test fails.
pub(crate) fn start_refusing(name: &str, store: SocketAddr) -> Instance {
    let log = Log::new(name);
    let outputs = [log.create(), Stdio::inherit()];
    let mut settings = settings(name, store, None, &bounds());
    settings["refuse-late-jobs"] = json!(true);
    let mut instance = start_with_settings(name, store, &settings, outputs);
    instance.log = Some(log);
    instance
}

/// Starts an instance that deletes ended jobs after `retention_s` seconds.
pub(crate) fn start_with_retention(name: &str, store: SocketAddr, retention_s: u64) -> Instance {
    let mut bounds = bounds();
    bounds["status-s"] = json!(retention_s);
    start_with_outputs(
        name,
        store,
        None,
        &bounds,
        [Stdio::null(), Stdio::inherit()],
    )
}

/// Starts an instance that must end within `grace_s` seconds after SIGTERM.
pub(crate) fn start_with_grace(name: &str, store: SocketAddr, grace_s: f64) -> Instance {
    let log = Log::new(name);
    let outputs = [log.create(), Stdio::inherit()];
    let bounds = json!({"grace-s": grace_s});
    let mut instance = start_with_outputs(name, store, None, &bounds, outputs);
    instance.log = Some(log);
    instance
}

/// Returns the bounds in the settings of an instance.
pub(crate) fn bounds() -> Value {
    json!({"grace-s": 1.0})
}

/// Starts an instance that writes standard output and standard error to files, and returns their
/// paths.
pub(crate) fn start_with_files(name: &str, store: SocketAddr) -> (Instance, [PathBuf; 2]) {
    let paths = ["out", "err"].map(|suffix| {
        let file = format!("coriandernotch-{}-{name}.{suffix}", std::process::id());
        std::env::temp_dir().join(file)
    });
    let outputs = paths
        .each_ref()
        .map(|path| File::create(path).unwrap().into());
    (
        start_with_outputs(name, store, None, &bounds(), outputs),
        paths,
    )
}

fn start_with_outputs(
    name: &str,
    store: SocketAddr,
    machines: Option<SocketAddr>,
    bounds: &Value,
    outputs: [Stdio; 2],
) -> Instance {
    let settings = settings(name, store, machines, bounds);
    start_with_settings(name, store, &settings, outputs)
}

/// Returns the settings of an instance on free ports.
pub(crate) fn settings(
    name: &str,
    store: SocketAddr,
    machines: Option<SocketAddr>,
    bounds: &Value,
) -> Value {
    json!({
        "name": name,
        "data-centre": "a",
        "callers": free_address(),
        "readiness": free_address(),
        "metrics": free_address(),
        "store": store,
        "machines": machines,
        "bounds": bounds,
    })
}

/// Starts an instance with settings that [`settings`] built.
pub(crate) fn start_with_settings(
    name: &str,
    store: SocketAddr,
    settings: &Value,
    [stdout, stderr]: [Stdio; 2],
) -> Instance {
    let address = |field: &str| settings[field].as_str().unwrap().parse().unwrap();
    let folder = std::env::temp_dir();
    let path = folder.join(format!(
        "coriandernotch-{}-{name}.jsonc",
        std::process::id()
    ));
    let mut file = File::create(&path).unwrap();
    file.write_all(settings.to_string().as_bytes()).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_coriandernotch"))
        .args(["entry", "--settings"])
        .arg(&path)
        .stdout(stdout)
        .stderr(stderr)
        .spawn()
        .unwrap();
    Instance {
        child,
        callers: address("callers"),
        metrics: address("metrics"),
        store,
        log: None,
    }
}

/// Sends one request and returns the status and body of the response; status 0 if there is none.
pub(crate) async fn send_request(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &Value,
) -> (u16, Value) {
    let answer = async {
        let stream = TcpStream::connect(to).await.ok()?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "h.example")
            .header("authorization", "Bearer key-1")
            .header("x-deadline-ms", "3000")
            .body(Full::new(bytes::Bytes::from(body.to_string())))
            .ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        Some((status, serde_json::from_slice(&body).unwrap_or_default()))
    };
    answer.await.unwrap_or_default()
}

/// Returns the body of a response as text.
pub(crate) async fn get_text(to: SocketAddr, path: &str) -> String {
    let stream = TcpStream::connect(to).await.unwrap();
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let request = Request::builder().uri(path).header("host", "h.example");
    let request = request.body(Full::new(bytes::Bytes::new())).unwrap();
    let answer = sender.send_request(request).await.unwrap();
    let body = answer.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8(body.to_vec()).unwrap()
}

/// Waits until a state is reached, which `what` describes.
pub(crate) async fn wait_until(what: &str, is_reached: impl Fn() -> bool) {
    let begun = Instant::now();
    while !is_reached() {
        assert!(begun.elapsed() < TIMEOUT, "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Waits until an instance that answers requests serves a line among its metrics.
pub(crate) async fn wait_for_metric(instance: &Instance, line: &str) {
    let begun = Instant::now();
    loop {
        let metrics = get_text(instance.metrics, "/metrics").await;
        if metrics.lines().any(|served| served == line) {
            return;
        }
        assert!(begun.elapsed() < TIMEOUT, "{line} is missing in\n{metrics}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Repeats a request until `is_done` holds for the response.
pub(crate) async fn request_until(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &Value,
    is_done: impl Fn(u16, &Value) -> bool,
) -> (u16, Value) {
    let begun = Instant::now();
    loop {
        let (status, answer) = send_request(to, method, path, body).await;
        if is_done(status, &answer) {
            return (status, answer);
        }
        assert!(
            begun.elapsed() < TIMEOUT,
            "{method} {path}: {status} {answer}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
