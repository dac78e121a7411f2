//! Responses of the platform with a status that HTTP does not have, sent to real processes.

#[path = "support/processes.rs"]
mod processes;

use processes::{MockPlatform, ResponseMode, all_have_version, start_fleet, wait_for};

/// Guards against a version that comes into force although the platform sent it in a response with a
/// status that HTTP does not have, like 000, and against one that such responses withdraw.
#[test]
fn status_000_of_platform() {
    let platform = MockPlatform::new();
    let (_, nodes) = start_fleet(0, &platform);
    let lines = ["HTTP/1.1 000 X", "HTTP/1.0 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X"];
    for (version, line) in (1..).zip(lines) {
        platform.set_response_mode(ResponseMode::StatusLine(line));
        platform.publish(version + 1);
        let calls = platform.calls();
        wait_for("more calls to the platform", || platform.calls() >= calls + 4);
        assert!(all_have_version(&nodes, version), "{line} changed the version");
        platform.set_response_mode(ResponseMode::Normal);
        wait_for("the next version in force", || all_have_version(&nodes, version + 1));
    }
}
