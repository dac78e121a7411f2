//! Names of the headers exchanged with callers and targets.
//!
//! Nodes use the product's own names between each other. A deployment whose callers and targets use
//! different names configures them here; the rest of the call path does not depend on them.

use super::headers;
use hyper::StatusCode;
use hyper::header::HeaderName;

/// Headers exchanged with callers and targets.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Remaining time of the request in milliseconds.
    pub deadline: HeaderName,
    /// Identifies the request. A target echoes it in its response.
    pub request_id: HeaderName,
    /// Service of the VM that sent the request, if targets expect it.
    pub caller: Option<HeaderName>,
    /// Incarnation of the target's process. A target with another incarnation rejects the request.
    pub incarnation: Option<HeaderName>,
    /// Present in a target's response if the target did not run the request.
    pub not_run: Option<HeaderName>,
    /// Present in each successful response of a target to a request.
    pub signature: Option<HeaderName>,
    /// Statuses by which callers learn that a request has not run.
    pub promising_statuses: Vec<StatusCode>,
    /// Remaining time in milliseconds for which a target is cold, in its health responses.
    pub cold_time: HeaderName,
    /// Rate limit of a target, in its responses.
    pub rate_limit: HeaderName,
    /// Present with the value 1 in the responses of a target that is leaving.
    pub leaving: HeaderName,
    /// Where responses of targets state how long work takes at the moment.
    pub work_pace: ListedFigure,
    /// Further headers in responses of targets, which nodes do not use.
    pub unused: Vec<HeaderName>,
    /// Whether `retry-after` may contain fractions of a second.
    pub fractional_retry_after: bool,
}

/// One of the figures in a header, which are separated by commas.
#[derive(Clone, Debug)]
pub struct ListedFigure {
    pub header: HeaderName,
    /// Position of the figure, from 0.
    pub index: usize,
}

impl Dialect {
    /// The product's own header names.
    pub fn new() -> Dialect {
        Dialect {
            deadline: headers::DEADLINE,
            request_id: headers::REQUEST_ID,
            caller: None,
            incarnation: None,
            not_run: None,
            signature: None,
            promising_statuses: Vec::new(),
            cold_time: headers::COLD_TIME,
            rate_limit: headers::RATE_LIMIT,
            leaving: headers::LEAVING,
            work_pace: ListedFigure { header: headers::WORK_PACE, index: 0 },
            unused: Vec::new(),
            fractional_retry_after: false,
        }
    }

    /// Replaces the request id and deadline headers.
    pub fn with_request(mut self, request_id: HeaderName, deadline: HeaderName) -> Dialect {
        self.request_id = request_id;
        self.deadline = deadline;
        self
    }

    /// Sets the headers for the calling service and the target's incarnation.
    pub fn with_parties(mut self, caller: HeaderName, incarnation: HeaderName) -> Dialect {
        self.caller = Some(caller);
        self.incarnation = Some(incarnation);
        self
    }

    /// Sets the response header by which a target reports that it did not run the request, and the
    /// statuses that tell this to callers.
    pub fn with_not_run(mut self, not_run: HeaderName, statuses: Vec<StatusCode>) -> Dialect {
        self.not_run = Some(not_run);
        self.promising_statuses = statuses;
        self
    }

    /// Sets the header without which a successful response is not the target's.
    pub fn with_signature(mut self, signature: HeaderName) -> Dialect {
        self.signature = Some(signature);
        self
    }

    /// Whether a response with this status tells its caller that the request has not run.
    pub fn is_promise(&self, status: StatusCode) -> bool {
        self.promising_statuses.contains(&status)
    }

    /// Sets the header of a health response that states for how long the target stays cold.
    pub fn with_cold_time(mut self, cold_time: HeaderName) -> Dialect {
        self.cold_time = cold_time;
        self
    }

    /// Sets the headers by which a target states its rate limit and that it is leaving.
    pub fn with_statements(mut self, rate_limit: HeaderName, leaving: HeaderName) -> Dialect {
        self.rate_limit = rate_limit;
        self.leaving = leaving;
        self
    }

    /// Sets where targets state how long work takes at the moment, in percent of the usual time.
    pub fn with_work_pace(mut self, work_pace: ListedFigure) -> Dialect {
        self.work_pace = work_pace;
        self
    }

    /// Sets further headers of targets' responses, which are only forwarded.
    pub fn with_unused(mut self, unused: Vec<HeaderName>) -> Dialect {
        self.unused = unused;
        self
    }

    /// Whether a target's response may have this header.
    pub fn knows(&self, name: &HeaderName) -> bool {
        let used = [
            &self.request_id,
            &self.cold_time,
            &self.rate_limit,
            &self.leaving,
            &self.work_pace.header,
        ];
        let optional = [&self.not_run, &self.signature];
        used.contains(&name)
            || optional.iter().any(|known| known.as_ref() == Some(name))
            || self.unused.contains(name)
    }

    /// Allows fractions of a second in `retry-after`.
    pub fn with_fractional_retry_after(mut self) -> Dialect {
        self.fractional_retry_after = true;
        self
    }

    /// Whether these are the product's own header names, which targets then support too.
    pub fn is_native(&self) -> bool {
        self.request_id == headers::REQUEST_ID
    }
}

impl Default for Dialect {
    fn default() -> Dialect {
        Dialect::new()
    }
}
