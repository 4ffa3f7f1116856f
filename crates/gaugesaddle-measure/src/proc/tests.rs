#[test]
fn cpu_time_grows_with_work_and_peak_memory_is_positive() {
    let before = super::own_cpu_seconds().unwrap();
    let mut x = 1u64;
    while super::own_cpu_seconds().unwrap() < before + 0.02 {
        x = x.wrapping_mul(3);
    }
    assert!(x > 0 && super::peak_kb(std::process::id()).unwrap() > 500);
}
