//! Ids that are indexes into arenas.

/// Defines ids that are indexes into arenas of `$module`.
macro_rules! arena_ids {
    ($module:literal: $($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, ::serde::Serialize,
            ::serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u32);

        impl $name {
            /// Returns the index of this id in its arena.
            ///
            /// ```
            #[doc = concat!("use coriandernotch::", $module, "::", stringify!($name), ";")]
            ///
            #[doc = concat!("assert_eq!(", stringify!($name), "(3).index(), 3);")]
            /// ```
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }
    )+};
}

pub(crate) use arena_ids;
