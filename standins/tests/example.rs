//! Checks that the files under `examples/` match the output of `example-maker` and are valid.

use std::path::Path;
use sycamore_core::Code;
use sycamore_core::config::{InForce, Preset, Snapshot, validate};
use sycamore_core::hash::Hash;
use sycamore_standins::example::{COOPERATIVE, Deployment, FRANCHISE_OFFICE, files};

const DEPLOYMENTS: [Deployment; 2] = [FRANCHISE_OFFICE, COOPERATIVE];

fn text(deployment: &Deployment, path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    std::fs::read_to_string(root.join(deployment.name).join(path)).unwrap()
}

fn preset(deployment: &Deployment, path: &str) -> Preset {
    serde_json::from_str(&text(deployment, path)).unwrap()
}

#[test]
fn files_up_to_date() {
    for deployment in DEPLOYMENTS {
        for file in files(&deployment) {
            let found = text(&deployment, &file.path);
            assert_eq!(found, file.text, "run example-maker: {}", file.path);
        }
    }
}

#[test]
fn presets_valid_and_different() {
    for deployment in DEPLOYMENTS {
        let publication = text(&deployment, "published/in-force.json");
        let in_force = validate::parse_in_force(publication.as_bytes()).unwrap();
        let body = text(&deployment, "published/preset/ordinary.json");
        let ordinary = validate::parse_preset(body.as_bytes(), &in_force).unwrap();
        let peak = preset(&deployment, "published/preset/peak.json");
        let maintenance = preset(&deployment, "published/preset/maintenance.json");
        for preset in [&ordinary, &peak, &maintenance] {
            assert_eq!(validate::preset(preset), Ok(()));
        }
        for (a, b) in [(&ordinary, &peak), (&ordinary, &maintenance), (&peak, &maintenance)] {
            assert!(a.services.iter().all(|(name, service)| {
                service.limits != b.services[name].limits
                    && service.targets == b.services[name].targets
            }));
            assert!(a.routes.iter().all(|(name, route)| route != &b.routes[name]));
        }
    }
}

#[test]
fn presets_dangling_refused() {
    for deployment in DEPLOYMENTS {
        let body = text(&deployment, "refused/dangling.json");
        let preset = preset(&deployment, "refused/dangling.json");
        assert_eq!(validate::preset(&preset).map_err(|f| f.code), Err(Code::RouteDangling));
        let in_force =
            InForce { version: 2, preset: preset.name.clone(), digest: Hash::of(body.as_bytes()) };
        let snapshot = Snapshot::new(in_force, &preset);
        assert_eq!(snapshot.map_err(|f| f.code).err(), Some(Code::RouteDangling));
    }
}
