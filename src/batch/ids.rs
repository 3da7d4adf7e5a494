slotmap::new_key_type! {
    /// A job in an [`super::Engine`].
    pub struct JobKey;
    /// A worker in an [`super::Engine`].
    pub struct WorkerKey;
    /// A run of a task in an [`super::Engine`].
    pub struct RunKey;
}
