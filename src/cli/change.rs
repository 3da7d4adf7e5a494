use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::answer::Answer;
use super::exit::Exit;
use super::operator::call;
use crate::fleet::{Document, parse};

/// Times that an edit is made anew after another operator was first.
const ATTEMPTS: u32 = 8;

/// Time between the first two attempts; each further pause is longer by as much, so that edits that
/// race do not go on meeting while a slow change takes effect.
const RETRY: Duration = Duration::from_millis(200);

/// Time for a version to be in force everywhere; 4 s is the target for a change.
const WAIT: Duration = Duration::from_secs(10);

/// Time between two looks at the status.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Result of an edit of the document in memory.
pub(super) enum Edit {
    /// The document is to be put in force.
    Changed,
    /// The document says already what is wanted.
    Same,
    /// The document has no such thing.
    Invalid(String),
}

/// Reads the document in force, edits it and puts it in force, anew when another was first.
///
/// Comments of the document are lost, since it is written from its values.
pub(super) fn edit(
    to: SocketAddr,
    wait: bool,
    mut change: impl FnMut(&mut Document) -> Edit,
) -> Exit {
    for attempt in 1.. {
        let answer = match call(to, "GET", "/v1/fleet", None, "") {
            Ok(answer) if answer.status.is_success() => answer,
            Ok(answer) => return answer.report(),
            Err(failure) => return failure.of_read(),
        };
        let Ok(mut document) = parse("fleet", &answer.body) else {
            eprintln!("the document in force is not valid for this program");
            return Exit::Failed;
        };
        match change(&mut document) {
            Edit::Changed => {}
            Edit::Same => {
                eprintln!("nothing to change");
                return wait_until(to, wait, answer.version);
            }
            Edit::Invalid(reason) => {
                eprintln!("{reason}");
                return Exit::Invalid;
            }
        }
        let content =
            serde_json::to_string_pretty(&document).expect("a document has text keys only");
        let exit = put(to, content, answer.version, wait, attempt < ATTEMPTS);
        if exit != Exit::Conflict || attempt == ATTEMPTS {
            return exit;
        }
        std::thread::sleep(RETRY * attempt);
    }
    Exit::Conflict
}

/// Puts a document in force and says what came of it.
pub(super) fn put(
    to: SocketAddr,
    content: impl Into<bytes::Bytes>,
    base: Option<u64>,
    wait: bool,
    retries: bool,
) -> Exit {
    match call(to, "PUT", "/v1/fleet", base, content) {
        Ok(answer) if answer.status.is_success() => {
            println!("{}", answer.body.trim_end());
            wait_until(to, wait, answer.version)
        }
        Ok(answer) if retries && Exit::from(answer.status) == Exit::Conflict => Exit::Conflict,
        Ok(answer) => answer.report(),
        Err(failure) => failure.of_change(),
    }
}

/// Waits until a version is in force at every instance of the status, or names those that lag.
fn wait_until(to: SocketAddr, wait: bool, version: Option<u64>) -> Exit {
    let (true, Some(version)) = (wait, version) else {
        return Exit::Done;
    };
    let end = Instant::now() + WAIT;
    loop {
        let lagging = match call(to, "GET", "/v1/status", None, "") {
            Ok(answer) if answer.status.is_success() => find_lagging(&answer, version),
            _ => vec![format!("{to} (no status)")],
        };
        if lagging.is_empty() {
            eprintln!("version {version} is in force everywhere");
            return Exit::Done;
        }
        if Instant::now() >= end {
            eprintln!(
                "version {version} is accepted, not in force at: {}",
                lagging.join(", ")
            );
            return Exit::Lagging;
        }
        std::thread::sleep(LOOK_EVERY);
    }
}

fn find_lagging(answer: &Answer, version: u64) -> Vec<String> {
    let status = answer.json();
    let instances = status["instances"].as_array().map_or(&[][..], |list| list);
    let lags = instances
        .iter()
        .filter(|i| i["version"].as_u64() < Some(version));
    lags.map(|i| {
        let known = i["version"]
            .as_u64()
            .map_or("unknown".to_owned(), |v| v.to_string());
        format!("{} (version {known})", i["name"].as_str().unwrap_or("?"))
    })
    .collect()
}
