use metrics::counter;

/// Counts a placed task that has a near place: whether it got one, and whether it waited for it.
pub fn count_near(near: bool, waited: bool) {
    let place = if near { "near" } else { "far" };
    counter!("tasks_placed_total", "place" => place, "waited" => waited.to_string()).increment(1);
}
