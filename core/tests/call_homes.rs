//! Homes of keys: a request that may run only once runs once, whatever versions, restarts and
//! lost notes do.

#[path = "support/snapshot.rs"]
mod support;

use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use support::name;
use sycamore_core::call::gatekeeper::{Arrival, End, Input, Output};
use sycamore_core::call::note::OutgoingNote;
use sycamore_core::call::once::KeptAnswer;
use sycamore_core::call::{CallKey, Fingerprint, Gatekeeper, Members, Outcome, RequestKey};
use sycamore_core::config::Snapshot;
use sycamore_core::hash::Hash;
use sycamore_core::member::VmState;
use sycamore_core::{Code, Time};

const START: Time = Time(1_700_000_000_000_000);
const VMS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn snapshot(version: u64, vms: &[&str]) -> Arc<Snapshot> {
    let routes = r#"{"once":{"path_prefix":"/once","service":"s","idempotent":false}}"#;
    support::snapshot(version, vms, "{}", routes)
}

fn key_at(minted: Time, low: u64) -> RequestKey {
    RequestKey { high: minted.as_millis() << 16 | 7 << 12, low: low | 2 << 62 }
}

/// A few gatekeepers in one thread with notes between them that may be lost, late or repeated.
struct Fleet {
    now: Time,
    versions: Vec<Vec<&'static str>>,
    nodes: Vec<Node>,
    notes: Vec<(usize, OutgoingNote)>,
    gone: Members,
    next_call: u64,
    runs: BTreeMap<RequestKey, Vec<(Time, usize)>>,
}

struct Node {
    gatekeeper: Gatekeeper,
    version: u64,
    alive: bool,
}

