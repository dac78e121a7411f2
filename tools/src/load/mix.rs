//! Load mix of a deployment: the classes of requests, read from a JSON file.

use crate::input;
use serde::{Deserialize, Serialize};
use std::path::Path;
use sycamore_core::{Code, Fault, Result};

/// Load mix of a deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Request classes; at least one has a share above zero.
    pub classes: Vec<MixClass>,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixClass {
    /// Name in summaries and in the history.
    pub name: String,
    /// Weight of the class relative to the other classes.
    pub share: u32,
    /// Path prefix; `/` and a random resource ID from 1 to 10,000 are appended.
    pub path: String,
    /// Whether the request must be executed at most once: it is a POST with an `Idempotency-Key`.
    #[serde(default)]
    pub at_most_once: bool,
    /// Timeout of the caller in milliseconds.
    pub deadline_ms: u64,
    /// Size of the request body in bytes.
    #[serde(default)]
    pub request_bytes: usize,
    /// Size of the response body in bytes.
    pub answer_bytes: usize,
    /// Simulated work of the target in microseconds.
    pub work_us: u64,
    /// Paths of nested calls, each made by the one before it.
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
            return Err(fault.with_detail("sum of shares is 0, must be at least 1"));
        }
        Ok(mix)
    }

    pub fn shares(&self) -> u32 {
        self.classes.iter().map(|class| class.share).sum()
    }

    /// Index of the class at `point` in the cumulative shares; `point` must be below the sum of all
    /// shares.
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
    /// Path and query of a request for a resource.
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
