//! Names of headers between a node and its callers and target.
//!
//! Between nodes the product's own names hold. A deployment whose callers and targets use other
//! names says so here, and nothing else of the call path knows them.

use super::headers;
use hyper::header::HeaderName;

/// The headers that callers send and targets take and give.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Milliseconds that are left for the request.
    pub deadline: HeaderName,
    /// Names the request; a target repeats it in its answer.
    pub request_id: HeaderName,
    /// The service on whose VM the request was made; absent if targets do not ask for it.
    pub caller: Option<HeaderName>,
    /// The run of the target's process that is meant; another one refuses the request.
    pub incarnation: Option<HeaderName>,
    /// Stands in a target's answer if it has not run the request.
    pub not_run: Option<HeaderName>,
    /// Whether `retry-after` may state fractions of a second.
    pub fractional_retry_after: bool,
}

impl Dialect {
    /// The product's own names.
    pub fn new() -> Dialect {
        Dialect {
            deadline: headers::DEADLINE,
            request_id: headers::REQUEST_ID,
            caller: None,
            incarnation: None,
            not_run: None,
            fractional_retry_after: false,
        }
    }

    /// The same with the headers of a request.
    pub fn with_request(mut self, request_id: HeaderName, deadline: HeaderName) -> Dialect {
        self.request_id = request_id;
        self.deadline = deadline;
        self
    }

    /// The same with the headers that a target expects of the caller and of itself.
    pub fn with_parties(mut self, caller: HeaderName, incarnation: HeaderName) -> Dialect {
        self.caller = Some(caller);
        self.incarnation = Some(incarnation);
        self
    }

    /// The same with the header of a target's answer that says that nothing ran.
    pub fn with_not_run(mut self, not_run: HeaderName) -> Dialect {
        self.not_run = Some(not_run);
        self
    }

    /// The same with fractions of a second in `retry-after`.
    pub fn with_fractional_retry_after(mut self) -> Dialect {
        self.fractional_retry_after = true;
        self
    }

    /// Whether the names are the product's own, which targets then know too.
    pub fn is_own(&self) -> bool {
        self.request_id == headers::REQUEST_ID
    }
}

impl Default for Dialect {
    fn default() -> Dialect {
        Dialect::new()
    }
}
