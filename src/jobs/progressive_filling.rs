/// Computes the max-min fair dominant share of each workspace by progressive filling.
///
/// All shares grow in proportion to the weights of the workspaces. The share of a workspace stops
/// growing when its demand is met or a resource that it uses is exhausted.
///
/// `demands` holds, for each workspace, its weight and the fraction of each resource that it asks
/// for.
///
/// ```
/// use coriandernotch::jobs::progressive_filling;
///
/// let shares = progressive_filling(&[(1.0, [0.1, 0.0, 0.0]), (1.0, [2.0, 0.0, 0.0]), (2.0, [2.0, 0.0, 0.0])]);
/// for (share, expected) in shares.iter().zip([0.1, 0.3, 0.6]) {
///     assert!((share - expected).abs() < 1e-6);
/// }
/// ```
pub fn progressive_filling(demands: &[(f64, [f64; 3])]) -> Vec<f64> {
    let dominant_demands: Vec<f64> = demands
        .iter()
        .map(|(_, d)| d.iter().copied().fold(0.0, f64::max))
        .collect();
    let mut fixed_shares: Vec<Option<f64>> = dominant_demands
        .iter()
        .map(|d| (*d == 0.0).then_some(0.0))
        .collect();
    let share_at = |fixed_shares: &[Option<f64>], level: f64, i: usize| {
        fixed_shares[i].unwrap_or_else(|| (level * demands[i].0).min(dominant_demands[i]))
    };
    let usage_at = |fixed_shares: &[Option<f64>], level: f64| {
        let mut usage = [0.0; 3];
        for (i, (_, demand)) in demands
            .iter()
            .enumerate()
            .filter(|(i, _)| dominant_demands[*i] > 0.0)
        {
            let fraction = share_at(fixed_shares, level, i) / dominant_demands[i];
            for (total, d) in usage.iter_mut().zip(demand) {
                *total += fraction * d;
            }
        }
        usage
    };
    // Each round exhausts at least one of the three resources, so three rounds fix every share.
    for _ in 0..3 {
        let (mut low, mut high) = (0.0, 1.0);
        let all_met_at = |level: f64| {
            (0..demands.len())
                .all(|i| fixed_shares[i].is_some() || level * demands[i].0 >= dominant_demands[i])
        };
        while !all_met_at(high) && high < 1e9 {
            high *= 2.0;
        }
        for _ in 0..48 {
            let middle = (low + high) / 2.0;
            if usage_at(&fixed_shares, middle)
                .iter()
                .all(|x| *x <= 1.0 + 1e-9)
            {
                low = middle;
            } else {
                high = middle;
            }
        }
        let exhausted = usage_at(&fixed_shares, low).map(|x| x > 1.0 - 1e-6);
        let updated: Vec<_> = (0..demands.len())
            .map(|i| {
                let uses_exhausted = demands[i]
                    .1
                    .iter()
                    .zip(exhausted)
                    .any(|(d, is_exhausted)| is_exhausted && *d > 0.0);
                let is_met = low * demands[i].0 >= dominant_demands[i];
                fixed_shares[i]
                    .or_else(|| (uses_exhausted || is_met).then(|| share_at(&fixed_shares, low, i)))
            })
            .collect();
        fixed_shares = updated;
        if fixed_shares.iter().all(Option::is_some) {
            break;
        }
    }
    fixed_shares
        .into_iter()
        .map(|share| share.unwrap_or(0.0))
        .collect()
}
