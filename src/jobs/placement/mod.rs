mod choose;

use super::data_centre::DataCentre;
use super::rack::Rack;
use super::{RackId, Size, Standing, Worker, WorkerId};
use crate::collections::Map;
use crate::fleet::{DataCentreId, WorkspaceId};

/// The workers and their reservations, and the choice of a worker for a job.
///
/// Each rack and each data centre keeps the largest offer of any of its workers for each resource,
/// so a search skips whole racks and data centres without room. A worker that may not get jobs
/// offers nothing.
#[derive(Debug, Default)]
pub struct Placement {
    workers: Vec<Worker>,
    /// Workers with accelerators.
    accelerator_workers: Vec<WorkerId>,
    racks: Vec<Rack>,
    data_centres: Vec<DataCentre>,
    /// Capacity of the open workers, see [`Placement::is_open`].
    open: Size,
    /// Resources reserved on the open workers.
    used: Size,
    /// Number of workers of each capacity, open or not.
    capacities: Map<Size, u32>,
    jobs_per_rack: Map<(WorkspaceId, RackId), u32>,
    jobs_per_data_centre: Map<(WorkspaceId, DataCentreId), u32>,
}

impl Placement {
    /// Adds a worker. A rack belongs to the data centre of the first worker that is added to it.
    ///
    /// ```
    /// use coriandernotch::fleet::{DataCentreId, WorkspaceId};
    /// use coriandernotch::jobs::{Placement, Policy, RackId, Size, Worker};
    ///
    /// let mut placement = Placement::default();
    /// let id = placement.add(Worker::new(RackId(0), DataCentreId(0), Size::new(8_000, 4_096, 0)));
    /// let size = Size::new(1_000, 512, 0);
    /// assert_eq!(placement.choose(WorkspaceId(0), size, &[], Policy::Learned), Some(id));
    /// placement.set_out_of_service(DataCentreId(0), true);
    /// assert_eq!(placement.choose(WorkspaceId(0), size, &[], Policy::Learned), None);
    /// ```
    pub fn add(&mut self, worker: Worker) -> WorkerId {
        let id = WorkerId(u32::try_from(self.workers.len()).expect("fewer than 2^32 workers"));
        ensure_index(&mut self.racks, worker.rack.index());
        ensure_index(&mut self.data_centres, worker.data_centre.index());
        let rack = &mut self.racks[worker.rack.index()];
        let data_centre = &mut self.data_centres[worker.data_centre.index()];
        if rack.workers.is_empty() {
            data_centre.racks.push(worker.rack);
        }
        rack.workers.push(id);
        data_centre.capacity = data_centre.capacity + worker.capacity;
        *self.capacities.entry(worker.capacity).or_default() += 1;
        if worker.capacity.accelerators > 0 {
            self.accelerator_workers.push(id);
        }
        self.workers.push(worker);
        if !self.data_centres[worker.data_centre.index()].out && worker.standing == Standing::Good {
            self.open = self.open + worker.capacity;
            self.used = self.used + worker.reserved;
        }
        self.refresh_rack(id);
        id
    }

    /// Returns a worker.
    pub fn worker(&self, id: WorkerId) -> &Worker {
        &self.workers[id.index()]
    }

