//! Output of results as tables, and as one line of JSON.

use super::run::{Comparison, Outcome};

/// Prints convergence times, load of nodes and platform, and recovery from disruptions.
pub fn convergence(comparisons: &[Comparison]) {
    println!("Convergence time in ms, and load of nodes and platform:");
    println!(
        "{:>6} {:>6} {:>9} {:>9} {:>9} {:>7} {:>9} {:>9} {:>8} {:>9} {:>8}",
        "nodes",
        "",
        "p50",
        "p99",
        "max",
        "behind",
        "B/node/s",
        "msg/node",
        "calls/s",
        "cpu us/s",
        "KB/node"
    );
    for comparison in comparisons {
        convergence_row(comparison.nodes, "ours", &comparison.fleet);
        convergence_row(comparison.nodes, "naive", &comparison.baseline);
    }
    roles(comparisons);
    disruptions(comparisons);
}

fn roles(comparisons: &[Comparison]) {
    println!("\nOurs by role, per node and second:");
    println!(
        "{:>6} {:>14} {:>6} {:>9} {:>9} {:>11} {:>9} {:>11}",
        "nodes", "role", "count", "B sent", "B recv", "busiest B", "messages", "busy us"
    );
    for comparison in comparisons {
        for r in &comparison.fleet.figures.roles {
            println!(
                "{:>6} {:>14} {:>6} {:>9.0} {:>9.0} {:>11.0} {:>9.2} {:>11.1}",
                comparison.nodes,
                format!("{:?}", r.role),
                r.nodes,
                r.sent_s,
                r.received_s,
                r.max_bytes_s,
                r.messages_s,
                r.state_machine_us_s,
            );
        }
    }
}

fn convergence_row(nodes: usize, system: &str, outcome: &Outcome) {
    let f = &outcome.figures;
    println!(
        "{nodes:>6} {system:>6} {:>9.1} {:>9.1} {:>9.1} {:>7} {:>9.0} {:>9.2} {:>8.1} {:>9.0} {:>8.0}",
        f.p50_ms,
        f.p99_ms,
        f.max_ms,
        f.behind,
        f.bytes_per_node_s,
        f.messages_per_node_s,
        f.platform_calls_per_s,
        f.cpu_us_per_node_s,
        f.kb_per_node,
    );
}

fn disruptions(comparisons: &[Comparison]) {
    println!(
        "\nDisruptions: ms from repair or restart until the newest version is in force everywhere:"
    );
    println!(
        "{:>6} {:>6} {:>11} {:>11} {:>7} {:>10} {:>10} {:>14}",
        "nodes", "", "disruption", "recovered", "behind", "peak calls", "over limit", "B across"
    );
    for comparison in comparisons {
        disruption_rows(comparison.nodes, "ours", &comparison.fleet);
        disruption_rows(comparison.nodes, "naive", &comparison.baseline);
    }
}

fn disruption_rows(nodes: usize, system: &str, outcome: &Outcome) {
    let started = outcome.started_ms.map_or("never".to_owned(), |ms| format!("{ms:.0}"));
    let peak = outcome.start_calls_peak;
    println!("{nodes:>6} {system:>6} {:>11} {started:>11} {:>7} {peak:>10}", "first start", "");
    for s in &outcome.disruptions {
        let recovered = s.recovered_ms.map_or("never".to_owned(), |ms| format!("{ms:.0}"));
        println!(
            "{nodes:>6} {system:>6} {:>11} {recovered:>11} {:>7} {:>10} {:>10} {:>14}",
            s.disruption,
            s.behind,
            s.platform_calls_peak,
            s.platform_over_limit,
            s.cross_region_bytes
        );
    }
}

/// Prints control traffic by link class, and between regions relative to the lower bound.
pub fn bytes(comparisons: &[Comparison]) {
    println!("Control bytes per node and second, by link class:");
    println!(
        "{:>6} {:>6} {:>10} {:>10} {:>10} {:>10} {:>16} {:>12} {:>12}",
        "nodes",
        "",
        "all",
        "zone",
        "region",
        "across",
        "across/version",
        "x smallest",
        "naive/ours"
    );
    for c in comparisons {
        let (fleet, baseline) = (&c.fleet.figures, &c.baseline.figures);
        let reduction =
            baseline.cross_region_bytes_per_version / fleet.cross_region_bytes_per_version;
        bytes_row(c.nodes, "ours", &c.fleet, Some(reduction));
        bytes_row(c.nodes, "naive", &c.baseline, None);
    }
    kinds(comparisons);
    disruptions(comparisons);
}

fn kinds(comparisons: &[Comparison]) {
    println!("\nOurs between regions by message kind, in bytes/s for the whole fleet:");
    for comparison in comparisons {
        let kinds = comparison.fleet.figures.cross_region_kinds.iter();
        let kinds: Vec<String> = kinds.map(|(kind, rate)| format!("{kind} {rate:.0}")).collect();
        println!("{:>6} {}", comparison.nodes, kinds.join(", "));
    }
}

fn bytes_row(nodes: usize, system: &str, outcome: &Outcome, reduction: Option<f64>) {
    let f = &outcome.figures;
    let reduction = reduction.map_or(String::new(), |reduction| format!("{reduction:.1}"));
    println!(
        "{nodes:>6} {system:>6} {:>10.1} {:>10.1} {:>10.1} {:>10.1} {:>14.0} {:>14.0} {:>12.2} {reduction:>12}",
        f.bytes_per_node_s,
        f.zone_bytes_per_node_s,
        f.region_bytes_per_node_s,
        f.cross_region_bytes_per_node_s,
        f.cross_region_bytes_per_version,
        f.cross_region_version_bytes,
        outcome.version_bytes_to_min,
    );
}

/// Prints the results as one line of JSON.
pub fn json(comparisons: &[Comparison]) {
    let line = serde_json::json!({ "sizes": comparisons });
    println!("{line}");
}
