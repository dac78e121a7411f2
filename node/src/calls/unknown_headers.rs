//! Headers of a target's responses that this node neither uses nor expects.
//!
//! A target that starts to state something under a new name would otherwise not be noticed.

use super::dialect::Dialect;
use crate::metrics::Metrics;
use hyper::header::{
    ACCEPT_RANGES, AGE, ALLOW, CACHE_CONTROL, CONTENT_DISPOSITION, CONTENT_ENCODING,
    CONTENT_LANGUAGE, CONTENT_LENGTH, CONTENT_LOCATION, CONTENT_RANGE, CONTENT_TYPE, DATE, ETAG,
    EXPIRES, HeaderMap, HeaderName, LAST_MODIFIED, LINK, LOCATION, RETRY_AFTER, SERVER, SET_COOKIE,
    VARY, VIA,
};
use parking_lot::Mutex;

/// Maximum number of different names that are reported.
const MAX_NAMES: usize = 32;

/// Headers for callers, which nodes only forward.
const FOR_CALLERS: [HeaderName; 22] = [
    ACCEPT_RANGES,
    AGE,
    ALLOW,
    CACHE_CONTROL,
    CONTENT_DISPOSITION,
    CONTENT_ENCODING,
    CONTENT_LANGUAGE,
    CONTENT_LENGTH,
    CONTENT_LOCATION,
    CONTENT_RANGE,
    CONTENT_TYPE,
    DATE,
    ETAG,
    EXPIRES,
    LAST_MODIFIED,
    LINK,
    LOCATION,
    RETRY_AFTER,
    SERVER,
    SET_COOKIE,
    VARY,
    VIA,
];

/// Reports each unknown name once.
#[derive(Debug, Default)]
pub struct UnknownHeaders {
    seen: Mutex<Vec<HeaderName>>,
}

impl UnknownHeaders {
    /// Counts the unknown headers of a response, and logs the name of each the first time.
    pub fn record(&self, headers: &HeaderMap, dialect: &Dialect, metrics: &Metrics) {
        for name in headers.keys().filter(|name| !is_known(name, dialect)) {
            metrics.unknown_headers.inc();
            let mut seen = self.seen.lock();
            if seen.len() < MAX_NAMES && !seen.contains(name) {
                seen.push(name.clone());
                log::warn!("unknown header in a response of the target: {name}");
            }
        }
    }

    /// The names reported so far.
    pub fn names(&self) -> Vec<HeaderName> {
        self.seen.lock().clone()
    }
}

fn is_known(name: &HeaderName, dialect: &Dialect) -> bool {
    FOR_CALLERS.contains(name) || super::headers::is_own(name) || dialect.knows(name)
}
