//! The faults of a trial, drawn from its seed.

use super::DEPLOYMENT;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Rounds of faults after the first.
const ROUNDS: usize = 4;
/// How long a round lasts. The longest exceed the deadline of most calls.
const MIN_ROUND: Duration = Duration::from_millis(500);
const MAX_ROUND: Duration = Duration::from_millis(2_500);
/// Most changes of the platform's values that a restored backup lacks.
const MAX_ROLLBACK_CHANGES: u64 = 4;

/// Something that goes wrong, or that operators do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A node is killed, and started again at the end of the round.
    Kill {
        /// Index of its VM.
        vm: usize,
        /// Whether its target crashes with it.
        target: bool,
    },
    /// A process stops running until the end of the round.
    Pause {
        /// Index of its VM.
        vm: usize,
    },
    /// A zone reaches no other zone.
    IsolateZone {
        /// Index of the zone.
        zone: usize,
    },
    /// A zone doesn't reach the platform.
    IsolateFromPlatform {
        /// Index of the zone.
        zone: usize,
    },
    /// The platform closes every connection.
    PlatformDown,
    /// The platform takes requests and never answers.
    PlatformUnresponsive,
    /// The platform answers what is no value.
    PlatformMalformed,
    /// The platform answers as it was so many changes ago.
    PlatformRollback {
        /// How many.
        changes: u64,
    },
    /// The platform's list calls a living VM gone.
    ListedAsGone {
        /// Index of the VM.
        vm: usize,
    },
    /// A valid version with another preset.
    Publish {
        /// Index of the preset.
        preset: usize,
    },
    /// A valid version that drops one target of each service, so that keys change their homes.
    DropZoneTargets {
        /// Index of the zone whose targets are dropped.
        zone: usize,
    },
    /// A version that no node may accept.
    PublishInvalid,
    /// Two operators publish different presets under the same version.
    PublishConflict,
    /// Two operators publish two versions, and the lower one arrives last.
    PublishOutOfOrder,
    /// A request that crashes each target that runs it, sent through every node.
    CrashingRequest,
    /// A planned stop of a node, restarted once it has ended.
    Drain {
        /// Index of its VM.
        vm: usize,
    },
}

/// Faults that begin and end together.
#[derive(Clone, Debug)]
pub struct Round {
    /// The faults.
    pub faults: Vec<Fault>,
    /// How long they last.
    pub span: Duration,
}

/// The rounds of a trial. The first is a planned stop alone, since a call that an earlier fault has
/// broken can't be told from one that the stop cut.
pub fn rounds(seed: u64) -> Vec<Round> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let drain = Fault::Drain { vm: rng.random_range(0..vms()) };
    let mut rounds = vec![Round { faults: vec![drain], span: MIN_ROUND }];
    for _ in 0..ROUNDS {
        let number = rng.random_range(2..=3);
        let faults = (0..number).map(|_| random_fault(&mut rng)).collect();
        rounds.push(Round { faults, span: rng.random_range(MIN_ROUND..MAX_ROUND) });
    }
    rounds
}

fn vms() -> usize {
    DEPLOYMENT.vms().len()
}

fn random_fault(rng: &mut Pcg64Mcg) -> Fault {
    let vm = rng.random_range(0..vms());
    let zone = rng.random_range(0..DEPLOYMENT.zones().len());
    let preset = rng.random_range(0..3);
    let changes = rng.random_range(0..=MAX_ROLLBACK_CHANGES);
    let all = [
        Fault::Kill { vm, target: false },
        Fault::Kill { vm, target: true },
        Fault::Pause { vm },
        Fault::IsolateZone { zone },
        Fault::IsolateFromPlatform { zone },
        Fault::PlatformDown,
        Fault::PlatformUnresponsive,
        Fault::PlatformMalformed,
        Fault::PlatformRollback { changes },
        Fault::ListedAsGone { vm },
        Fault::Publish { preset },
        Fault::Publish { preset },
        Fault::DropZoneTargets { zone },
        Fault::DropZoneTargets { zone },
        Fault::PublishInvalid,
        Fault::PublishConflict,
        Fault::PublishOutOfOrder,
        Fault::CrashingRequest,
    ];
    all.choose(rng).copied().unwrap_or(Fault::PublishInvalid)
}
