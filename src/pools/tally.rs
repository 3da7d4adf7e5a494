use super::{Instance, Phase};
use crate::collections::Map;

/// Counts of the instances of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Instances in the pool.
    pub members: u32,
    /// Instances that do not serve.
    pub not_serving: u32,
    /// Those among them that have moved to the pool and are not admitted yet.
    pub arriving: u32,
    /// Instances that serve.
    pub serving: u32,
    /// Most serving instances in one rack.
    pub max_serving_in_rack: u32,
    /// Most serving instances in one data centre.
    pub max_serving_in_data_centre: u32,
    /// Most instances in one data centre, serving or not.
    pub max_members_in_data_centre: u32,
}

impl Tally {
    /// Counts the instances of one pool.
    ///
    /// ```
    /// assert_eq!(coriandernotch::pools::Tally::of([].into_iter()).members, 0);
    /// ```
    pub fn of<'a>(instances: impl Iterator<Item = &'a Instance>) -> Self {
        let mut tally = Self::default();
        let mut racks: Map<_, u32> = Map::default();
        let mut data_centres: Map<_, [u32; 2]> = Map::default();
        for instance in instances {
            tally.members += 1;
            let [all, serving] = data_centres.entry(instance.data_centre).or_default();
            *all += 1;
            if instance.phase.is_unavailable() {
                tally.not_serving += 1;
                tally.arriving += u32::from(instance.phase == Phase::Moving);
                continue;
            }
            tally.serving += 1;
            *serving += 1;
            *racks.entry(instance.rack).or_default() += 1;
        }
        tally.max_serving_in_rack = racks.into_values().max().unwrap_or(0);
        for [all, serving] in data_centres.into_values() {
            tally.max_members_in_data_centre = tally.max_members_in_data_centre.max(all);
            tally.max_serving_in_data_centre = tally.max_serving_in_data_centre.max(serving);
        }
        tally
    }
}
