//! Fields of the fleet document, from which the reference in `docs/settings.md` is generated.

use crate::document::{Presence, Shape, Type, field};

use Presence::{Default, Required};
use Type::{Boolean, Choice, Digest, Integer, List, Name, Object};

/// Lists may have about ten times as many entries as the design load of 17 data centres, 45 pools,
/// 150 workspaces and 2,300 workers, so that growth is accepted and the output of a faulty
/// generator is rejected.
pub(super) static DOCUMENT: Shape = Shape {
    name: "fleet document",
    fields: &[
        field("name", Name, Required, "Name of the fleet."),
        field(
            "longest-run-ms",
            Integer(1, 3_600_000),
            Default("30000"),
            "Maximum time in milliseconds that one call may run on a target.",
        ),
        field(
            "data-centres",
            List(&Object(&DATA_CENTRE), 1, 200),
            Required,
            "Data centres of the fleet.",
        ),
        field(
            "workspaces",
            List(&Object(&WORKSPACE), 0, 1_500),
            Required,
            "Workspaces with their shares, limits and keys.",
        ),
        field(
            "pools",
            List(&Object(&POOL), 0, 500),
            Required,
            "Pools of instances; exactly one of them is the spare pool.",
        ),
        field(
            "services",
            List(&Object(&SERVICE), 0, 500),
            Default("[]"),
            "Services whose calls are sent to targets.",
        ),
        field(
            "queues",
            List(&Object(&QUEUE), 0, 1_500),
            Default("[]"),
            "Queues of jobs.",
        ),
        field(
            "plans",
            List(&Object(&PLAN), 0, 500),
            Default("[]"),
            "Maintenance plans.",
        ),
    ],
};

static DATA_CENTRE: Shape = Shape {
    name: "data centre",
    fields: &[
        field("name", Name, Required, "Unique name."),
        field("region", Name, Required, "Region of the data centre."),
        field(
            "state",
            Choice(&["in", "out"]),
            Default("\"in\""),
            "Whether new work may start; `out` means taken out of service by operators.",
        ),
    ],
};

static WORKSPACE: Shape = Shape {
    name: "workspace",
    fields: &[
        field("name", Name, Required, "Unique name."),
        field(
            "share",
            Integer(1, 1_000_000),
            Required,
            "Weight of the workspace when demand exceeds capacity.",
        ),
        field(
            "limit",
            Integer(1, 1_000_000),
            Required,
            "Maximum number of calls and job runs at once in the whole fleet.",
        ),
        field(
            "keys",
            List(&Object(&KEY), 0, 100),
            Default("[]"),
            "API keys of the workspace; a digest belongs to one workspace only.",
        ),
    ],
};

static KEY: Shape = Shape {
    name: "key",
    fields: &[
        field(
            "name",
            Name,
            Required,
            "Name of the key, unique in the workspace.",
        ),
        field("digest", Digest, Required, "SHA-256 digest of the secret."),
        field(
            "withdrawn",
            Boolean,
            Default("false"),
            "Whether the key is withdrawn and no longer accepted.",
        ),
    ],
};

static POOL: Shape = Shape {
    name: "pool",
    fields: &[
        field("name", Name, Required, "Unique name."),
        field(
            "size",
            Integer(0, 100_000),
            Required,
            "Intended number of instances; 0 only for the spare pool.",
        ),
        field(
            "spare",
            Boolean,
            Default("false"),
            "Whether this is the spare pool, which lends instances to the other pools.",
        ),
        field(
            "budget",
            Object(&BUDGET),
            Required,
            "Limits how many instances may be unavailable at once.",
        ),
        field(
            "instances",
            List(&Name, 0, 25_000),
            Default("[]"),
            "Instances that initially belong to this pool; each may be listed in one pool only.",
        ),
    ],
};

static BUDGET: Shape = Shape {
    name: "budget",
    fields: &[
        field(
            "unavailable",
            Integer(0, 100_000),
            Required,
            "Maximum number of instances down or draining at once; less than the size of the pool.",
        ),
        field(
            "rack",
            Integer(0, 1_000),
            Default("0"),
            "Instances per rack if the budget must cover the loss of a rack; 0 if it need not.",
        ),
    ],
};

static SERVICE: Shape = Shape {
    name: "service",
    fields: &[
        field(
            "name",
            Name,
            Required,
            "Unique name, used in the path of calls.",
        ),
        field(
            "pool",
            Name,
            Required,
            "Pool whose instances are the targets.",
        ),
        field(
            "workspaces",
            List(&Name, 0, 1_500),
            Default("[]"),
            "Workspaces that may call the service; empty means all workspaces.",
        ),
        field(
            "slots",
            Integer(1, 10_000),
            Default("8"),
            "Maximum number of calls that one target runs at once.",
        ),
        field(
            "connections",
            Integer(1, 100_000),
            Default("64"),
            "Maximum number of connections to one target from the whole fleet; not less than `slots`.",
        ),
        field(
            "timeout-ms",
            Integer(1, 3_600_000),
            Default("10000"),
            "Timeout in milliseconds of a call that specifies no deadline.",
        ),
        field(
            "body-limit",
            Integer(0, 1 << 30),
            Default("8388608"),
            "Maximum size of a request body in bytes.",
        ),
        field(
            "queue-limit",
            Integer(0, 1_000_000),
            Default("1000"),
            "Maximum number of calls of one workspace that wait at one entry instance.",
        ),
    ],
};

static QUEUE: Shape = Shape {
    name: "queue",
    fields: &[
        field("name", Name, Required, "Unique name."),
        field("pool", Name, Required, "Pool whose workers run the jobs."),
        field(
            "workspaces",
            List(&Name, 0, 1_500),
            Default("[]"),
            "Workspaces that may submit jobs; empty means all workspaces.",
        ),
    ],
};

static PLAN: Shape = Shape {
    name: "plan",
    fields: &[
        field("name", Name, Required, "Unique name."),
        field(
            "pool",
            Name,
            Required,
            "Pool whose instances are maintained; its budget is at least 1.",
        ),
        field(
            "period-days",
            Integer(1, 366),
            Required,
            "Period in days within which each instance is maintained once.",
        ),
        field(
            "window-start-hour",
            Integer(0, 23),
            Default("0"),
            "Hour of the day, in UTC, at which the maintenance window opens.",
        ),
        field(
            "window-hours",
            Integer(1, 24),
            Default("24"),
            "Hours for which the maintenance window stays open each day.",
        ),
        field(
            "paused",
            Boolean,
            Default("false"),
            "Whether operators have paused the plan.",
        ),
    ],
};
