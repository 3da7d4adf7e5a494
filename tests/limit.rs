//! Upper limits: the split of a limit, loans between instances, and what faults may do to them.

#[path = "limit/cost.rs"]
mod cost;
#[path = "limit/exhaustive.rs"]
mod exhaustive;
#[path = "limit/faults.rs"]
mod faults;
#[path = "limit/home.rs"]
mod home;
#[path = "limit/interleaving.rs"]
mod interleaving;
#[path = "limit/message.rs"]
mod message;
#[path = "limit/node.rs"]
mod node;
#[path = "limit/step.rs"]
mod step;
#[path = "limit/unit.rs"]
mod unit;
#[path = "limit/usability.rs"]
mod usability;
#[path = "limit/world.rs"]
mod world;
