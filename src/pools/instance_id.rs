/// Index of an instance in [`super::State`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InstanceId(pub u32);

impl InstanceId {
    /// Returns the index in the arena.
    ///
    /// ```
    /// assert_eq!(coriandernotch::pools::InstanceId(3).index(), 3);
    /// ```
    pub fn index(self) -> usize {
        self.0 as usize
    }
}
