//! Platform calls of simulated nodes.

use super::platform::{Answer, Get};
use super::{Fleet, FleetEvent, PLATFORM};
use std::time::Duration;
use sycamore_core::Code;
use sycamore_core::spread::port::CallId;
use sycamore_core::spread::{Input, SourceCall, SourceReply, SourceValue};

/// Timeout of a platform call, in addition to the requested wait of a watch.
const SOURCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of the HTTP headers of a platform request or response.
const HEADER_BYTES: u64 = 120;

/// Identifies a platform call of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceCallKey {
    /// Number of the node.
    pub node: usize,
    /// Incarnation of the node's process.
    pub incarnation: u32,
    /// Call id assigned by the node.
    pub id: CallId,
}

impl Fleet {
    pub(super) fn send_source_request(&mut self, node: usize, call: SourceCall) {
        let slot = &mut self.slots[node];
        let caller = SourceCallKey { node, incarnation: slot.incarnation, id: call.id };
        slot.calls.insert(call.id);
        let timeout = SOURCE_TIMEOUT + call.wait;
        self.links.after(timeout, FleetEvent::SourceTimeout(caller));
        let size = HEADER_BYTES + call.key.as_bytes().len() as u64;
        self.count_traffic(node, size, 0);
        self.count_cross_region((self.site(node), PLATFORM), "platform", size);
        self.links.send(self.site(node), PLATFORM, size, FleetEvent::SourceRequest(caller, call));
    }

    pub(super) fn cancel_source_call(&mut self, node: usize, id: CallId) {
        self.slots[node].calls.remove(&id);
        let incarnation = self.slots[node].incarnation;
        self.platform.drop_watches(|caller| *caller == SourceCallKey { node, incarnation, id });
    }

    pub(super) fn handle_source_request(&mut self, caller: SourceCallKey, call: SourceCall) {
        let now = self.links.now();
        let until = now + call.wait;
        let min_index_exclusive = (call.index > 0).then_some(call.index);
        let get = Get { caller, key: call.key, min_index_exclusive, until };
        match self.platform.get(now, get) {
            Some(answer) => self.send_source_response(caller, answer),
            None => self.links.at(until, FleetEvent::CheckWatches),
        }
    }

    pub(super) fn answer_watches(&mut self) {
        for (caller, answer) in self.platform.take_due_watches(self.links.now()) {
            self.send_source_response(caller, answer);
        }
    }

    pub(super) fn send_source_response(&mut self, caller: SourceCallKey, answer: Answer) {
        let size = match &answer {
            Answer::Value(value, _) => HEADER_BYTES + value.len() as u64,
            Answer::Missing | Answer::OverLimit | Answer::Refused => HEADER_BYTES,
        };
        let site = self.site(caller.node);
        self.count_traffic(caller.node, 0, size);
        self.count_cross_region((site, PLATFORM), "platform", size);
        self.links.send(PLATFORM, site, size, FleetEvent::SourceResponse(caller, answer));
    }

    pub(super) fn handle_source_response(&mut self, caller: SourceCallKey, answer: Answer) {
        let result = match answer {
            Answer::Value(body, index) => Ok(SourceValue { index, body: Some(body) }),
            Answer::Missing => Ok(SourceValue { index: 0, body: None }),
            Answer::OverLimit => Err(Code::SourceOverLimit),
            Answer::Refused => Err(Code::SourceUnreachable),
        };
        self.complete_source_call(caller, result);
    }

    pub(super) fn complete_source_call(
        &mut self,
        caller: SourceCallKey,
        result: Result<SourceValue, Code>,
    ) {
        let slot = &mut self.slots[caller.node];
        if slot.incarnation == caller.incarnation && slot.calls.remove(&caller.id) {
            let reply = SourceReply { id: caller.id, result };
            self.handle_spread_input(caller.node, Input::Source(reply));
        }
    }
}
