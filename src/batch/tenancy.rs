/// Whether an instance leads, as the row of the leader shows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Tenancy {
    /// The holder of the row leads for as long as it renews it.
    #[default]
    Held,
    /// Nobody leads, and any instance may take over.
    Vacant,
    /// The leader made way for another instance than this one.
    Reserved,
}
