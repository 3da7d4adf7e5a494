slotmap::new_key_type! {
    /// Key of a submission that waits to be stored.
    pub struct SubmissionKey;
}
