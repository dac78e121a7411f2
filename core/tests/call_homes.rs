//! Tests of the homes of keys: a request that must run at most once does so despite version
//! changes, restarts and lost notes.

#[path = "support/homes.rs"]
mod support;

use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;
use support::*;
use sycamore_core::call::gatekeeper::{Input, Output, RunEnd};
use sycamore_core::call::home::Homes;
use sycamore_core::call::note::{HomeList, Note, OutgoingNote, ReleaseRequest, ReleaseResponse};
use sycamore_core::call::{Outcome, RequestKey};
use sycamore_core::{Code, Time};

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
    fleet.assert_at_most_one_run();
}

#[test]
fn homes_move() {
    // A request repeated at the new home of its key must neither run again nor be reported as not
    // run.
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
    fleet.assert_at_most_one_run();
}

#[test]
fn homes_old_home_cut_off() {
    // The old home is partitioned and still runs its keys under the old version, so the new home
    // must wait for it to release them.
    let mut fleet = Fleet::new(&["a", "b", "c"]);
    fleet.settle();
    fleet.publish(vec!["a", "b", "c", "d"]);
    let key = fleet.moving_key(1, 2);
    let (old, new) = (fleet.home(1, key), fleet.home(2, key));
    (0..4).filter(|index| *index != old).for_each(|index| fleet.adopt(index, 2));
    fleet.settle();
    assert_eq!(code(fleet.submit(new, key)), Some(Code::HomeMoving));
    assert_eq!(fleet.submit(old, key), Some(Outcome::Answered));
    // The platform now lists the old home's VM as gone: it runs nothing more, and its records are
    // lost.
    fleet.mark_gone(old);
    fleet.update_members(new);
    fleet.advance(100);
    assert_eq!(code(fleet.submit(new, key)), Some(Code::KeyOutcomeUnknown));
    fleet.advance(1_000);
    let later = (0..).map(|low| key_at(fleet.now, low));
    let later =
        later.into_iter().find(|key| (fleet.home(1, *key), fleet.home(2, *key)) == (old, new));
    assert_eq!(fleet.submit(new, later.unwrap()), Some(Outcome::Answered));
    fleet.assert_at_most_one_run();
}

#[test]
fn homes_restart() {
    // A restarted gatekeeper has lost its idempotency table and must not run a key again.
    let mut fleet = Fleet::new(&["a", "b", "c"]);
    fleet.settle();
    let key = key_at(fleet.now, 1);
    let home = fleet.home(1, key);
    assert_eq!(fleet.submit(home, key), Some(Outcome::Answered));
    fleet.advance(100);
    fleet.restart(home);
    let unknown = Some(Outcome::Unknown { code: Code::KeyOutcomeUnknown });
    assert_eq!(fleet.submit(home, key), unknown);
    fleet.settle();
    assert_eq!(fleet.submit(home, key), unknown);
    fleet.assert_at_most_one_run();
}

#[test]
fn homes_chain_skipped() {
    // The last home of a key skips the version under which another VM was its home. That VM may
    // still run the key.
    let mut fleet = Fleet::new(&["a", "b"]);
    fleet.settle();
    fleet.publish(vec!["a", "b", "c"]);
    fleet.publish(vec!["a", "b", "c", "d"]);
    let wanted = |fleet: &Fleet, key| (fleet.home(2, key), fleet.home(3, key)) == (2, 3);
    let key = (0..).map(|low| key_at(fleet.now, low)).find(|key| wanted(&fleet, *key)).unwrap();
    // The first three VMs apply the version in between; the last home skips it.
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
    fleet.assert_at_most_one_run();
}

#[test]
fn homes_skipped_between() {
    // The home of a key is `a`, then `d`, then `e`. `d` skips the version that makes it the home
    // and never receives the key, which the partitioned `a` still runs. `e` must not rely on the
    // release by `d`.
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
    fleet.assert_at_most_one_run();
}

