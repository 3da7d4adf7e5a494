//! The program as separate processes, with a stand-in platform on loopback.

#[path = "bed/log_end.rs"]
mod log_end;

use std::fs::File;
use std::net::SocketAddr;
use std::process::{Child, Command};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coriandernotch::demo::{Client, Reply};
use coriandernotch::fleet::Digest;
use coriandernotch::peer::Member;
use coriandernotch::platform::{Instance, State};
use coriandernotch::standin::{self, Store, Target};
use http_body_util::Full;
use hyper::Request;
use rustix::process::{Pid, Signal, kill_process};
use tokio::net::TcpListener;

const PROGRAM: &str = env!("CARGO_BIN_EXE_coriandernotch");
const WAIT: Duration = Duration::from_secs(20);

/// Stand-ins and the processes of a test. When it ends, the processes are killed, and if it failed,
/// the ends of their logs are printed.
struct Bed {
    store: Arc<Store>,
    target: Arc<Target>,
    platform: SocketAddr,
    folder: std::path::PathBuf,
    processes: Vec<(String, Child)>,
}

impl Drop for Bed {
    fn drop(&mut self) {
        for (_, child) in &mut self.processes {
            drop(child.kill());
            drop(child.wait());
        }
        if std::thread::panicking() {
            self.print_logs();
        }
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

impl Bed {
    async fn start(name: &str) -> Self {
        let store = Store::new();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let platform = listener.local_addr().unwrap();
        tokio::spawn(standin::platform::serve(listener, store.client("all")));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let target = Target::new();
        tokio::spawn(target.serve(listener));
        store.set_instances(vec![Instance {
            name: "one-1".into(),
            address,
            data_centre: "east".into(),
            rack: "r".into(),
            incarnation: 0,
            state: State::Live,
        }]);
        let folder =
            std::env::temp_dir().join(format!("coriandernotch-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Self {
            store,
            target,
            platform,
            folder,
            processes: Vec::new(),
        }
    }

    fn serve(&mut self, name: &str) {
        self.serve_at(name, "127.0.0.1:0".parse().unwrap());
    }

    fn serve_at(&mut self, name: &str, peers: SocketAddr) {
        let settings = serde_json::json!({
            "name": name,
            "data-centre": "east",
            "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": peers},
            "platform": {
                "table": [self.platform], "objects": [self.platform], "listing": [self.platform]
            },
            "operators": [
                {"name": "test", "digest": Digest::of(b"admin"), "role": "administer"}
            ],
        });
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).unwrap();
        // A process that is started again goes on with the log of its earlier life.
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path(name))
            .unwrap();
        let child = Command::new(PROGRAM)
            .args(["serve", "--settings"])
            .arg(&path)
            .stderr(log)
            .spawn()
            .unwrap();
        self.processes.push((name.to_owned(), child));
    }

    fn log_path(&self, name: &str) -> std::path::PathBuf {
        self.folder.join(format!("{name}.log"))
    }

    /// Prints the logs of all processes, also of those that have ended.
    fn print_logs(&self) {
        let files = std::fs::read_dir(&self.folder).into_iter().flatten();
        let mut paths: Vec<_> = files.flatten().map(|file| file.path()).collect();
        paths.retain(|path| path.extension().is_some_and(|suffix| suffix == "log"));
        paths.sort();
        paths.iter().for_each(|path| log_end::print_end(path));
    }

