/// Returns the rule behind the reason of a refusal.
///
/// ```
/// use coriandernotch::event::rule;
///
/// assert!(rule("queue-full").contains("queue-limit"));
/// assert_eq!(rule("?"), "the request is not accepted as it is");
/// ```
pub fn rule(reason: &str) -> &'static str {
    match reason {
        "queue-full" => {
            "at most queue-limit calls of a workspace wait at one instance for a service"
        }
        "deadline-unmeetable" => "a call whose expected wait exceeds its deadline does not wait",
        "deadline-passed" => "a call does not start after its deadline",
        "no-target" => {
            "a call starts only on a live target, not ejected, in a data centre that is in"
        }
        "stale" => "an instance admits calls only with evidence of at most 3 s that it is current",
        "shutting-down" => "an instance that shuts down admits no calls",
        "withdrawn" => "a call starts only while its key and service are in the document",
        "limit-reached" => "a workspace runs at most its limit in the whole fleet",
        "store-unavailable" => "a job is accepted only once the table service has its row",
        "idempotency-unavailable" => "a call with an idempotency key runs only once it is recorded",
        "overloaded" => {
            "calls that are passed on fit into the memory and descriptors of the process"
        }
        "unreachable" => "retries are at most a tenth of recent calls",
        "missing key" | "unknown or withdrawn key" => {
            "work is accepted only for the workspace whose key was presented"
        }
        "queue of other workspaces" => {
            "a service with a list of workspaces is open to these workspaces only"
        }
        "unknown service" | "unknown path" => "calls go to services of the document",
        "request body too large" => "a body is at most body-limit of the service",
        _ => "the request is not accepted as it is",
    }
}
