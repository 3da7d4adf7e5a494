slotmap::new_key_type! {
    /// A job in an [`super::Engine`].
    pub struct JobKey;
}
