use crate::fleet::Difference;
use crate::settings::Role;

/// Returns the role that a change of the document needs.
///
/// Whoever may operate takes data centres out and in and pauses plans; all else administers.
pub(super) fn needed(differences: &[Difference]) -> Role {
    let operates = |d: &Difference| {
        let (field, changed) = (&d.field, d.before.is_some() && d.after.is_some());
        let state = field.starts_with("data-centres[") && field.ends_with("].state");
        let paused = field.starts_with("plans[") && field.ends_with("].paused");
        changed && (state || paused)
    };
    match differences.iter().all(operates) {
        true => Role::Operate,
        false => Role::Administer,
    }
}
