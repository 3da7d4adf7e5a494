use crate::batch::TaskId;

/// Encodes the name of a task as `job.occurrence.step.index`.
pub(super) fn encode(task: &TaskId) -> String {
    format!(
        "{}.{}.{}.{}",
        task.job, task.occurrence, task.step, task.index
    )
}

/// Encodes the name of the step of a task as `job.occurrence.step`.
pub(super) fn encode_step(task: &TaskId) -> String {
    format!("{}.{}.{}", task.job, task.occurrence, task.step)
}

/// Decodes the name of a task. The name of the job may contain dots.
pub(super) fn decode(name: &str) -> Option<TaskId> {
    let mut parts = name.rsplitn(4, '.');
    let index = parts.next()?.parse().ok()?;
    let step = parts.next()?.parse().ok()?;
    let occurrence = parts.next()?.parse().ok()?;
    let job = parts.next()?.into();
    Some(TaskId {
        job,
        occurrence,
        step,
        index,
    })
}
