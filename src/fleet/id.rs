use serde::{Deserialize, Serialize};

macro_rules! define_ids {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u32);

        impl $name {
            /// Returns the index of this id in its arena.
            ///
            /// ```
            #[doc = concat!("use coriandernotch::fleet::", stringify!($name), ";")]
            ///
            #[doc = concat!("assert_eq!(", stringify!($name), "(3).index(), 3);")]
            /// ```
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }
    )+};
}

define_ids! {
    /// Identifies a workspace.
    WorkspaceId,
    /// Identifies a service.
    ServiceId,
    /// Identifies a pool.
    PoolId,
    /// Identifies a data centre.
    DataCentreId,
    /// Identifies a queue of jobs.
    QueueId,
}
