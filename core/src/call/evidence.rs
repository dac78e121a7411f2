//! What the statement that a request has not run rests on.

use crate::Code;

data! {
    /// Who or what shows that an attempt has not run and never will.
    #[derive(Copy)]
    pub enum Evidence {
        /// The sender still holds the request: no byte of it was handed to a connection.
        Unsent,
        /// The listener closed the connection before it read a request.
        Listener,
        /// The gatekeeper has not started it.
        Gatekeeper,
        /// The gatekeeper has not started it when asked, and will reject it.
        Recall,
        /// The target says that it has not run it.
        Target,
    }
}

impl Evidence {
    /// What a gatekeeper's rejection with this code rests on.
    pub fn of_rejection(code: Code) -> Evidence {
        match code {
            Code::TooManyConnections => Evidence::Listener,
            Code::Recalled => Evidence::Recall,
            Code::TargetRefused | Code::TargetReplaced => Evidence::Target,
            Code::TargetUnreachable | Code::GatekeeperUnreachable => Evidence::Unsent,
            _ => Evidence::Gatekeeper,
        }
    }

    /// Label in log lines.
    pub fn label(self) -> &'static str {
        match self {
            Evidence::Unsent => "unsent",
            Evidence::Listener => "listener",
            Evidence::Gatekeeper => "gatekeeper",
            Evidence::Recall => "recall",
            Evidence::Target => "target",
        }
    }
}
