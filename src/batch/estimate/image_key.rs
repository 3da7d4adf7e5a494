slotmap::new_key_type! {
    /// An image in an [`super::Estimator`]. The key of an image that was evicted is not used again.
    pub struct ImageKey;
}
