slotmap::new_key_type! {
    /// Key of a connection in the arena of [`super::Ledger`].
    pub struct Key;
}
