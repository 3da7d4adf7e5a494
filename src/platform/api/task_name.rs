use crate::batch::TaskId;

/// Writes the name of a task.
pub(super) fn write(task: &TaskId) -> String {
    format!(
        "{}.{}.{}.{}",
        task.job, task.occurrence, task.step, task.index
    )
}

/// Writes the name of the step of a task.
pub(super) fn write_step(task: &TaskId) -> String {
    format!("{}.{}.{}", task.job, task.occurrence, task.step)
}

/// Reads the name of a task.
pub(super) fn read(name: &str) -> Option<TaskId> {
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
