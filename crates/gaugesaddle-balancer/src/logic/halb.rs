//! HALB: the split of the traffic over kinds of backends.

/// HALB, the clamped M/G/1/PS optimum: the fraction of the traffic for each kind of (number of ready
/// backends, speed of one backend) at the arrival rate. All are zero if no backend is ready.
pub fn halb_fractions(kinds: &[(f64, f64)], rate: Option<f64>) -> Vec<f64> {
    let split = |on: &dyn Fn(&(f64, f64)) -> bool| -> Vec<f64> {
        let total: f64 = kinds.iter().filter(|k| on(k)).map(|k| k.0).sum();
        kinds.iter().map(|k| if on(k) && total > 0.0 { k.0 / total } else { 0.0 }).collect()
    };
    let Some(rate) = rate else { return split(&|_| true) }; // no rate yet: by ready backends
    let mut live = kinds.to_vec();
    loop {
        let (roots, speeds) = live.iter().fold((0.0, 0.0), |s, k| (s.0 + k.0 * k.1.sqrt(), s.1 + k.0 * k.1));
        if rate <= speeds * 1e-6 || speeds <= 0.0 {
            let best = live.iter().filter(|k| k.0 > 0.0).map(|k| k.1).fold(0.0, f64::max);
            return split(&|k| k.1 == best); // limit at rate 0: the fastest kind takes all traffic
        }
        let flow = |k: &(f64, f64)| k.0 * k.1 - k.0 * k.1.sqrt() * (speeds - rate) / roots;
        let flows: Vec<f64> = live.iter().map(flow).collect();
        if flows.iter().all(|f| *f >= 0.0) {
            return flows.iter().map(|f| f / rate).collect();
        }
        live.iter_mut().zip(&flows).filter(|(_, f)| **f <= 0.0).for_each(|(k, _)| k.0 = 0.0);
    }
}
