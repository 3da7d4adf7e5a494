use super::Shape;
use crate::fleet::{DataCentreId, WorkspaceId};
use crate::jobs::{RackId, Scheduler, Size, Tuning, Worker};

/// Workers per rack, as the first users have it.
const RACK: u32 = 4;

/// Workers, workspaces and rates of a shape.
#[derive(Clone, Copy, Debug)]
pub(super) struct Layout {
    pub(super) workers: u32,
    pub(super) data_centres: u32,
    pub(super) workspaces: u32,
    pub(super) worker: Size,
    /// Accelerators of the whole fleet, eight to a worker that has some.
    pub(super) accelerators: u32,
    /// Urgent jobs a second.
    pub(super) urgent_rate: f64,
}

impl Layout {
    pub(super) fn new(shape: Shape) -> Self {
        match shape {
            Shape::Huallaga => Self::small(32_000),
            Shape::Rennes => Self::small(64_000),
            Shape::Target => Self {
                workers: 2_300,
                data_centres: 17,
                workspaces: 150,
                worker: Size::new(64_000, 262_144, 0),
                accelerators: 3_900,
                urgent_rate: 4.0,
            },
        }
    }

    /// Five services with 8 to 12 executors, and six workspaces.
    fn small(processors: u64) -> Self {
        Self {
            workers: 48,
            data_centres: 3,
            workspaces: 6,
            worker: Size::new(processors, 131_072, 0),
            accelerators: 0,
            urgent_rate: 0.5,
        }
    }

    pub(super) fn scheduler(&self, tuning: Tuning) -> Scheduler {
        let mut scheduler = Scheduler::new(tuning);
        let mut left = u64::from(self.accelerators);
        for index in 0..self.workers {
            let rack = index / RACK;
            let mut capacity = self.worker;
            // Whole racks with accelerators, spread over the data centres: about every fifth.
            if left > 0 && (rack / self.data_centres).is_multiple_of(4) {
                capacity.accelerators = left.min(8);
                left -= capacity.accelerators;
            }
            let data_centre = DataCentreId(rack % self.data_centres);
            scheduler.add_worker(Worker::new(RackId(rack), data_centre, capacity));
        }
        debug_assert_eq!(left, 0, "all accelerators are placed");
        for workspace in 0..self.workspaces {
            scheduler.set_workspace(WorkspaceId(workspace), self.weight(workspace), 100_000);
        }
        scheduler
    }

    /// Weights 1 to 3 in turn.
    pub(super) fn weight(&self, workspace: u32) -> u32 {
        1 + workspace % 3
    }

    /// Every fifth workspace uses accelerators where there are some.
    pub(super) fn is_accelerated(&self, workspace: u32) -> bool {
        self.accelerators > 0 && workspace % 5 == 4
    }
}
