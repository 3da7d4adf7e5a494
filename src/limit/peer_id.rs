slotmap::new_key_type! {
    /// One life of an entry instance, as known to one ledger.
    pub struct PeerId;
}
