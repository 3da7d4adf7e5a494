use hyper::Uri;

/// Jobs of one page unless the caller asks for fewer.
const PAGE: usize = 100;

/// What a path about jobs names.
pub(super) enum Path {
    /// Jobs of a queue.
    Queue {
        queue: String,
        after: String,
        limit: usize,
    },
    /// One job.
    Job { queue: String, id: String },
}

impl Path {
    pub(super) fn read(uri: &Uri) -> Option<Self> {
        if let Some(id) = uri.path().strip_prefix("/v1/jobs/") {
            let (queue, id) = split_id(id)?;
            return Some(Self::Job { queue, id });
        }
        let rest = uri.path().strip_prefix("/v1/queues/")?;
        let queue = rest.strip_suffix("/jobs")?;
        let query = uri.query().unwrap_or("");
        let field = |name| {
            let mut fields = query.split('&').filter_map(|f| f.split_once('='));
            fields.find(|(n, _)| *n == name).map(|(_, value)| value)
        };
        let limit = match field("limit") {
            Some(limit) => limit.parse().ok().filter(|n| (1..=PAGE).contains(n))?,
            None => PAGE,
        };
        let after = match field("after") {
            Some(id) => split_id(id).filter(|(q, _)| q == queue)?.1,
            None => String::new(),
        };
        is_name(queue).then(|| Self::Queue {
            queue: queue.to_owned(),
            after,
            limit,
        })
    }
}

/// Splits the id that callers see.
fn split_id(text: &str) -> Option<(String, String)> {
    let (queue, id) = text.rsplit_once('.')?;
    let digits = id.len() == 32 && id.bytes().all(|b| b.is_ascii_hexdigit());
    (digits && is_name(queue)).then(|| (queue.to_owned(), id.to_owned()))
}

/// Names with a slash would reach into rows of other queues.
fn is_name(text: &str) -> bool {
    !text.is_empty() && !text.contains(['/', '%'])
}
