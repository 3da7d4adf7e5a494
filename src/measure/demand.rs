use super::layout::Layout;
use crate::fleet::WorkspaceId;
use crate::jobs::{KindId, Size, Spec};
use crate::random::Random;

/// Kinds of job per workspace.
const KINDS: u32 = 4;

/// Seconds in which every workspace bursts once.
const CYCLE: f64 = 120.0;

/// A burst of five times the mean, then a lull of a twentieth, in seconds; from the first users.
const BURST: f64 = 8.0;
const LULL: f64 = 24.0;

/// A job as it arrives, with what its caller does not know.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub(super) spec: Spec,
    /// What it will use.
    pub(super) used: Size,
    /// Seconds of work at full speed.
    pub(super) work: f64,
    /// Fails wherever it runs.
    pub(super) bad: bool,
}

/// Arrivals of jobs over time.
#[derive(Debug)]
pub(super) struct Demand {
    layout: Layout,
    random: Random,
    kinds: Vec<Kind>,
    /// Jobs a second per workspace at its mean.
    rates: Vec<f64>,
}

#[derive(Clone, Copy, Debug)]
struct Kind {
    used: Size,
    /// Declared size over used size.
    factor: f64,
    work: f64,
}

impl Demand {
    pub(super) fn new(layout: Layout, seed: u64) -> Self {
        let mut random = Random::new(seed);
        let kinds: Vec<_> = (0..layout.workspaces * KINDS)
            .map(|k| Kind::draw(&layout, layout.is_accelerated(k / KINDS), &mut random))
            .collect();
        let weights: u32 = (0..layout.workspaces).map(|t| layout.weight(t)).sum();
        let accelerated = (0..layout.workspaces).filter(|t| layout.is_accelerated(*t));
        let accelerated: u32 = accelerated.map(|t| layout.weight(t)).sum();
        let rates = (0..layout.workspaces).map(|workspace| {
            let own = &kinds[(workspace * KINDS) as usize..][..KINDS as usize];
            let mean = |f: fn(&Kind) -> f64| own.iter().map(f).sum::<f64>() / f64::from(KINDS);
            let weight = f64::from(layout.weight(workspace));
            // Two workspaces of three want more than their share at the mean, the third about half.
            let pressure = if workspace % 3 == 1 { 0.5 } else { 1.4 };
            let jobs = if layout.is_accelerated(workspace) {
                let each = mean(|k| k.used.accelerators as f64 * k.work);
                f64::from(layout.accelerators) * weight / f64::from(accelerated) / each
            } else {
                let each = mean(|k| k.used.processors as f64 * k.work);
                let fleet = layout.worker.processors as f64 * f64::from(layout.workers);
                fleet * weight / f64::from(weights) / each
            };
            jobs * pressure
        });
        let rates = rates.collect();
        Self {
            layout,
            random,
            kinds,
            rates,
        }
    }

    /// Arrivals in the `step` seconds after `second`.
    pub(super) fn arrivals(&mut self, second: f64, step: f64) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for workspace in 0..self.layout.workspaces {
            let turn = CYCLE * f64::from(workspace) / f64::from(self.layout.workspaces);
            let phase = (second + CYCLE - turn) % CYCLE;
            let level = if phase < BURST {
                5.0
            } else if phase < BURST + LULL {
                0.05
            } else {
                1.0
            };
            let mean = self.rates[workspace as usize] * level * step;
            for _ in 0..self.random.poisson(mean) {
                arrivals.push(self.draw(workspace, false));
            }
        }
        for _ in 0..self.random.poisson(self.layout.urgent_rate * step) {
            let workspace = self.random.below(u64::from(self.layout.workspaces));
            arrivals.push(self.draw(u32::try_from(workspace).unwrap_or(0), true));
        }
        arrivals
    }

    fn draw(&mut self, workspace: u32, urgent: bool) -> Arrival {
        let random = &mut self.random;
        let kind = u32::try_from(random.below(u64::from(KINDS))).unwrap_or(0);
        let Kind { used, factor, work } = self.kinds[(workspace * KINDS + kind) as usize];
        let scale = |size: Size, by: f64| {
            Size::new(
                ((size.processors as f64 * by) as u64).max(1),
                ((size.memory as f64 * by) as u64).max(1),
                size.accelerators,
            )
        };
        let used = scale(used, random.uniform(0.9, 1.1));
        let declared = scale(used, factor);
        let spec = Spec {
            workspace: WorkspaceId(workspace),
            kind: KindId(kind),
            declared: declared.min(Size::new(
                self.layout.worker.processors,
                self.layout.worker.memory,
                u64::MAX,
            )),
            urgent,
            checkpoints: random.fraction() < 0.9,
        };
        Arrival {
            spec,
            used,
            work: if urgent {
                5.0
            } else {
                work * random.uniform(0.5, 1.5)
            },
            bad: !urgent && random.fraction() < 0.005,
        }
    }
}

impl Kind {
    fn draw(layout: &Layout, accelerated: bool, random: &mut Random) -> Self {
        let accelerators = if accelerated { 1 << random.below(4) } else { 0 };
        let processors = if accelerated {
            2_000 * accelerators
        } else {
            // 0.5 to 4 processors, an eighth of the smallest worker.
            (500.0 * 8.0_f64.powf(random.fraction())) as u64
        };
        let per_processor = layout.worker.memory as f64 / layout.worker.processors as f64;
        let memory = processors as f64 * per_processor * random.uniform(0.3, 0.9);
        Self {
            used: Size::new(processors, memory as u64, accelerators),
            factor: 10.0_f64.powf(random.uniform(-1.0, 1.0)),
            work: random.uniform(10.0, 40.0),
        }
    }
}
