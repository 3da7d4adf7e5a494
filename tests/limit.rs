//! Fleet-wide limits: the split of a limit into quotas, loans between instances, and the limit
//! under faults.

#[path = "limit/allocation.rs"]
mod allocation;
#[path = "limit/cost.rs"]
mod cost;
#[path = "limit/exhaustive.rs"]
mod exhaustive;
#[path = "limit/faults.rs"]
mod faults;
#[path = "limit/interleaving.rs"]
mod interleaving;
#[path = "limit/message.rs"]
mod message;
#[path = "limit/node.rs"]
mod node;
#[path = "limit/simulation.rs"]
mod simulation;
#[path = "limit/step.rs"]
mod step;
#[path = "limit/unit.rs"]
mod unit;
#[path = "limit/usability.rs"]
mod usability;
