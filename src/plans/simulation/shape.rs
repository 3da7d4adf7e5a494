use std::sync::Arc;

use crate::collections::Map;
use crate::fleet::{Budget, DataCentre, Direction, Document, Pool};
use crate::platform::{Instance, State};
use crate::random::Random;

/// Instances per rack.
const INSTANCES_PER_RACK: usize = 4;

/// Number of data centres of each region of the target fleet.
const DATA_CENTRES_BY_REGION: [usize; 7] = [3, 3, 3, 2, 2, 2, 2];

/// Number of instances and of pools of the target fleet, including the spare pool.
const TARGET_INSTANCES_AND_POOLS: (usize, usize) = (2300, 45);

/// Spare instances of the target fleet, about 6.5%, which cover the loss of a data centre.
const SPARE_INSTANCES: usize = 150;

/// Fleet to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Shape {
    /// Fleet of a user with three data centres, whose legacy systems are the spare pool.
    Huallaga,
    /// Fleet of a user with three data centres, whose internal tools are the spare pool.
    Rennes,
    /// Generated fleet of 2,300 workers in 45 pools and 17 data centres.
    Target,
}

impl Shape {
    /// Returns the document and the list of instances with their data centres and racks.
    ///
    /// ```
    /// use coriandernotch::plans::simulation::Shape;
    ///
    /// let (document, listing) = Shape::Target.build(1);
    /// assert_eq!((document.pools.len(), listing.len()), (45, 2300));
    /// ```
    pub fn build(self, seed: u64) -> (Document, Vec<Instance>) {
        let document = match self {
            Self::Huallaga => parse(include_str!("../../../examples/huallaga.jsonc")),
            Self::Rennes => parse(include_str!("../../../examples/rennes.jsonc")),
            Self::Target => target_document(seed),
        };
        let listing = list_instances(&document);
        (document, listing)
    }
}

fn parse(text: &str) -> Document {
    crate::fleet::parse("example", text).expect("the example document is valid")
}

/// Places every instance in the data centre that its name contains, and fills racks of four in the
/// order of the pools, so that a rack may hold the last instances of one pool and the first of the
/// next.
fn list_instances(document: &Document) -> Vec<Instance> {
    let mut instance_counts: Map<&str, usize> = Map::default();
    let names = document.pools.iter().flat_map(|pool| &pool.instances);
    names
        .map(|name| {
            let is_in_name = |d: &&DataCentre| name.contains(&format!("-{}-", d.name));
            let data_centre = document.data_centres.iter().find(is_in_name);
            let data_centre = &data_centre
                .expect("the instance name contains its data centre")
                .name;
            let count = instance_counts.entry(data_centre).or_default();
            *count += 1;
            Instance {
                name: name.clone(),
                address: ([127, 0, 0, 1], 1).into(),
                data_centre: data_centre.clone(),
                rack: format!("{data_centre}-{}", (*count - 1) / INSTANCES_PER_RACK).into(),
                incarnation: 0,
                state: State::Live,
            }
        })
        .collect()
}

/// Generates the target fleet: pools of 20 to about 80 workers, each in one region, whose budget is
/// an eighth of the pool and covers the loss of a rack.
fn target_document(seed: u64) -> Document {
    let mut random = Random::new(seed);
    let mut document = parse(
        r#"{"name": "target", "data-centres": [
        {"name": "d", "region": "r"}], "workspaces": [], "pools": []}"#,
    );
    document.data_centres.clear();
    for (region, count) in DATA_CENTRES_BY_REGION.iter().enumerate() {
        for number in 0..*count {
            document.data_centres.push(DataCentre {
                name: format!("r{region}d{number}").into(),
                region: format!("r{region}").into(),
                state: Direction::In,
            });
        }
    }
    let (instances, pools) = TARGET_INSTANCES_AND_POOLS;
    let mut remaining_instances = instances - SPARE_INSTANCES;
    for number in 0..pools - 1 {
        let remaining_pools = pools - 1 - number;
        let fair = remaining_instances / remaining_pools;
        // The last pool takes all remaining instances, so that the total is exact.
        let size = match remaining_pools {
            1 => remaining_instances,
            _ => random.between(20, (2 * fair - 20) as u64) as usize,
        };
        remaining_instances -= size;
        let region = format!("r{}", number % DATA_CENTRES_BY_REGION.len());
        let is_in_region = |d: &&DataCentre| *d.region == *region;
        let data_centres: Vec<_> = document
            .data_centres
            .iter()
            .filter(is_in_region)
            .cloned()
            .collect();
        let name = format!("p{number}");
        document
            .pools
            .push(build_pool(&name, size, &data_centres, false));
    }
    let data_centres = document.data_centres.clone();
    document
        .pools
        .push(build_pool("spare", SPARE_INSTANCES, &data_centres, true));
    document
}

/// Creates a pool whose instances are spread evenly over the data centres.
fn build_pool(name: &str, size: usize, data_centres: &[DataCentre], spare: bool) -> Pool {
    let instance = |i: usize| -> Arc<str> {
        let data_centre = &data_centres[i % data_centres.len()].name;
        format!("{name}-{data_centre}-{i}").into()
    };
    Pool {
        name: name.into(),
        size: size as u32,
        spare,
        budget: Budget {
            unavailable: (size / 8).max(INSTANCES_PER_RACK) as u32,
            rack: if spare { 0 } else { INSTANCES_PER_RACK as u32 },
        },
        instances: (0..size).map(instance).collect(),
    }
}
