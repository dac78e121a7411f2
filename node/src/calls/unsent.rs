//! Requests that were never handed to a connection.

use hyper::Request;
use std::time::Duration;
use sycamore_core::Code;
use sycamore_core::call::Outcome;

/// `Retry-After` of rejections that are not caused by load.
pub const RETRY_AFTER_SHORT: Duration = Duration::from_millis(200);

/// Shows that a request has not run and never will: its sender still held the request and gave it up.
/// The type can't tell that the request dropped is the one that is rejected.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// Drops a request, or its head if the body has been read.
    pub fn drop_request<B>(req: Request<B>) -> Unsent {
        drop(req);
        Unsent(())
    }

    /// The outcome for the caller.
    pub fn rejection(self, code: Code) -> Outcome {
        Outcome::not_run(code, RETRY_AFTER_SHORT)
    }
}
