/// Index of a rack in [`super::State`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RackId(pub u32);

impl RackId {
    /// Returns the index in the arena.
    ///
    /// ```
    /// assert_eq!(coriandernotch::pools::RackId(3).index(), 3);
    /// ```
    pub fn index(self) -> usize {
        self.0 as usize
    }
}
