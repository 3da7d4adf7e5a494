//! Fields of the settings, the source of the reference in `docs/settings.md`.

use crate::document::{Presence, Shape, Type, field};

use Presence::{Default, Optional, Required};
use Type::{Address, Choice, Digest, Integer, List, Listen, Name, Object};

pub(super) static SETTINGS: Shape = Shape {
    name: "settings file",
    fields: &[
        field(
            "name",
            Name,
            Required,
            "Name of the instance, unique in the fleet.",
        ),
        field(
            "data-centre",
            Name,
            Required,
            "Data centre in which the process runs.",
        ),
        field(
            "listen",
            Object(&LISTEN),
            Required,
            "Addresses on which the process listens.",
        ),
        field(
            "platform",
            Object(&PLATFORM),
            Required,
            "Addresses of the platform's services.",
        ),
        field(
            "log",
            Choice(&["error", "warn", "info", "debug", "trace"]),
            Default("\"info\""),
            "Least severe log lines that are written.",
        ),
        field(
            "bounds",
            Object(&BOUNDS),
            Optional("all defaults"),
            "Bounds on callers.",
        ),
        field(
            "operators",
            List(&Object(&OPERATOR), 0, 100),
            Default("[]"),
            "Operators who may use the operators' port.",
        ),
    ],
};

static LISTEN: Shape = Shape {
    name: "listen section",
    fields: &[
        field("callers", Listen, Required, "Port for callers of services."),
        field(
            "operators",
            Listen,
            Required,
            "Port for operators, metrics and health.",
        ),
        field("peers", Listen, Required, "Port for other entry instances."),
        field(
            "advertised-peers",
            Address,
            Optional("`peers`"),
            "Address that other entry instances use; required when `peers` is 0.0.0.0 or [::].",
        ),
    ],
};

static PLATFORM: Shape = Shape {
    name: "platform section",
    fields: &[
        field(
            "table",
            List(&Address, 1, 3),
            Required,
            "Table service, one or three addresses.",
        ),
        field(
            "objects",
            List(&Address, 1, 3),
            Required,
            "Object store, one or three addresses.",
        ),
        field(
            "listing",
            List(&Address, 1, 3),
            Required,
            "List of live and leaving instances, one or three addresses.",
        ),
    ],
};

static BOUNDS: Shape = Shape {
    name: "bounds section",
    fields: &[
        field(
            "connections",
            Integer(1, 100_000),
            Default("10000"),
            "Connections of callers open at once.",
        ),
        field(
            "header-bytes",
            // hyper panics on a read buffer below 8 KiB.
            Integer(8 << 10, 1 << 20),
            Default("32768"),
            "Bytes of the head of one request.",
        ),
        field(
            "body-bytes",
            Integer(0, 1 << 30),
            Default("67108864"),
            "Bytes of one request body; a service may set less.",
        ),
        field(
            "idle-ms",
            Integer(1_000, 3_600_000),
            Default("60000"),
            "Milliseconds after which a connection without a request is closed.",
        ),
        field(
            "header-read-ms",
            Integer(100, 60_000),
            Default("10000"),
            "Milliseconds within which the head of a request must arrive.",
        ),
        field(
            "shutdown-grace-ms",
            Integer(0, 600_000),
            Default("35000"),
            "Milliseconds that running calls get to finish after SIGTERM.",
        ),
        field(
            "memory-mb",
            Integer(32, 1 << 24),
            Optional("room for small requests on all connections"),
            "Memory of the machine in MiB, of which connections may occupy half, and those that wait to be accepted an eighth.",
        ),
        field(
            "max-descriptors",
            Integer(64, 1 << 24),
            Optional("`connections` alone"),
            "Descriptors of the process, of which callers may occupy a quarter.",
        ),
    ],
};

static OPERATOR: Shape = Shape {
    name: "operator",
    fields: &[
        field("name", Name, Required, "Name that the history records."),
        field(
            "digest",
            Digest,
            Required,
            "SHA-256 digest of the operator's key.",
        ),
        field(
            "role",
            Choice(&["view", "operate", "administer"]),
            Required,
            "What the operator may do; each role includes the ones before it.",
        ),
    ],
};
