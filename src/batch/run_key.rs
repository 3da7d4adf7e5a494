slotmap::new_key_type! {
    /// A run of a task in an [`super::Engine`].
    pub struct RunKey;
}
