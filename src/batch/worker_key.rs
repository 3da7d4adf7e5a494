slotmap::new_key_type! {
    /// A worker in an [`super::Engine`].
    pub struct WorkerKey;
}
