use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::prelude::{Long, Short, Value, ValueExt};

use super::Format;
use super::options::Options;
use crate::fleet::Direction;
use crate::measure::Shape;

/// How the program is called.
pub const USAGE: &str = "\
usage: coriandernotch serve --settings FILE
       coriandernotch entry --settings FILE
       coriandernotch check FILE
       coriandernotch explain ID FILE...
       coriandernotch diff FILE --to ADDRESS [--format table|json]
       coriandernotch apply FILE --to ADDRESS [--if-version N] [--wait]
       coriandernotch status --to ADDRESS [--format table|json]
       coriandernotch history --to ADDRESS [--format table|json]
       coriandernotch data-centre out|in NAME --to ADDRESS [--wait]
       coriandernotch key issue|withdraw WORKSPACE NAME --to ADDRESS [--wait]
       coriandernotch demo [--seconds N] [--seed N] [--shape huallaga|rennes] [--report DIR] [--hold]
       coriandernotch measure [--shape huallaga|rennes|target] [--seed N] [--format table|json]
       coriandernotch --help | --version
Commands with --to read the operator key from the variable CORIANDERNOTCH_KEY.
Exit codes: 0 done, 1 failed, 2 wrong usage or invalid, 3 another operator was first,
4 unknown whether the change is in force, 5 accepted but not in force everywhere in 10 s.
";

/// One call of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Prints the usage.
    Help,
    /// Prints the version.
    Version,
    /// Runs one entry instance.
    Serve {
        /// Settings file.
        settings: PathBuf,
    },
    /// Runs one entry instance on the users' platform.
    Entry {
        /// Settings file.
        settings: PathBuf,
    },
    /// Validates a file.
    Check {
        /// Settings or fleet document.
        file: PathBuf,
    },
    /// Prints what logs tell of one request.
    Explain {
        /// Id of the request.
        id: String,
        /// Logs of the processes.
        files: Vec<PathBuf>,
    },
    /// Puts a fleet document in force.
    Apply {
        /// Fleet document.
        file: PathBuf,
        /// Operators' port of an entry instance.
        to: SocketAddr,
        /// Version that the document follows.
        if_version: Option<u64>,
        /// Whether to wait until it is in force everywhere.
        wait: bool,
    },
    /// Prints how a fleet document differs from the version in force.
    Diff {
        /// Fleet document.
        file: PathBuf,
        /// Operators' port of an entry instance.
        to: SocketAddr,
        /// How to print it.
        format: Format,
    },
    /// Prints what an entry instance knows.
    Status {
        /// Operators' port of an entry instance.
        to: SocketAddr,
        /// How to print it.
        format: Format,
    },
    /// Prints the newest versions.
    History {
        /// Operators' port of an entry instance.
        to: SocketAddr,
        /// How to print it.
        format: Format,
    },
    /// Takes a data centre out or back in.
    DataCentre {
        /// Name of the data centre.
        name: String,
        /// State that it is to have.
        state: Direction,
        /// Operators' port of an entry instance.
        to: SocketAddr,
        /// Whether to wait until it is in force everywhere.
        wait: bool,
    },
    /// Adds a key to a workspace and shows its secret.
    KeyIssue {
        /// Name of the workspace.
        workspace: String,
        /// Name of the key.
        name: String,
        /// Operators' port of an entry instance.
        to: SocketAddr,
        /// Whether to wait until it is in force everywhere.
        wait: bool,
    },
    /// Withdraws a key of a workspace.
    KeyWithdraw {
        /// Name of the workspace.
        workspace: String,
        /// Name of the key.
        name: String,
        /// Operators' port of an entry instance.
        to: SocketAddr,
        /// Whether to wait until it is in force everywhere.
        wait: bool,
    },
    /// Measures the decisions over a fleet, next to naive baselines.
    Measure {
        /// Fleet.
        shape: Shape,
        /// Seed of the load.
        seed: u64,
        /// How the figures are printed.
        format: Format,
    },
    /// Runs stand-ins and entry instances in one process and checks the rules.
    Demo {
        /// Length of the load in seconds.
        seconds: u64,
        /// Seed of the load.
        seed: u64,
        /// Name of the example fleet.
        shape: String,
        /// Folder for a report.
        report: Option<PathBuf>,
        /// Whether to go on until interrupted.
        hold: bool,
    },
}

impl Command {
    /// Reads the arguments, the first of which is the name of the program.
    ///
    /// # Errors
    ///
    /// Says which argument is wrong.
    ///
    /// ```
    /// use coriandernotch::cli::Command;
    ///
    /// let command = Command::parse(["coriandernotch", "--help"].map(Into::into)).unwrap();
    /// assert_eq!(command, Command::Help);
    /// assert!(Command::parse(["coriandernotch", "fly"].map(Into::into)).is_err());
    /// ```
    pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Self, lexopt::Error> {
        let mut parser = lexopt::Parser::from_iter(args);
        let name = match parser.next()? {
            Some(Short('h') | Long("help")) => return Ok(Self::Help),
            Some(Short('V') | Long("version")) => return Ok(Self::Version),
            Some(Value(name)) => name.string()?,
            Some(other) => return Err(other.unexpected()),
            None => return Err("a command is missing".into()),
        };
        let mut options = Options::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => return Ok(Self::Help),
                Long("settings") => options.settings = Some(parser.value()?.into()),
                Long("to") => options.to = Some(parser.value()?.parse()?),
                Long("if-version") => options.if_version = Some(parser.value()?.parse()?),
                Long("seconds") => options.seconds = Some(parser.value()?.parse()?),
                Long("seed") => options.seed = Some(parser.value()?.parse()?),
                Long("shape") => options.shape = Some(parser.value()?.string()?),
                Long("report") => options.report = Some(parser.value()?.into()),
                Long("hold") => options.hold = true,
                Long("wait") => options.wait = true,
                Long("format") => options.format = Some(parser.value()?.parse()?),
                Value(value) => options.values.push_back(value),
                other => return Err(other.unexpected()),
            }
        }
        options.build(&name)
    }
}
