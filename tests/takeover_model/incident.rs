use std::time::Duration;

use crate::action::{Action, Target};
use crate::fault::Fault;
use crate::random::Random;

/// Longest time from the loss of a worker until its registration expires, in milliseconds.
const MAX_EXPIRY_MS: u64 = 4_600;

/// Time for which the store is slow, longer than a resignation takes then.
const SLOW_TIME: Duration = Duration::from_millis(3_200);

/// Faults that coincide, with a change of leader among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Incident {
    /// Any faults, mostly about one worker.
    Mixed,
    /// The leader loses the store and some workers, the other instances lose the other workers.
    Partition,
    /// A worker does not answer the leader for a short time before the leader loses the store.
    Flicker,
    /// Registrations expire while the store is away.
    Expiry,
    /// A worker restarts under its id around a change of leader, some calls to it are lost.
    Restart,
    /// A new worker registers shortly before the leader cannot write, and its registration expires.
    Replacement,
    /// A third of the workers or more do not answer any instance around changes of leader.
    Silence,
    /// Workers are lost for good around one or two changes of leader.
    Loss,
    /// The store takes long for its answers while the leader resigns.
    SlowStore,
}

/// All kinds of incidents in which no worker is lost for good.
pub(crate) const INCIDENTS: [Incident; 6] = [
    Incident::Mixed,
    Incident::Partition,
    Incident::Flicker,
    Incident::Expiry,
    Incident::Restart,
    Incident::Replacement,
];

impl Incident {
    /// Returns the actions of an incident and their times from its begin.
    pub(crate) fn actions(self, workers: usize, random: &mut Random) -> Vec<(Duration, Action)> {
        match self {
            Self::Mixed => mixed(workers, random),
            Self::Partition => partition(workers, random),
            Self::Flicker => flicker(workers, random),
            Self::Expiry => expiry(workers, random),
            Self::Restart => restart(workers, random),
            Self::Replacement => replacement(workers, random),
            Self::Silence => silence(workers, random),
            Self::Loss => loss(workers, random),
            Self::SlowStore => slow_store(workers, random),
        }
    }
}

fn mixed(workers: usize, random: &mut Random) -> Vec<(Duration, Action)> {
    let focus = random.index(workers);
    let count = 1 + random.index(5);
    let mut actions: Vec<_> = (0..count)
        .map(|_| {
            let other = random.index(workers);
            let worker = if random.chance(70) { focus } else { other };
            (random.ms(0..3_000), any_action(worker, random))
        })
        .collect();
    actions.push((random.ms(0..9_000), any_change(random)));
    actions
}

fn partition(workers: usize, random: &mut Random) -> Vec<(Duration, Action)> {
    let lasts = random.ms(5_000..14_000);
    let mut actions = vec![(random.ms(0..500), lose_store(lasts, random))];
    for worker in 0..workers {
        let target = random.pick(&[Target::Leader, Target::Followers, Target::Followers]);
        let lost = lose_worker(target, worker, random.ms(4_000..16_000));
        actions.push((random.ms(0..1_500), lost));
    }
    if random.chance(30) {
        let restart = restart_worker(random.index(workers), random);
        actions.push((random.ms(1_000..10_000), restart));
    }
    if random.chance(40) {
        actions.push((random.ms(3_000..12_000), any_change(random)));
    }
    actions
}

fn flicker(workers: usize, random: &mut Random) -> Vec<(Duration, Action)> {
    let worker = random.index(workers);
    let short = lose_worker(Target::Leader, worker, random.ms(300..1_500));
    let long = lose_worker(Target::Followers, worker, random.ms(5_000..16_000));
    let lost = lose_store(random.ms(3_000..12_000), random);
    let mut actions = vec![
        (random.ms(0..500), short),
        (random.ms(800..2_500), lost),
        (random.ms(0..1_500), long),
    ];
    if random.chance(50) {
        actions.push((random.ms(2_000..9_000), any_change(random)));
    }
    actions
}

fn expiry(workers: usize, random: &mut Random) -> Vec<(Duration, Action)> {
    let outage = random.ms(1_000..9_000);
    let away = Action::DisturbStore {
        target: Target::All,
        fault: any_fault(random),
        percent: 100,
        spares_reads: random.chance(30),
        lasts: outage,
    };
    let mut actions = vec![(random.ms(0..1_000), away)];
    for worker in 0..workers {
        if random.chance(60) {
            let lasts = outage + random.ms(0..3_000);
            let expired = Action::ExpireRegistration { worker, lasts };
            actions.push((random.ms(0..2_000), expired));
        }
        if random.chance(30) {
            let lost = lose_worker(Target::All, worker, random.ms(1_000..9_000));
            actions.push((random.ms(0..2_000), lost));
        }
    }
    if random.chance(40) {
        let restart = restart_worker(random.index(workers), random);
        actions.push((random.ms(0..3_000), restart));
    }
    let change = any_change(random);
    actions.push((outage.mul_f64(0.8) + random.ms(0..1_500), change));
    actions
}

fn restart(workers: usize, random: &mut Random) -> Vec<(Duration, Action)> {
    let worker = random.index(workers);
    let mut actions = Vec::new();
    for _ in 0..1 + random.below(2) {
        let restart = Action::RestartWorker {
            worker,
            down: random.ms(10..1_500),
            keeps_id: random.chance(80),
            silent: false,
        };
        actions.push((random.ms(0..4_000), restart));
    }
    for _ in 0..random.below(3) {
        let disturbed = Action::DisturbWorker {
            target: random.pick(&[Target::Leader, Target::Followers, Target::All]),
            worker,
            fault: any_fault(random),
            percent: random.pick(&[50, 100]),
            lasts: random.ms(200..6_000),
        };
        actions.push((random.ms(0..4_000), disturbed));
    }
    actions.push((random.ms(0..5_000), any_change(random)));
    actions
}