#[test]
fn homes_replaced_whole() {
    // A version replaces all targets of a service by a new VM. The old homes are partitioned and
    // still run their keys, so the new home must wait for them.
    let mut fleet = Fleet::new(&["a", "b"]);
    fleet.settle();
    fleet.publish(vec!["d"]);
    fleet.adopt(3, 2);
    fleet.settle();
    let key = key_at(fleet.now, 1);
    assert_eq!(fleet.submit(fleet.home(1, key), key), Some(Outcome::Answered));
    assert_eq!(code(fleet.submit(3, key)), Some(Code::HomeMoving));
    fleet.assert_at_most_one_run();
}

#[test]
fn homes_leave() {
    // After a planned shutdown the next home in rendezvous order runs new keys at once but does not
    // repeat any that ran. The keys return when the VM comes back.
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
    fleet.members.clear();
    fleet.settle();
    assert_eq!(code(fleet.submit(0, fresh)), Some(Code::KeyOutcomeUnknown));
    let later = with_home(&fleet, 0);
    assert!(!next(&mut fleet, later).contains(&Outcome::Answered));
    assert_eq!(fleet.submit(0, later), Some(Outcome::Answered));
    fleet.assert_at_most_one_run();
}

#[test]
fn homes_pause() {
    // A gatekeeper resumes after its VM was considered gone. It must not run a request before its
    // version is confirmed.
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
    // A response requested under an earlier list must be ignored: its sender may still run keys
    // under that list.
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
    let delayed = std::mem::take(&mut fleet.notes);
    assert!(!delayed.is_empty());
    fleet.adopt(0, 3);
    fleet.notes = delayed;
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
    // A gatekeeper announces that it is leaving, then restarts and gets its keys back. A delayed
    // response from its earlier process must not make another gatekeeper their home.
    let mut fleet = Fleet::new(&["a", "b"]);
    fleet.settle();
    fleet.restart(1);
    let ask = fleet.notes.pop().unwrap();
    assert!(fleet.notes.is_empty());
    fleet.leave(0);
    fleet.notes = vec![ask];
    fleet.deliver(0, false);
    let delayed = std::mem::take(&mut fleet.notes);
    fleet.restart(0);
    fleet.notes.retain(|(from, _)| *from == 0);
    while !fleet.notes.is_empty() {
        fleet.deliver(0, false);
    }
    fleet.notes = delayed;
    while !fleet.notes.is_empty() {
        fleet.deliver(0, false);
    }
    fleet.now = fleet.now + Duration::from_secs(1);
    let key = (0..).map(|low| key_at(fleet.now, low)).find(|key| fleet.home(1, *key) == 0).unwrap();
    assert_eq!(code(fleet.submit(1, key)), Some(Code::NotHome));
}

/// Guards against a queued request that runs after its key has moved away, run there, and moved
/// back.
#[test]
fn homes_queued_over_two_moves() {
    let limits = r#"{"slots":1,"queue_wait_ms":60000}"#;
    let mut fleet = Fleet::with_limits(&["a", "b", "c"], limits);
    fleet.settle();
    fleet.publish(vec!["a", "b", "c", "d"]);
    fleet.publish(vec!["a", "b", "c"]);
    let key = fleet.moving_key(1, 2);
    let (old, new) = (fleet.home(1, key), fleet.home(2, key));
    let other = (0..).map(|low| key_at(fleet.now, low)).find(|other| {
        *other != key && fleet.home(1, *other) == old && fleet.home(2, *other) == old
    });
    let (running, _) = fleet.arrive(old, other.unwrap());
    let (queued, out) = fleet.arrive(old, key);
    assert!(matches!(out[..], [Output::Queue(..)]), "{out:?}");
    (0..4).for_each(|index| fleet.adopt(index, 2));
    fleet.settle();
    assert_eq!(fleet.submit(new, key), Some(Outcome::Answered));
    (0..4).for_each(|index| fleet.adopt(index, 3));
    fleet.settle();
    let end = RunEnd::Answered { cached: None };
    let out = fleet.handle(old, Input::End { call: running, end });
    let unknown = Outcome::Unknown { code: Code::KeyOutcomeUnknown };
    assert_eq!(out, [Output::Reject { call: queued, outcome: unknown, crashes: 0 }]);
}

