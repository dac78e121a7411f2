//! Propagation of VM state reports along the distribution tree.

use super::Spread;
use super::limits::{ANNOUNCE_RANDOM_PEERS, MAX_REPORTS_ACCEPTED, REPORT_BATCH_DELAY};
use super::message::{PeerMsg, StateReport};
use super::port::{Output, Peer};
use super::topology;
use crate::Time;

/// State reports waiting to be sent to neighbors in one batch.
#[derive(Debug, Default)]
pub struct PendingReports {
    reports: Vec<StateReport>,
    send_at: Option<Time>,
}

impl PendingReports {
    /// When the pending reports will be sent.
    pub fn next_send(&self) -> Option<Time> {
        self.send_at
    }

    fn push(&mut self, now: Time, report: StateReport) {
        self.reports.retain(|pending| pending.vm != report.vm);
        self.reports.push(report);
        self.send_at.get_or_insert(now + REPORT_BATCH_DELAY);
    }
}

impl Spread {
    /// Handles a state report. `direct` means that it was received from the node that it describes.
    /// Only reports that change the known state are forwarded, so that a report crosses each link
    /// at most once.
    pub(super) fn handle_state_report(&mut self, now: Time, report: &StateReport, direct: bool) {
        if report.vm == self.cfg.vm {
            return self.supersede_own_report(now, report);
        }
        if self.members.apply_report(now, report, direct) {
            self.invalidate_topology();
            self.pending_reports.push(now, report.clone());
        }
    }

    /// Raises the incarnation of this node above that of a report about an earlier process. Its clock
    /// may have been set back since, and peers ignore reports with a lower incarnation.
    fn supersede_own_report(&mut self, now: Time, earlier: &StateReport) {
        if !earlier.supersedes(&self.own_report) {
            return;
        }
        let Some(incarnation) = earlier.incarnation.checked_add(1) else { return };
        self.own_report.incarnation = incarnation;
        self.pending_reports.push(now, self.own_report.clone());
    }

    pub(super) fn handle_state_reports(&mut self, now: Time, reports: &[StateReport]) {
        for report in reports.iter().take(MAX_REPORTS_ACCEPTED) {
            self.handle_state_report(now, report, false);
        }
    }

    /// Announces the node's own state to its neighbors and to random members of its zone.
    pub(super) fn announce(&mut self, now: Time, out: &mut Vec<Output>) {
        let (own, zone) = (self.cfg.vm.clone(), self.cfg.place.zone.clone());
        let report = self.own_report.clone();
        for _ in 0..ANNOUNCE_RANDOM_PEERS {
            let member = self.members.random_live(now, &zone, &own, &mut self.rng);
            if let Some(peer) = member.map(topology::peer) {
                self.send(&peer, PeerMsg::StateReports(vec![report.clone()]), out);
            }
        }
        self.pending_reports.push(now, report);
        self.pending_reports.send_at = Some(now);
    }

    pub(super) fn tick_state_reports(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.pending_reports.send_at.is_none_or(|at| now < at) {
            return;
        }
        self.pending_reports.send_at = None;
        let reports = std::mem::take(&mut self.pending_reports.reports);
        let mut recipients: Vec<Peer> = self.children.live(now).cloned().collect();
        recipients.extend(self.attach.parent().cloned());
        for peer in recipients {
            self.send(&peer, PeerMsg::StateReports(reports.clone()), out);
        }
    }
}
