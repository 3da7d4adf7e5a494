use std::net::SocketAddr;
use std::process::ExitCode;

use serde_json::Value;

use super::answer::Answer;
use super::exit::Exit;
use super::failure::Failure;
use super::operator::call;
use super::table::Table;
use super::{Format, apply};

/// Prints what an entry instance knows.
pub(super) fn status(to: SocketAddr, format: Format) -> ExitCode {
    show(
        call(to, "GET", "/v1/status", None, ""),
        format,
        print_status,
    )
}

/// Prints the newest versions.
pub(super) fn history(to: SocketAddr, format: Format) -> ExitCode {
    let answer = call(to, "GET", "/v1/fleet/history?limit=20", None, "");
    show(answer, format, print_history)
}

/// Prints how a file differs from the version in force, and what applying it would do.
pub(super) fn diff(path: &std::path::Path, to: SocketAddr, format: Format) -> ExitCode {
    let content = match apply::read(path) {
        Ok(content) => content,
        Err(code) => return code,
    };
    let answer = call(to, "POST", "/v1/fleet/check", None, content);
    // The instance may be of another version of the program than this command.
    if let Ok(answer) = &answer
        && answer.json()["valid"] == false
    {
        eprintln!("{}", answer.body);
        return Exit::Invalid.into();
    }
    show(answer, format, print_diff)
}

fn show(answer: Result<Answer, Failure>, format: Format, print: impl Fn(&Value)) -> ExitCode {
    match answer {
        Ok(answer) if !answer.status.is_success() => answer.report().into(),
        Ok(answer) => {
            match format {
                Format::Json => println!("{}", answer.body),
                Format::Table => print(&answer.json()),
            }
            ExitCode::SUCCESS
        }
        Err(failure) => failure.of_read().into(),
    }
}

fn print_status(status: &Value) {
    for field in [
        "name",
        "data-centre",
        "version",
        "ready",
        "running",
        "waiting",
    ] {
        println!("{field}: {}", text(&status[field]));
    }
    println!();
    let columns = ["name", "version", "connected", "voter"];
    print!("{}", Table::of("instance", &columns, &status["instances"]));
    println!();
    let columns = ["name", "state", "live", "ejected", "leaving"];
    print!(
        "{}",
        Table::of("data centre", &columns, &status["data-centres"])
    );
    println!();
    let columns = [
        "name",
        "share",
        "limit",
        "running",
        "running-fleet",
        "waiting",
    ];
    print!(
        "{}",
        Table::of("workspace", &columns, &status["workspaces"])
    );
}

fn print_history(page: &Value) {
    let versions = page["versions"].as_array().map_or(&[][..], |list| list);
    for version in versions {
        let [number, author, time, digest] =
            ["version", "author", "time", "digest"].map(|field| text(&version[field]));
        println!("{number} author={author} time-ms={time} digest={digest}");
        match version["differences"].as_array() {
            Some(differences) => differences.iter().for_each(print_difference),
            None => println!("  (a document is not readable)"),
        }
        if version["omitted"].as_u64() > Some(0) {
            println!("  and {} more", version["omitted"]);
        }
    }
}

fn print_diff(check: &Value) {
    let list = |field: &str| check[field].as_array().cloned().unwrap_or_default();
    println!("against version {}", text(&check["version"]));
    list("differences").iter().for_each(print_difference);
    for effect in list("effects") {
        println!("effect: {}", text(&effect["text"]));
    }
    println!("needs the role {}", text(&check["role"]));
}

fn print_difference(difference: &Value) {
    let [before, after] = ["before", "after"].map(|side| &difference[side]);
    println!("  {}: {before} -> {after}", text(&difference["field"]));
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        value => value.to_string(),
    }
}
