//! Version histories of simulated fleets with random faults. `SYCAMORE_SEEDS=7,8 cargo test` runs
//! other seeds; `sycamore-fleet history --seed 7 --seeds 1 --print` prints one.

use sycamore_bench::history::trial::{Trial, seeds};

fn assert_no_violations(trial: Trial) {
    let report = trial.run();
    let shown: Vec<String> = report.violations.iter().take(5).map(|v| v.to_string()).collect();
    assert!(shown.is_empty(), "{trial:?}: {}", shown.join("\n"));
}

#[test]
fn history_random_faults() {
    // Guards against version regressions, invalid or incomplete configurations and nodes that do
    // not converge after crashes, partitions, platform outages and conflicting publications.
    for seed in seeds(&[1, 2, 3, 4, 6, 7, 8, 9, 10, 11, 12, 13]) {
        assert_no_violations(Trial::new(seed));
    }
}

#[test]
fn history_zone_unlisted() {
    // Guards against nodes of a restarted zone that stay on an old version because the platform's
    // VM list still shows the whole zone as gone or leaving.
    for seed in seeds(&[5, 27, 31, 84, 146, 148, 180, 248, 263, 279]) {
        assert_no_violations(Trial::new(seed));
    }
}

#[test]
fn history_platform_drops_watch() {
    // Guards against readers that wait for the full watch duration after an outage in which the
    // platform lost their watches.
    for seed in seeds(&[61, 85, 153]) {
        assert_no_violations(Trial::new(seed));
    }
}

#[test]
fn history_list_says_leaving() {
    // Guards against a fleet without platform readers: while all VMs of a small zone are listed as
    // leaving or gone, no node considers itself a reader and new versions reach nobody.
    for seed in seeds(&[22, 37, 41, 57, 65, 76, 96, 122, 132, 196, 220, 225, 238, 241, 243, 256]) {
        assert_no_violations(Trial::new(seed));
    }
}

#[test]
fn history_restart_beside_bad_version() {
    // Guards against nodes that restart while the platform serves an invalid or older version and
    // then hold no version (seed 1062) or an older one than before (seeds 844 and 928).
    for seed in seeds(&[844, 928, 1062]) {
        assert_no_violations(Trial::new(seed));
    }
}

#[test]
fn trial_run_deterministic() {
    let (first, second) = (Trial::new(1).with_calls().run(), Trial::new(1).with_calls().run());
    assert_eq!(first.history, second.history);
    assert_eq!(first.calls, second.calls);
}
