//! What callers ask for: a deployment's classes of requests, read from a JSON file.

use crate::input;
use serde::{Deserialize, Serialize};
use std::path::Path;
use sycamore_core::{Code, Fault, Result};

/// A deployment's mix of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// The classes; at least one with a share above zero.
    pub classes: Vec<MixClass>,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixClass {
    /// Name in tables and in the history.
    pub name: String,
    /// Its share of the requests, relative to the other classes' shares.
    pub share: u32,
    /// Path; a random number from 1 to 10,000 is added after a `/`.
    pub path: String,
    /// Whether the request may run only once: it is a POST with an `Idempotency-Key`.
    #[serde(default)]
    pub at_most_once: bool,
    /// Time that the caller gives it, in ms.
    pub deadline_ms: u64,
    /// Size of the request's body.
    #[serde(default)]
    pub request_bytes: usize,
    /// Size of the answer.
    pub answer_bytes: usize,
    /// How long a target works on it, in µs.
    pub work_us: u64,
    /// Paths of the calls that the target makes first, each made by the one before.
    #[serde(default)]
    pub chain: Vec<String>,
}

impl Mix {
    /// Reads and checks a mix.
    pub fn read(path: &Path) -> Result<Mix> {
        let mix: Mix = input::read_json(path)?;
        if mix.shares() == 0 {
            let fault = Fault::new(Code::InputInvalid)
                .with_location(format!("{}: classes", path.display()));
            return Err(fault.with_detail("the shares add up to 0, at least 1 is needed"));
        }
        Ok(mix)
    }

    /// Sum of all shares.
    pub fn shares(&self) -> u32 {
        self.classes.iter().map(|class| class.share).sum()
    }

    /// Index of the class at a point from 0 to the sum of all shares, exclusive.
    pub fn class_at(&self, point: u32) -> usize {
        let mut end = 0;
        let contains = |class: &MixClass| {
            end += class.share;
            point < end
        };
        self.classes.iter().position(contains).unwrap_or_default()
    }
}

impl MixClass {
    /// Path and query of a request about the thing with this number.
    pub fn path_and_query(&self, resource_id: u32) -> String {
        let MixClass { path, work_us, answer_bytes, .. } = self;
        let mut text = format!("{path}/{resource_id}?work_us={work_us}&bytes={answer_bytes}");
        for (index, path) in self.chain.iter().enumerate() {
            text += if index == 0 { "&chain=" } else { "," };
            text += &format!("{path}/{resource_id}");
        }
        text
    }
}