impl Fleet {
    fn new(vms: &[&'static str]) -> Fleet {
        let mut fleet = Fleet {
            now: START,
            versions: vec![vms.to_vec()],
            nodes: Vec::new(),
            notes: Vec::new(),
            gone: Members::new(),
            next_call: 0,
            runs: BTreeMap::new(),
        };
        for (index, vm) in VMS.iter().enumerate() {
            let gatekeeper = Gatekeeper::new(name(vm), START, index as u64);
            fleet.nodes.push(Node { gatekeeper, version: 0, alive: true });
        }
        for index in 0..VMS.len() {
            fleet.adopt(index, 1);
        }
        fleet
    }

    fn handle(&mut self, index: usize, input: Input<'_>) -> Vec<Output> {
        let mut out = Vec::new();
        if !self.nodes[index].alive {
            return out;
        }
        self.nodes[index].gatekeeper.handle(self.now, input, &mut out);
        for output in &out {
            if let Output::Send(note) = output {
                self.notes.push((index, note.clone()));
            }
        }
        out
    }

    fn newest(&self) -> u64 {
        self.versions.len() as u64
    }

    fn publish(&mut self, vms: Vec<&'static str>) {
        self.versions.push(vms);
    }

    fn adopt(&mut self, index: usize, version: u64) {
        if version > self.nodes[index].version {
            self.nodes[index].version = version;
            let snapshot = snapshot(version, &self.versions[version as usize - 1]);
            self.handle(index, Input::Configure(snapshot));
        }
    }

    fn deliver(&mut self, at: usize, keep: bool) {
        if self.notes.is_empty() {
            return;
        }
        let at = at % self.notes.len();
        let (from, note) = if keep { self.notes[at].clone() } else { self.notes.swap_remove(at) };
        if let Some(to) = VMS.iter().position(|vm| *vm == note.to.as_str()) {
            let from = name(VMS[from]);
            self.handle(to, Input::Note { from: &from, note: &note.note });
        }
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        for index in 0..self.nodes.len() {
            self.handle(index, Input::Tick);
        }
    }

    /// Lets time pass until nothing is left to say.
    fn settle(&mut self) {
        for _ in 0..40 {
            self.pass(100);
            while !self.notes.is_empty() {
                self.deliver(0, false);
            }
        }
    }

    fn submit(&mut self, index: usize, key: RequestKey) -> Option<Outcome> {
        self.next_call += 1;
        let call = CallKey(self.next_call);
        let arrival = Arrival {
            host: "",
            terms: None,
            call,
            path: "/once",
            key: Some(key),
            digest: Some(Hash::of(&key.to_bytes())),
            fingerprint: Fingerprint(key.low),
            crashes: 0,
            depth: 0,
            deadline: self.now + Duration::from_secs(1),
        };
        let mut outcome = None;
        for output in self.handle(index, Input::Arrive(arrival)) {
            match output {
                Output::Run { .. } => {
                    self.runs.entry(key).or_default().push((self.now, index));
                    let kept = KeptAnswer { status: 200, headers: vec![], body: "x".into() };
                    let end = End::Answered { kept: Some(Arc::new(kept)) };
                    self.handle(index, Input::End { call, end });
                    outcome = Some(Outcome::Answered);
                }
                Output::Replay(..) => outcome = Some(Outcome::Answered),
                Output::Refuse { outcome: refused, .. } => outcome = Some(refused),
                _ => {}
            }
        }
        outcome
    }

    /// Ends the process on a VM and starts another there, which holds nothing but the version.
    fn restart(&mut self, index: usize) {
        let gatekeeper = Gatekeeper::new(name(VMS[index]), self.now, index as u64);
        let node = &mut self.nodes[index];
        node.gatekeeper = gatekeeper;
        node.alive = true;
        let version = std::mem::replace(&mut node.version, 0);
        self.adopt(index, version);
    }

    /// What isn't promised (docs/design/calls.md): a home that restarts while a removed target
    /// lives on behind it, cut off on an older version.
    fn may_restart(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let listed = &self.versions[node.version as usize - 1];
        let behind = |(other, vm): (&Node, &&str)| {
            other.alive && other.version < node.version && !listed.contains(vm)
        };
        node.alive && !self.nodes.iter().zip(&VMS).any(behind)
    }

    fn stop(&mut self, index: usize) {
        self.nodes[index].alive = false;
        self.gone.insert(name(VMS[index]), VmState::Gone);
    }

    /// Starts the planned stop of a VM, which the list shows as leaving.
    fn leave(&mut self, index: usize) {
        if self.nodes[index].alive {
            self.gone.insert(name(VMS[index]), VmState::Leaving);
            self.handle(index, Input::Drain);
        }
    }

    fn view(&mut self, index: usize) {
        let members = Arc::new(self.gone.clone());
        self.handle(index, Input::View(members));
    }

    fn home(&self, version: u64, key: RequestKey) -> usize {
        let vms = self.versions[version as usize - 1].iter().map(|vm| name(vm)).collect();
        let list = sycamore_core::call::note::HomeList { version, vms };
        let home = list.home_of(key).unwrap().clone();
        VMS.iter().position(|vm| *vm == home.as_str()).unwrap()
    }

    /// A key minted now whose home moves from one VM to another between two versions.
    fn moving_key(&self, from: u64, to: u64) -> RequestKey {
        (0..10_000)
            .map(|low| key_at(self.now, low))
            .find(|key| self.home(from, *key) != self.home(to, *key))
            .unwrap()
    }

    fn check(&self) {
        for (key, runs) in &self.runs {
            assert!(runs.len() <= 1, "{key:?} ran {runs:?}, versions {:?}", self.versions);
        }
    }
}

fn code(outcome: Option<Outcome>) -> Option<Code> {
    match outcome? {
        Outcome::Answered => None,
        Outcome::NotRun { code, .. } | Outcome::Unknown { code } => Some(code),
    }
}

#[test]
fn homes_settled() {
    let mut fleet = Fleet::new(&["a", "b", "c"]);
    fleet.settle();
    for low in 0..50 {
        let key = key_at(fleet.now, low);
        let home = fleet.home(1, key);
        assert_eq!(fleet.submit(home, key), Some(Outcome::Answered));
        for other in [0, 1, 2].into_iter().filter(|other| *other != home) {
            assert_eq!(code(fleet.submit(other, key)), Some(Code::NotHome));
        }
    }
    fleet.check();
}

#[test]
fn homes_move() {
    // Story: a version moves a key's home. The caller signed at the old home and lost the answer;
    // it asks again, and the call goes to the new home. It must not run there a second time, nor
    // be told that it did not run.
    let mut fleet = Fleet::new(&["a", "b", "c"]);
    fleet.settle();
    fleet.publish(vec!["a", "b", "c", "d"]);
    let key = fleet.moving_key(1, 2);
    let (old, new) = (fleet.home(1, key), fleet.home(2, key));
    assert_eq!(fleet.submit(old, key), Some(Outcome::Answered));
    (0..4).for_each(|index| fleet.adopt(index, 2));
    assert_eq!(code(fleet.submit(new, key)), Some(Code::HomeMoving));
    fleet.settle();
    assert_eq!(fleet.submit(new, key), Some(Outcome::Unknown { code: Code::KeyOutcomeUnknown }));
    let fresh = fleet.moving_key(1, 2);
    assert_eq!(fleet.submit(new, fresh), Some(Outcome::Answered));
    fleet.check();
}

#[test]
fn homes_old_home_cut_off() {
    // Story: a version moves homes while one zone is cut off. The old home there stays on the old
    // version and goes on running its keys. Were the new home not to wait, a signing sent into
    // both parts would run in both.
    let mut fleet = Fleet::new(&["a", "b", "c"]);
    fleet.settle();
    fleet.publish(vec!["a", "b", "c", "d"]);
    let key = fleet.moving_key(1, 2);
    let (old, new) = (fleet.home(1, key), fleet.home(2, key));
    (0..4).filter(|index| *index != old).for_each(|index| fleet.adopt(index, 2));
    fleet.settle();
    assert_eq!(code(fleet.submit(new, key)), Some(Code::HomeMoving));
    assert_eq!(fleet.submit(old, key), Some(Outcome::Answered));
    // The platform lists the old home's VM as gone: it runs nothing more, and what it ran is lost.
    fleet.stop(old);
    fleet.view(new);
    fleet.pass(100);
    assert_eq!(code(fleet.submit(new, key)), Some(Code::KeyOutcomeUnknown));
    fleet.pass(1_000);
    let later = (0..).map(|low| key_at(fleet.now, low));
    let later =
        later.into_iter().find(|key| (fleet.home(1, *key), fleet.home(2, *key)) == (old, new));
    assert_eq!(fleet.submit(new, later.unwrap()), Some(Outcome::Answered));
    fleet.check();
}

#[test]
fn homes_restart() {
    // Story: a gatekeeper dies after it ran a signing and starts again without its table. The
    // caller asks again.
    let mut fleet = Fleet::new(&["a", "b", "c"]);
    fleet.settle();
    let key = key_at(fleet.now, 1);
    let home = fleet.home(1, key);
    assert_eq!(fleet.submit(home, key), Some(Outcome::Answered));
    fleet.pass(100);
    fleet.restart(home);
    let unknown = Some(Outcome::Unknown { code: Code::KeyOutcomeUnknown });
    assert_eq!(fleet.submit(home, key), unknown);
    fleet.settle();
    assert_eq!(fleet.submit(home, key), unknown);
    fleet.check();
}

#[test]
fn homes_chain_skipped() {
    // Story: versions come fast. The key's home goes from one VM over a second to a third, which
    // never saw the version between. The second still runs the key.
    let mut fleet = Fleet::new(&["a", "b"]);
    fleet.settle();
    fleet.publish(vec!["a", "b", "c"]);
    fleet.publish(vec!["a", "b", "c", "d"]);
    let wanted = |fleet: &Fleet, key| (fleet.home(2, key), fleet.home(3, key)) == (2, 3);
    let key = (0..).map(|low| key_at(fleet.now, low)).find(|key| wanted(&fleet, *key)).unwrap();
    // Those two, and the home before them, take the version between up; the last home skips it.
    (0..3).for_each(|index| fleet.adopt(index, 2));
    fleet.settle();
    fleet.adopt(3, 3);
    fleet.adopt(0, 3);
    fleet.adopt(1, 3);
    fleet.settle();
    let fresh = (0..).map(|low| key_at(fleet.now, low)).find(|key| wanted(&fleet, *key)).unwrap();
    assert_eq!(fleet.submit(2, fresh), Some(Outcome::Answered));
    assert_eq!(code(fleet.submit(3, fresh)), Some(Code::HomeMoving));
    assert_eq!(fleet.home(3, key), 3);
    fleet.adopt(2, 3);
    fleet.settle();
    assert_eq!(code(fleet.submit(3, fresh)), Some(Code::KeyOutcomeUnknown));
    fleet.check();
}

#[test]
fn homes_skipped_between() {
    // Story: the home of a key is `a`, then `d`, then `e`. `d` skips the version that makes it the
    // home and so never gets the key, which `a`, cut off, still runs. `e` must not take `d`'s word
    // for the key. (Found by `homes_history`; the key ran at both.)
    let mut fleet = Fleet::new(&["a", "b", "c"]);
    fleet.settle();
    fleet.publish(vec!["c", "d"]);
    fleet.publish(vec!["d", "e"]);
    fleet.adopt(4, 2);
    (1..5).for_each(|index| fleet.adopt(index, 3));
    fleet.settle();
    let homes = |key| [1, 2, 3].map(|version| fleet.home(version, key));
    let key = (0..).map(|low| key_at(fleet.now, low)).find(|key| homes(*key) == [0, 3, 4]);
    let key = key.unwrap();
    assert_eq!(fleet.submit(0, key), Some(Outcome::Answered));
    assert_eq!(code(fleet.submit(4, key)), Some(Code::HomeMoving));
    fleet.check();
}

#[test]
fn homes_replaced_whole() {
    // Story: a version replaces all targets of a service by a VM that was none. The old homes are
    // cut off and go on. (Found by `homes_history`; the new one waited for nobody.)
    let mut fleet = Fleet::new(&["a", "b"]);
    fleet.settle();
    fleet.publish(vec!["d"]);
    fleet.adopt(3, 2);
    fleet.settle();
    let key = key_at(fleet.now, 1);
    assert_eq!(fleet.submit(fleet.home(1, key), key), Some(Outcome::Answered));
    assert_eq!(code(fleet.submit(3, key)), Some(Code::HomeMoving));
    fleet.check();
}

#[test]
fn homes_leave() {
    // Story: a VM is stopped as planned. Its keys go to the next home in order at once, so that
    // signings with them are taken; one that ran before is not run again. Then the VM comes back.
    let mut fleet = Fleet::new(&["a", "b", "c"]);
    fleet.settle();
    let with_home = |fleet: &Fleet, home| {
        (0..).map(|low| key_at(fleet.now, low)).find(|key| fleet.home(1, *key) == home).unwrap()
    };
    let ran = with_home(&fleet, 0);
    assert_eq!(fleet.submit(0, ran), Some(Outcome::Answered));
    fleet.leave(0);
    assert_eq!(code(fleet.submit(0, with_home(&fleet, 0))), None);
    fleet.settle();
    let fresh = RequestKey { low: ran.low, ..with_home(&fleet, 0) };
    let next = |fleet: &mut Fleet, key| {
        [1, 2].map(|index| fleet.submit(index, key)).into_iter().flatten().collect::<Vec<_>>()
    };
    let outcomes = next(&mut fleet, ran);
    assert!(outcomes.contains(&Outcome::Unknown { code: Code::KeyOutcomeUnknown }));
    assert!(next(&mut fleet, fresh).contains(&Outcome::Answered));
    fleet.restart(0);
    fleet.gone.clear();
    fleet.settle();
    assert_eq!(code(fleet.submit(0, fresh)), Some(Code::KeyOutcomeUnknown));
    let later = with_home(&fleet, 0);
    assert!(!next(&mut fleet, later).contains(&Outcome::Answered));
    assert_eq!(fleet.submit(0, later), Some(Outcome::Answered));
    fleet.check();
}

#[test]
fn homes_pause() {
    // Story: a gatekeeper is paused for longer than any view stays fresh, and its VM is given up
    // for gone. It wakes and must not run a signing before its version is confirmed.
    let mut fleet = Fleet::new(&["a"]);
    fleet.settle();
    fleet.now = fleet.now + Duration::from_secs(30);
    let key = key_at(fleet.now, 1);
    assert_eq!(code(fleet.submit(0, key)), Some(Code::ClockGap));
    fleet.handle(0, Input::Confirm);
    assert_eq!(fleet.submit(0, key), Some(Outcome::Answered));
}

#[test]
fn homes_answer_of_earlier_list() {
    // Story: an answer to a question under one list arrives after the asker took up another. It
    // says nothing about who holds what under the new one, and its sender goes on under the old.
    let mut fleet = Fleet::new(&["a", "b", "c"]);
    fleet.settle();
    fleet.publish(vec!["a", "b"]);
    fleet.publish(vec!["a", "e"]);
    (0..3).for_each(|index| fleet.adopt(index, 2));
    let asked = std::mem::take(&mut fleet.notes);
    for (from, note) in asked {
        fleet.notes.push((from, note));
        let last = fleet.notes.len() - 1;
        fleet.deliver(last, false);
    }
    let late = std::mem::take(&mut fleet.notes);
    assert!(!late.is_empty());
    fleet.adopt(0, 3);
    fleet.notes = late;
    while !fleet.notes.is_empty() {
        fleet.deliver(0, false);
    }
    fleet.now = fleet.now + Duration::from_secs(1);
    let homes = |key| (fleet.home(2, key), fleet.home(3, key));
    let key = (0..).map(|low| key_at(fleet.now, low)).find(|key| homes(*key) == (1, 0)).unwrap();
    assert_eq!(code(fleet.submit(0, key)), Some(Code::HomeMoving));
}

#[test]
fn homes_answer_of_earlier_process() {
    // Story: a gatekeeper leaves and says so to one that asks; the answer is late. Meanwhile it
    // has started again and has its keys back. The late answer must not make the other their home.
    let mut fleet = Fleet::new(&["a", "b"]);
    fleet.settle();
    fleet.restart(1);
    let ask = fleet.notes.pop().unwrap();
    assert!(fleet.notes.is_empty());
    fleet.leave(0);
    fleet.notes = vec![ask];
    fleet.deliver(0, false);
    let late = std::mem::take(&mut fleet.notes);
    fleet.restart(0);
    fleet.notes.retain(|(from, _)| *from == 0);
    while !fleet.notes.is_empty() {
        fleet.deliver(0, false);
    }
    fleet.notes = late;
    while !fleet.notes.is_empty() {
        fleet.deliver(0, false);
    }
    fleet.now = fleet.now + Duration::from_secs(1);
    let key = (0..).map(|low| key_at(fleet.now, low)).find(|key| fleet.home(1, *key) == 0).unwrap();
    assert_eq!(code(fleet.submit(1, key)), Some(Code::NotHome));
}

#[derive(Clone, Debug)]
enum Step {
    Publish(u8),
    Adopt(usize, u64),
    Deliver(usize, bool),
    Lose(usize),
    Pass(u64),
    Submit(usize, u64),
    Resend(usize, usize),
    Restart(usize),
    Stop(usize),
    Leave(usize),
    View(usize),
    Settle,
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..VMS.len();
    prop_oneof![
        2 => (1u8..32).prop_map(Step::Publish),
        6 => (node.clone(), 0u64..3).prop_map(|(node, ahead)| Step::Adopt(node, ahead)),
        20 => (any::<usize>(), prop::bool::weighted(0.2)).prop_map(|(at, keep)| Step::Deliver(at, keep)),
        3 => any::<usize>().prop_map(Step::Lose),
        6 => (1u64..1_500).prop_map(Step::Pass),
        14 => (node.clone(), 0u64..1_000).prop_map(|(node, low)| Step::Submit(node, low)),
        14 => (node.clone(), 0usize..8).prop_map(|(node, back)| Step::Resend(node, back)),
        1 => node.clone().prop_map(Step::Restart),
        1 => node.clone().prop_map(Step::Stop),
        2 => node.clone().prop_map(Step::Leave),
        2 => node.prop_map(Step::View),
        2 => Just(Step::Settle),
    ]
}

fn run(steps: &[Step]) -> Fleet {
    let mut fleet = Fleet::new(&["a", "b", "c"]);
    fleet.settle();
    let mut keys = Vec::new();
    for (number, step) in steps.iter().enumerate() {
        match step {
            Step::Publish(set) => {
                let chosen = VMS.iter().enumerate().filter(|(bit, _)| set & 1 << bit != 0);
                fleet.publish(chosen.map(|(_, vm)| *vm).collect());
            }
            Step::Adopt(node, ahead) => {
                let version = (fleet.nodes[*node].version + ahead).min(fleet.newest());
                fleet.adopt(*node, version);
            }
            Step::Deliver(at, keep) => fleet.deliver(*at, *keep),
            Step::Lose(at) if !fleet.notes.is_empty() => {
                let at = at % fleet.notes.len();
                fleet.notes.swap_remove(at);
            }
            Step::Lose(_) => {}
            Step::Pass(millis) => fleet.pass(*millis),
            Step::Submit(node, low) => {
                let key = key_at(fleet.now, low << 16 | number as u64);
                keys.push(key);
                fleet.submit(*node, key);
            }
            Step::Resend(node, back) => {
                if let Some(key) = keys.iter().rev().nth(*back) {
                    fleet.submit(*node, *key);
                }
            }
            Step::Restart(node) if fleet.may_restart(*node) => fleet.restart(*node),
            Step::Restart(_) => {}
            Step::Stop(node) => fleet.stop(*node),
            Step::Leave(node) => fleet.leave(*node),
            Step::View(node) => fleet.view(*node),
            Step::Settle => fleet.settle(),
        }
    }
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Random versions (some skipped), lost, late and repeated notes, restarts and VMs that are
    /// gone: no key runs twice.
    #[test]
    fn homes_history(steps in prop::collection::vec(step(), 1..150)) {
        run(&steps).check();
    }
}