fn replacement(workers: usize, random: &mut Random) -> Vec<(Duration, Action)> {
    let worker = random.index(workers);
    let down = random.ms(50..500);
    let replace = Action::replace_worker(worker, down);
    let lose_writes = Action::lose_writes_of_leader(random.ms(5_000..12_000));
    let expire = Action::ExpireRegistration {
        worker,
        lasts: random.ms(5_000..12_000),
    };
    vec![
        (Duration::ZERO, replace),
        (down + random.ms(0..150), lose_writes),
        (down + random.ms(400..1_400), expire),
    ]
}

fn silence(workers: usize, random: &mut Random) -> Vec<(Duration, Action)> {
    let count = workers.div_ceil(3) + random.index(workers / 3 + 1);
    let first = random.index(workers);
    let target = random.pick(&[Target::All, Target::All, Target::Leader, Target::Followers]);
    let lasts = random.ms(2_000..16_000);
    let fault = random.pick(&[Fault::Silent, Fault::Lost, Fault::Refused]);
    let mut actions: Vec<_> = (0..count)
        .map(|number| {
            let silent = Action::DisturbWorker {
                target,
                worker: (first + number) % workers,
                fault,
                percent: 100,
                lasts,
            };
            (random.ms(0..300), silent)
        })
        .collect();
    for _ in 0..1 + random.index(3) {
        let change = match random.below(3) {
            0 => Action::Transfer,
            _ => any_change(random),
        };
        actions.push((random.ms(0..9_000), change));
    }
    if random.chance(30) {
        actions.push((
            random.ms(0..6_000),
            lose_store(random.ms(300..6_000), random),
        ));
    }
    actions
}

fn loss(workers: usize, random: &mut Random) -> Vec<(Duration, Action)> {
    let mut actions = vec![(random.ms(0..5_000), any_change(random))];
    for _ in 0..1 + random.index(2) {
        let lost = Action::LoseWorker {
            worker: random.index(workers),
            listed_for: random.ms(0..2_500),
            registered_for: random.ms(1_800..MAX_EXPIRY_MS),
        };
        actions.push((random.ms(0..3_000), lost));
    }
    if random.chance(30) {
        actions.push((random.ms(1_000..6_000), any_change(random)));
    }
    if random.chance(30) {
        let unread = Action::DisturbMachineList {
            target: random.pick(&[Target::Leader, Target::Followers, Target::All]),
            fault: Fault::Refused,
            percent: random.pick(&[50, 100]),
            lasts: random.ms(500..6_000),
        };
        actions.push((random.ms(0..3_000), unread));
    }
    if random.chance(30) {
        let restart = restart_worker(random.index(workers), random);
        actions.push((random.ms(0..5_000), restart));
    }
    actions
}

fn slow_store(workers: usize, random: &mut Random) -> Vec<(Duration, Action)> {
    let slow = Action::DisturbStore {
        target: Target::All,
        fault: Fault::Slow(random.ms(20..500)),
        percent: 100,
        spares_reads: false,
        lasts: SLOW_TIME,
    };
    let change = match random.below(2) {
        0 => Action::Resign(random.ms(200..2_000)),
        _ => Action::Transfer,
    };
    let mut actions = vec![(Duration::ZERO, slow), (random.ms(300..2_000), change)];
    // The next leader hears workers far away later than others.
    for worker in 0..workers {
        if random.chance(50) {
            let far = Action::DisturbWorker {
                target: Target::All,
                worker,
                fault: Fault::Slow(random.ms(5..60)),
                percent: 100,
                lasts: 2 * SLOW_TIME,
            };
            actions.push((Duration::ZERO, far));
        }
    }
    actions
}

/// Returns an end of the present leadership. In the third case the leader runs on.
fn any_change(random: &mut Random) -> Action {
    let away = random.ms(200..4_000);
    match random.below(3) {
        0 => Action::Crash(away),
        1 => Action::Resign(away),
        _ => lose_store(random.ms(2_000..14_000), random),
    }
}

fn lose_store(lasts: Duration, random: &mut Random) -> Action {
    Action::DisturbStore {
        target: Target::Leader,
        fault: Fault::Silent,
        percent: 100,
        spares_reads: random.chance(50),
        lasts,
    }
}

fn lose_worker(target: Target, worker: usize, lasts: Duration) -> Action {
    Action::cut_off(worker, target, lasts)
}

fn restart_worker(worker: usize, random: &mut Random) -> Action {
    Action::RestartWorker {
        worker,
        down: random.ms(10..2_000),
        keeps_id: random.chance(50),
        silent: false,
    }
}

fn any_action(worker: usize, random: &mut Random) -> Action {
    let target = random.pick(&[Target::Leader, Target::Followers, Target::All]);
    match random.below(10) {
        0..=2 => Action::DisturbStore {
            target,
            fault: any_fault(random),
            percent: random.pick(&[30, 60, 100]),
            spares_reads: random.chance(50),
            lasts: random.ms(200..10_000),
        },
        3..=6 => Action::DisturbWorker {
            target,
            worker,
            fault: any_fault(random),
            percent: random.pick(&[30, 100, 100]),
            lasts: random.ms(50..12_000),
        },
        7 | 8 => Action::ExpireRegistration {
            worker,
            lasts: random.ms(200..9_000),
        },
        _ => restart_worker(worker, random),
    }
}

fn any_fault(random: &mut Random) -> Fault {
    match random.below(4) {
        0 => Fault::Refused,
        1 => Fault::Lost,
        2 => Fault::Late(random.ms(100..4_000)),
        _ => Fault::Silent,
    }
}
