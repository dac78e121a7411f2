//! What targets have stated in the responses that this node has received.

use super::Balancer;
use super::peer::Peer;
use crate::call::{StatedLimit, Statement, TargetProcess, TargetStatements};
use crate::config::Target;
use crate::{Name, Time};
use indexmap::IndexMap;

/// Maximum number of targets whose statements are kept.
const MAX_TARGETS: usize = 1_024;

impl TargetProcess {
    pub(super) fn of(peer: &Peer) -> TargetProcess {
        TargetProcess { incarnation: peer.incarnation.clone(), started_ms: peer.started_ms }
    }
}

/// Statements by target. Also kept while a target is not listed: its entry may return, and the
/// process that made the statements with it.
#[derive(Clone, Debug, Default)]
pub(super) struct StatedTargets {
    by_vm: IndexMap<Name, (TargetProcess, TargetStatements)>,
}

impl StatedTargets {
    pub(super) fn new() -> StatedTargets {
        StatedTargets::default()
    }

    /// Sets the process of a peer, and what this process has stated. A new process is not draining
    /// because its predecessor was.
    pub(super) fn apply_process(&self, peer: &mut Peer, target: &Target) {
        if TargetProcess::listed(target).differs_from(&TargetProcess::of(peer)) {
            peer.draining_until = Time::ZERO;
        }
        peer.incarnation = target.incarnation.clone();
        peer.started_ms = target.started_ms;
        let known = self.by_vm.get(&target.vm);
        let same = known.filter(|(process, _)| *process == TargetProcess::of(peer));
        peer.stated = same.map(|(_, stated)| *stated).unwrap_or_default();
    }

    fn record(&mut self, vm: &Name, process: &TargetProcess, stated: TargetStatements) {
        if stated == TargetStatements::default() {
            self.by_vm.shift_remove(vm);
            return;
        }
        if self.by_vm.len() >= MAX_TARGETS && !self.by_vm.contains_key(vm) {
            self.by_vm.shift_remove_index(0);
        }
        self.by_vm.insert(vm.clone(), (process.clone(), stated));
    }
}

impl Balancer {
    /// Whether the listed process of a target has stated that it is leaving.
    pub fn has_stated_leaving(&self, vm: &Name) -> bool {
        self.peers.get(vm).is_some_and(|peer| peer.stated.leaving)
    }

    /// Records what a target's process stated in a response. `answered` is false if the gatekeeper
    /// itself responded, which may not know the limit yet.
    pub fn record_statement(
        &mut self,
        now: Time,
        vm: &Name,
        process: &TargetProcess,
        answered: bool,
        statement: Statement,
    ) {
        let known = self.stated.by_vm.get(vm).filter(|(known, _)| known == process);
        let mut stated = known.map(|(_, stated)| *stated).unwrap_or_default();
        match statement.limit {
            StatedLimit::Limit(limit) => stated.limit = Some(limit),
            StatedLimit::Absent if answered => stated.limit = None,
            StatedLimit::Absent | StatedLimit::Unreadable => {}
        }
        match process.is_known() {
            true => stated.leaving |= statement.leaving,
            // The next process would be taken for this one, so the gatekeeper is asked again.
            false if statement.leaving => self.record_draining(now, vm),
            false => {}
        }
        if let Some(peer) = self.peers.get_mut(vm) {
            // An earlier process says nothing about the one that is listed now.
            if TargetProcess::of(peer) != *process {
                return;
            }
            peer.stated = stated;
        }
        self.stated.record(vm, process, stated);
    }
}
