//! Numbered result codes. docs/ERRORS.md lists each code with the recommended operator action.

use displaydoc::Display;
use std::fmt;

pub type Result<T> = std::result::Result<T, Fault>;

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal,)*) => {
        /// Error code. Numbers are stable across releases.
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[repr(u16)]
        pub enum Code { $($(#[$doc])* $name = $number,)* }

        impl Code {
            /// All codes in numeric order.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];
        }
    };
}

codes! {
    // The doc comment of each variant is its `Display` text and must match docs/ERRORS.md.
    //
    // 100 to 199: settings and the command line.
    /// the settings file can't be read
    SettingsUnreadable = 101,
    /// the settings file is not valid
    SettingsInvalid = 102,
    /// an address can't be listened on
    ListenFailed = 103,
    /// the command line is not valid
    UsageInvalid = 104,
    // 200 to 299: published documents.
    /// the document is not valid JSON of the expected shape
    DocumentInvalid = 201,
    /// the document is larger than a value may be
    DocumentTooLarge = 202,
    /// the body does not match its digest
    DigestMismatch = 203,
    /// a route names a service that the document lacks
    RouteDangling = 204,
    /// a service has no target
    ServiceEmpty = 205,
    /// a limit is out of its range
    LimitOutOfRange = 206,
    /// two routes share one path prefix
    RouteAmbiguous = 207,
    /// one VM is named as a target twice
    TargetRepeated = 208,
    /// two different bodies claim one version
    VersionConflict = 209,
    /// the version is older than the one in force
    VersionOlder = 210,
    /// the document's name is not the preset's
    PresetMismatch = 211,
    /// a part that the preset names is missing
    PartMissing = 212,
    /// a route names a region without targets
    RegionUnknown = 213,
    /// requests with a key can't be bound to regions
    RegionsUnsupported = 214,
    // 300 to 399: the platform and the distribution of versions between nodes.
    /// the platform does not answer
    SourceUnreachable = 301,
    /// the platform's answer is not understood
    SourceInvalid = 302,
    /// the platform shows an older state than it did before
    SourceWentBack = 303,
    /// the platform refuses more calls
    SourceOverLimit = 304,
    /// a peer does not answer
    PeerUnreachable = 305,
    /// a peer's message is not understood
    PeerInvalid = 306,
    /// resources from a peer do not match their hash
    PeerHashMismatch = 307,
    /// the node was not running for longer than its view stays fresh
    ClockGap = 308,
    // 400 to 449: the request itself.
    /// no configuration is held yet
    NotConfigured = 401,
    /// no route matches the path
    NoRoute = 402,
    /// the request is malformed
    RequestInvalid = 403,
    /// the request's head or body is too large
    RequestTooLarge = 404,
    /// a request that may not be repeated needs an Idempotency-Key that is a UUID version 7
    KeyMissing = 405,
    /// the deadline has passed
    DeadlinePassed = 406,
    /// the caller has gone away
    CallerGone = 407,
    /// the request went through too many nodes
    TooDeep = 408,
    // 450 to 499: admission, routing and outcome.
    /// the target's queue is full
    QueueFull = 451,
    /// the request waited too long in the queue
    QueueTimeout = 452,
    /// the target is leaving and takes no new work
    Draining = 453,
    /// no target can take the request
    NoTarget = 454,
    /// the request has crashed targets and is held off
    Quarantined = 456,
    /// this node is not the home of the key
    NotHome = 457,
    /// the key's home is moving to another target
    HomeMoving = 458,
    /// a request with this key is still running
    KeyInProgress = 459,
    /// whether a request with this key ran is not known
    KeyOutcomeUnknown = 460,
    /// the target's connection ended without a valid response
    TargetFailed = 461,
    /// the target can't be reached
    TargetUnreachable = 462,
    /// the other node can't be reached
    GatekeeperUnreachable = 463,
    /// the connection broke after the request was forwarded
    AnswerLost = 464,
    /// the node takes no more connections
    TooManyConnections = 465,
    /// the key belongs to a different request
    KeyReused = 466,
    /// calls were still running at the limit of the planned stop, and were cut
    DrainCutCalls = 467,
    /// the target refused the request without running it
    TargetRefused = 468,
    /// another target has taken the address over
    TargetReplaced = 469,
    /// another target has answered the request first
    Overtaken = 470,
    /// the target is in a region where the request may not run
    OutsideRegions = 471,
    /// the target's zone is evacuated
    ZoneEvacuated = 472,
    /// the target is cold and takes no more requests for now
    TargetCold = 473,
    /// the target has stated a rate limit and takes no more requests for now
    TargetLimited = 474,
    /// the entry node has recalled the request before it started
    Recalled = 475,
    /// the route admits no requests
    RouteClosed = 476,
    /// the target's status means not run, and the target does not confirm it
    StatusUnconfirmed = 477,
    // 500 to 599: tools.
    /// a node does not answer
    NodeUnreachable = 501,
    /// the fleet is not at the expected version
    FleetBehind = 502,
    /// an output file can't be written
    OutputFailed = 503,
    /// a node's answer is not understood
    NodeInvalid = 504,
    /// an input file can't be read
    InputUnreadable = 505,
    /// an input file is not valid
    InputInvalid = 506,
}

impl Code {
    /// The number used in logs, headers and documents.
    pub fn number(self) -> u16 {
        self as u16
    }

    pub fn from_number(number: u16) -> Option<Code> {
        Code::ALL.iter().copied().find(|code| code.number() == number)
    }
}

/// An error with its code, location and detail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub code: Code,
    /// Where the error occurred: a file, JSON path, address or name. May be empty.
    pub location: String,
    /// The value found and the values allowed. May be empty.
    pub detail: String,
}

impl Fault {
    pub fn new(code: Code) -> Fault {
        Fault { code, location: String::new(), detail: String::new() }
    }

    pub fn with_location(mut self, location: impl fmt::Display) -> Fault {
        self.location = location.to_string();
        self
    }

    pub fn with_detail(mut self, detail: impl fmt::Display) -> Fault {
        self.detail = detail.to_string();
        self
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{}: {}", self.code.number(), self.code)?;
        if !self.location.is_empty() {
            write!(f, " at {}", self.location)?;
        }
        if !self.detail.is_empty() {
            write!(f, ": {}", self.detail)?;
        }
        Ok(())
    }
}

impl std::error::Error for Fault {}
