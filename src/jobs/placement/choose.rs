use super::Placement;
use crate::fleet::{DataCentreId, WorkspaceId};
use crate::jobs::data_centre::DataCentre;
use crate::jobs::{Policy, Size, WorkerId};

/// Maximum number of data centres with room that are compared for a job without accelerators. For
/// a job with accelerators all are compared, because accelerators left scattered over workers cost
/// checkpoints later.
const MAX_COMPARED_DATA_CENTRES: usize = 3;

/// Choice of a worker.
impl Placement {
    /// Returns up to `limit` workers on which room for a job with accelerators can be made, in no
    /// particular order: those that lack the fewest accelerators.
    pub fn accelerator_candidates(&self, size: Size, limit: usize) -> Vec<WorkerId> {
        let workers = self
            .accelerator_workers
            .iter()
            .map(|id| (*id, self.worker(*id)));
        let usable =
            workers.filter(|(id, w)| w.capacity.covers(size) && !w.earmarked && self.is_open(*id));
        let mut found: Vec<_> = usable
            .map(|(id, w)| (size.accelerators.saturating_sub(w.free().accelerators), id))
            .collect();
        if found.len() > limit {
            found.select_nth_unstable(limit);
            found.truncate(limit);
        }
        found.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns a worker with room for a job of `workspace`, or `None`. Workers in `avoid` are not
    /// considered.
    pub fn choose(
        &self,
        workspace: WorkspaceId,
        size: Size,
        avoid: &[WorkerId],
        policy: Policy,
    ) -> Option<WorkerId> {
        match policy {
            Policy::FirstFit => self
                .data_centres
                .iter()
                .filter(|dc| dc.largest_offer.covers(size))
                .find_map(|dc| self.candidates(dc, size, avoid).next()),
            Policy::Fair | Policy::Learned => self.best_worker(workspace, size, avoid),
        }
    }

    /// Compares the data centres with room, fewest jobs of the workspace per processor first, and
    /// returns the worker with the lowest cost.
    fn best_worker(
        &self,
        workspace: WorkspaceId,
        size: Size,
        avoid: &[WorkerId],
    ) -> Option<WorkerId> {
        let mut data_centres: Vec<(f64, usize)> = self
            .data_centres
            .iter()
            .enumerate()
            .filter(|(_, dc)| dc.largest_offer.covers(size))
            .map(|(i, dc)| {
                let id = DataCentreId(u32::try_from(i).unwrap_or(u32::MAX));
                let jobs = self
                    .jobs_per_data_centre
                    .get(&(workspace, id))
                    .copied()
                    .unwrap_or(0);
                (f64::from(jobs) / dc.capacity.processors as f64, i)
            })
            .collect();
        data_centres.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let mut best = None;
        let mut compared = 0;
        for (_, index) in data_centres {
            let data_centre = &self.data_centres[index];
            let found = self
                .candidates(data_centre, size, avoid)
                .map(|id| (self.cost(workspace, id, size), id))
                .min();
            if let Some((cost, id)) = found {
                // An earlier data centre has fewer jobs of the workspace, so it is preferred
                // unless a later one leaves fewer accelerators stranded.
                if best.is_none_or(|((stranded, _, _), _)| cost.0 < stranded) {
                    best = Some((cost, id));
                }
                compared += 1;
                if size.accelerators == 0 && (compared == MAX_COMPARED_DATA_CENTRES || cost.0 == 0)
                {
                    break;
                }
            }
        }
        best.map(|(_, id)| id)
    }

    /// Cost of placing a job on a worker, compared in this order: accelerators left unused, jobs
    /// of the workspace on the rack, processors left free.
    fn cost(&self, workspace: WorkspaceId, id: WorkerId, size: Size) -> (u64, u32, u64) {
        let worker = self.worker(id);
        let stranded = if size.accelerators == 0 {
            worker.free().accelerators
        } else {
            worker.free().accelerators - size.accelerators
        };
        let jobs = self
            .jobs_per_rack
            .get(&(workspace, worker.rack))
            .copied()
            .unwrap_or(0);
        // Job counts of racks are compared in steps of four. Otherwise the free processors, and so
        // tight packing, would hardly ever decide.
        (
            stranded,
            jobs / 4,
            worker.free().processors - size.processors,
        )
    }

    /// Returns the workers of a data centre with room for `size`, without those in `avoid`.
    fn candidates<'a>(
        &'a self,
        data_centre: &'a DataCentre,
        size: Size,
        avoid: &'a [WorkerId],
    ) -> impl Iterator<Item = WorkerId> + 'a {
        data_centre
            .racks
            .iter()
            .map(|r| &self.racks[r.index()])
            .filter(move |r| r.largest_offer.covers(size))
            .flat_map(|r| r.workers.iter().copied())
            .filter(move |w| self.worker(*w).offer().covers(size) && !avoid.contains(w))
    }
}