/// Guards against a key that is lost when a release request arrives twice and parts of both
/// responses are mixed, the second of which lacks an expired key.
#[test]
fn homes_parts_of_two_responses() {
    let list = HomeList { version: 1, vms: vec![name("a"), name("b")] };
    let keys: Vec<RequestKey> = (0..1_500).map(|low| key_at(START, low)).collect();
    let parts = |responder: &Homes, request: &ReleaseRequest, keys: &[RequestKey]| {
        let notes = responder.release(&name("a"), request, keys, Time::ZERO);
        let part = |note: OutgoingNote| match note.note {
            Note::Released(part) => *part,
            other => panic!("{other:?}"),
        };
        notes.into_iter().map(part).collect::<Vec<ReleaseResponse>>()
    };
    for mix in 0..8 {
        let mut homes = Homes::new(START, name("a"), name("s"), list.clone());
        let responder = Homes::joining(START, name("b"), name("s"), list.clone());
        let mut asked = Vec::new();
        homes.tick(START, &mut asked);
        let Note::AskRelease(request) = &asked[0].note else { panic!("{asked:?}") };
        let (first, second) =
            (parts(&responder, request, &keys), parts(&responder, request, &keys[1..]));
        let mut received = BTreeSet::new();
        for (index, (one, two)) in first.iter().zip(&second).enumerate() {
            let part = if mix >> (index % 3) & 1 == 0 { one } else { two };
            assert!(homes.apply_response(START, &name("b"), part));
            received.extend(part.keys.iter().copied());
        }
        assert!(homes.moving() || keys[1..].iter().all(|key| received.contains(key)), "{mix}");
    }
}

#[derive(Clone, Debug)]
enum Step {
    Publish(u8),
    Adopt(usize, u64),
    Deliver(usize, bool),
    Drop(usize),
    Advance(u64),
    Submit(usize, u64),
    Resend(usize, usize),
    Restart(usize),
    MarkGone(usize),
    Leave(usize),
    UpdateMembers(usize),
    Settle,
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..VMS.len();
    prop_oneof![
        2 => (1u8..32).prop_map(Step::Publish),
        6 => (node.clone(), 0u64..3).prop_map(|(node, ahead)| Step::Adopt(node, ahead)),
        20 => (any::<usize>(), prop::bool::weighted(0.2)).prop_map(|(at, keep)| Step::Deliver(at, keep)),
        3 => any::<usize>().prop_map(Step::Drop),
        6 => (1u64..1_500).prop_map(Step::Advance),
        14 => (node.clone(), 0u64..1_000).prop_map(|(node, low)| Step::Submit(node, low)),
        14 => (node.clone(), 0usize..8).prop_map(|(node, back)| Step::Resend(node, back)),
        1 => node.clone().prop_map(Step::Restart),
        1 => node.clone().prop_map(Step::MarkGone),
        2 => node.clone().prop_map(Step::Leave),
        2 => node.prop_map(Step::UpdateMembers),
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
            Step::Drop(at) if !fleet.notes.is_empty() => {
                let at = at % fleet.notes.len();
                fleet.notes.swap_remove(at);
            }
            Step::Drop(_) => {}
            Step::Advance(millis) => fleet.advance(*millis),
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
            Step::MarkGone(node) => fleet.mark_gone(*node),
            Step::Leave(node) => fleet.leave(*node),
            Step::UpdateMembers(node) => fleet.update_members(*node),
            Step::Settle => fleet.settle(),
        }
    }
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// No key runs twice under random version changes (some skipped), lost, delayed and duplicated
    /// notes, restarts and VMs that are gone.
    #[test]
    fn homes_history(steps in prop::collection::vec(step(), 1..150)) {
        run(&steps).assert_at_most_one_run();
    }
}
