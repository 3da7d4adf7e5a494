//! Tests of the decision who is admitted and who gives way, without sockets.

#[path = "intake/bytes.rs"]
mod bytes;
#[path = "intake/exact.rs"]
mod exact;
#[path = "intake/places.rs"]
mod places;
#[path = "intake/scene.rs"]
mod scene;
#[path = "intake/times.rs"]
mod times;
