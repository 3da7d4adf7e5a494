slotmap::new_key_type! {
    /// Key of one incarnation of an entry instance in one ledger.
    pub struct PeerId;
}