    /// Returns all workers with their ids.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerId, &Worker)> {
        (0..).map(WorkerId).zip(&self.workers)
    }

    /// Returns the capacity of the open workers, see [`is_open`](Self::is_open).
    pub fn open_capacity(&self) -> Size {
        self.open
    }

    /// Returns the resources reserved on the open workers.
    pub fn reserved(&self) -> Size {
        self.used
    }

    /// Returns whether any worker, open or not, has a capacity of at least `size`.
    pub fn can_ever_fit(&self, size: Size) -> bool {
        self.capacities.keys().any(|c| c.covers(size))
    }

    /// Returns the largest capacity for each resource over all workers with at least
    /// `accelerators` accelerators.
    pub fn largest_capacity(&self, accelerators: u64) -> Size {
        let usable = self
            .capacities
            .keys()
            .filter(|c| c.accelerators >= accelerators);
        usable.fold(Size::ZERO, |a, c| a.max(*c))
    }

    /// Returns whether a data centre is out of service, as an unknown one is.
    pub fn is_out_of_service(&self, id: DataCentreId) -> bool {
        self.data_centres.get(id.index()).is_none_or(|dc| dc.out)
    }

    /// Takes a data centre out of service or back into service.
    pub fn set_out_of_service(&mut self, id: DataCentreId, out: bool) {
        ensure_index(&mut self.data_centres, id.index());
        if self.data_centres[id.index()].out == out {
            return;
        }
        for worker in self.workers_in(id) {
            self.update_totals(worker, false);
        }
        self.data_centres[id.index()].out = out;
        for worker in self.workers_in(id) {
            self.update_totals(worker, true);
        }
        self.refresh_data_centre(id);
    }

    /// Sets the standing of a worker.
    pub fn set_standing(&mut self, id: WorkerId, standing: Standing) {
        self.update_totals(id, false);
        self.workers[id.index()].standing = standing;
        self.update_totals(id, true);
        self.refresh_rack(id);
    }

    /// Sets whether the free resources of a worker are set aside for one job. While they are,
    /// [`choose`](Self::choose) does not return the worker.
    pub fn set_earmarked(&mut self, id: WorkerId, earmarked: bool) {
        self.workers[id.index()].earmarked = earmarked;
        self.refresh_rack(id);
    }

    /// Returns whether a worker is open: in good standing in a data centre that is in service.
    pub fn is_open(&self, id: WorkerId) -> bool {
        let worker = self.worker(id);
        worker.standing == Standing::Good && !self.is_out_of_service(worker.data_centre)
    }

    /// Reserves resources for a job of `workspace`.
    pub fn reserve(&mut self, id: WorkerId, workspace: WorkspaceId, size: Size) {
        let worker = &mut self.workers[id.index()];
        worker.job_count += 1;
        let (rack, data_centre) = (worker.rack, worker.data_centre);
        *self.jobs_per_rack.entry((workspace, rack)).or_default() += 1;
        *self
            .jobs_per_data_centre
            .entry((workspace, data_centre))
            .or_default() += 1;
        self.resize(id, Size::ZERO, size);
    }

    /// Releases the resources reserved for a job of `workspace`.
    pub fn release(&mut self, id: WorkerId, workspace: WorkspaceId, size: Size) {
        let worker = &mut self.workers[id.index()];
        worker.job_count = worker.job_count.saturating_sub(1);
        let (rack, data_centre) = (worker.rack, worker.data_centre);
        decrement(&mut self.jobs_per_rack, (workspace, rack));
        decrement(&mut self.jobs_per_data_centre, (workspace, data_centre));
        self.resize(id, size, Size::ZERO);
    }

    /// Replaces the reservation `old` of a job by `new`.
    pub fn resize(&mut self, id: WorkerId, old: Size, new: Size) {
        let open = self.is_open(id);
        let worker = &mut self.workers[id.index()];
        worker.reserved = worker.reserved - old + new;
        if open {
            self.used = self.used - old + new;
        }
        self.refresh_rack(id);
    }

    /// Returns the memory used in bytes, by workers and indexes.
    pub fn footprint(&self) -> usize {
        let racks: usize = self.racks.iter().map(|r| r.workers.capacity() * 4).sum();
        let data_centres: usize = self
            .data_centres
            .iter()
            .map(|dc| dc.racks.capacity() * 4)
            .sum();
        self.workers.capacity() * size_of::<Worker>()
            + self.racks.capacity() * size_of::<Rack>()
            + self.data_centres.capacity() * size_of::<DataCentre>()
            + (self.jobs_per_rack.capacity() + self.jobs_per_data_centre.capacity()) * 16
            + racks
            + data_centres
    }

    fn workers_in(&self, id: DataCentreId) -> Vec<WorkerId> {
        let racks = self.data_centres[id.index()].racks.iter();
        racks
            .flat_map(|r| self.racks[r.index()].workers.iter().copied())
            .collect()
    }

    /// Adds an open worker to the totals over open workers, or subtracts it.
    fn update_totals(&mut self, id: WorkerId, add: bool) {
        if !self.is_open(id) {
            return;
        }
        let worker = self.workers[id.index()];
        (self.open, self.used) = if add {
            (self.open + worker.capacity, self.used + worker.reserved)
        } else {
            (self.open - worker.capacity, self.used - worker.reserved)
        };
    }

    /// Recomputes the largest offer of the rack of a worker.
    fn refresh_rack(&mut self, id: WorkerId) {
        let Worker {
            rack, data_centre, ..
        } = self.workers[id.index()];
        let rack = &mut self.racks[rack.index()];
        let offers = rack.workers.iter().map(|w| self.workers[w.index()].offer());
        let largest_offer = offers.fold(Size::ZERO, Size::max);
        if largest_offer != rack.largest_offer {
            rack.largest_offer = largest_offer;
            self.refresh_data_centre(data_centre);
        }
    }

    /// Recomputes the largest offer of a data centre.
    fn refresh_data_centre(&mut self, id: DataCentreId) {
        let data_centre = &mut self.data_centres[id.index()];
        data_centre.largest_offer = if data_centre.out {
            Size::ZERO
        } else {
            let racks = data_centre
                .racks
                .iter()
                .map(|r| self.racks[r.index()].largest_offer);
            racks.fold(Size::ZERO, Size::max)
        };
    }
}

fn ensure_index<T: Clone + Default>(entries: &mut Vec<T>, index: usize) {
    if entries.len() <= index {
        entries.resize(index + 1, T::default());
    }
}

fn decrement<K: std::hash::Hash + Eq>(counts: &mut Map<K, u32>, key: K) {
    if let std::collections::hash_map::Entry::Occupied(mut entry) = counts.entry(key) {
        *entry.get_mut() -= 1;
        if *entry.get() == 0 {
            entry.remove();
        }
    }
}