    async fn member(&self, name: &str) -> Member {
        let end = Instant::now() + WAIT;
        loop {
            let row = self.store.row(&Member::key(name));
            if let Some(member) = row.and_then(|row| serde_json::from_str(&row.value).ok()) {
                return member;
            }
            assert!(Instant::now() < end, "{name} did not join");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn document(&self) -> std::path::PathBuf {
        let document = serde_json::json!({
            "name": "test",
            "longest-run-ms": 2000,
            "data-centres": [{"name": "east", "region": "r"}],
            "workspaces": [{"name": "red", "share": 1, "limit": 8,
                "keys": [{"name": "first", "digest": Digest::of(b"red-key")}]}],
            "pools": [
                {"name": "one", "size": 1, "budget": {"unavailable": 0}, "instances": ["one-1"]},
                {"name": "rest", "size": 0, "spare": true, "budget": {"unavailable": 0}},
            ],
            "services": [{"name": "one", "pool": "one"}],
        });
        let path = self.folder.join("fleet.json");
        std::fs::write(&path, document.to_string()).unwrap();
        path
    }

    fn run(&self, arguments: &[&str], to: SocketAddr) -> (i32, String) {
        let output = Command::new(PROGRAM)
            .args(arguments)
            .args(["--to", &to.to_string()])
            .env("CORIANDERNOTCH_KEY", "admin")
            .output()
            .unwrap();
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.code().unwrap(),
            String::from_utf8(text).unwrap(),
        )
    }

    fn signal(&mut self, name: &str, signal: Signal) -> Child {
        let place = self.processes.iter().position(|(n, _)| n == name).unwrap();
        let (_, child) = self.processes.remove(place);
        kill_process(Pid::from_child(&child), signal).unwrap();
        child
    }
}

async fn call(to: SocketAddr, id: &str) -> Result<Reply, eyre::Report> {
    let request = Request::builder()
        .method("POST")
        .uri("/v1/services/one/x")
        .header("host", "test")
        .header("authorization", "Bearer red-key")
        .header("x-request-id", id)
        .body(Full::new(Bytes::from(id.to_owned())))
        .unwrap();
    Client::default().call(to, request).await
}

/// Calls until an answer comes, since an instance needs a moment to become ready.
async fn call_until_answered(to: SocketAddr, id: &str) {
    let end = Instant::now() + WAIT;
    loop {
        match call(to, id).await {
            Ok(reply) if reply.status == 200 => return assert_eq!(reply.body, id),
            other => assert!(Instant::now() < end, "last answer {other:?}"),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against the processes working only inside one program: settings, platform client, peers,
/// commands, a crash and a graceful shutdown, all over sockets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn processes_serve_a_call_survive_a_crash_and_stop_gracefully() {
    let mut bed = Bed::start("serve").await;
    for name in ["entry-a", "entry-b", "entry-c"] {
        bed.serve(name);
    }
    let (a, b) = (bed.member("entry-a").await, bed.member("entry-b").await);
    let fleet = bed.document();
    let (code, text) = bed.run(&["apply", fleet.to_str().unwrap()], a.operators);
    assert_eq!(code, 0, "{text}");
    call_until_answered(a.callers, "first").await;
    call_until_answered(b.callers, "second").await;
    let (code, text) = bed.run(&["status", "--format", "json"], b.operators);
    assert!(
        code == 0 && text.contains("\"ready\":true"),
        "{code} {text}"
    );
    let (code, text) = bed.run(
        &["apply", fleet.to_str().unwrap(), "--if-version", "999"],
        b.operators,
    );
    assert_eq!(code, 3, "{text}");

    let mut crashed = bed.signal("entry-c", Signal::KILL);
    crashed.wait().unwrap();
    call_until_answered(a.callers, "after-crash").await;

    let mut stopped = bed.signal("entry-a", Signal::TERM);
    assert_eq!(stopped.wait().unwrap().code(), Some(0));
    let text = std::fs::read_to_string(bed.log_path("entry-a")).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert!(
        lines.iter().any(|l| l.contains("event=shutdown-ended")),
        "{lines:#?}"
    );
    assert!(lines.iter().all(|l| l.starts_with("time=")), "{lines:#?}");
    call_until_answered(b.callers, "after-stop").await;
    assert_eq!(bed.target.repeated(), Vec::<Arc<str>>::new());
}

/// Guards against changes that are blocked for good after all instances crashed at once: their
/// former lives are voters that never answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_that_crashed_as_a_whole_accepts_changes_again() {
    let mut bed = Bed::start("crash").await;
    let names = ["entry-a", "entry-b", "entry-c"];
    names.iter().for_each(|name| bed.serve(name));
    let mut members = Vec::new();
    for name in names {
        members.push(bed.member(name).await);
    }
    let fleet = bed.document();
    assert_eq!(
        bed.run(&["apply", fleet.to_str().unwrap()], members[0].operators)
            .0,
        0
    );
    for member in &members {
        call_until_answered(member.callers, &member.name).await;
    }
    let end = Instant::now() + WAIT;
    while !bed
        .store
        .row("fleet/head")
        .unwrap()
        .value
        .contains("entry-c")
    {
        assert!(Instant::now() < end, "entry-c is not a voter");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for name in names {
        bed.signal(name, Signal::KILL).wait().unwrap();
    }
    for member in &members {
        bed.serve_at(&member.name, member.peers);
    }
    let end = Instant::now() + WAIT;
    let operators = loop {
        let member = bed.member("entry-a").await;
        if member.incarnation > members[0].incarnation {
            break member.operators;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    loop {
        let (code, text) = bed.run(&["apply", fleet.to_str().unwrap()], operators);
        if code == 0 {
            break;
        }
        assert!(Instant::now() < end, "{code} {text}");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Guards against exit codes and messages that scripts cannot rely on.
#[test]
fn wrong_usage_exits_with_2_and_the_usage() {
    let cases: [(&[&str], i32); 6] = [
        (&["--help"], 0),
        (&["--version"], 0),
        (&[], 2),
        (&["fly"], 2),
        (&["serve"], 2),
        (&["demo", "--seconds", "many"], 2),
    ];
    for (arguments, code) in cases {
        let output = Command::new(PROGRAM).args(arguments).output().unwrap();
        assert_eq!(output.status.code(), Some(code), "{arguments:?}");
        if code == 2 {
            assert!(
                String::from_utf8_lossy(&output.stderr).contains("usage:"),
                "{arguments:?}"
            );
        }
    }
}
