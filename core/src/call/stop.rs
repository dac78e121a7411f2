//! Times of a planned stop: until when work may run, and when what is still open is answered.

use crate::Time;
use std::time::Duration;

/// Part of the time until the process is killed that is kept for answers and the exit.
const MAX_EXIT_MARGIN: Duration = Duration::from_millis(500);
const EXIT_MARGIN_DIVISOR: u32 = 12;

/// Time for the last response of a target to reach its caller through two nodes.
const MAX_RESPONSE_MARGIN: Duration = Duration::from_millis(200);
const RESPONSE_MARGIN_DIVISOR: u32 = 10;

/// Time for answers, and for responses that are being sent, after `answer_by`.
const FLUSH_TIME: Duration = Duration::from_millis(250);

data! {
    /// Times of a planned stop.
    #[derive(Copy)]
    pub struct StopPlan {
        /// Until then targets may work on requests. A request that waits then is rejected.
        pub run_by: Time,
        /// When calls without a response are answered by the node itself.
        pub answer_by: Time,
        /// When the process exits, whatever is still open.
        pub exit_by: Time,
    }
}

impl StopPlan {
    /// The plan of a stop that started at `started`, takes `drain_limit` at most, and ends
    /// before the process is killed `kill_after` its start.
    pub fn new(started: Time, drain_limit: Duration, kill_after: Option<Duration>) -> StopPlan {
        let margin_of = |after: Duration| (after / EXIT_MARGIN_DIVISOR).min(MAX_EXIT_MARGIN);
        let longest = kill_after.map_or(drain_limit, |after| after - margin_of(after));
        let answers_after = drain_limit.min(longest);
        let response_margin = (answers_after / RESPONSE_MARGIN_DIVISOR).min(MAX_RESPONSE_MARGIN);
        let flushed_after = answers_after + FLUSH_TIME;
        let exit_after = kill_after
            .map_or(flushed_after, |after| flushed_after.min(after - margin_of(after) / 2));
        StopPlan {
            run_by: started + (answers_after - response_margin),
            answer_by: started + answers_after,
            exit_by: started + exit_after,
        }
    }

    /// The earlier one of each of the times of two plans. A stop is never extended, since targets
    /// have been told when they must end.
    pub fn or_earlier(self, other: StopPlan) -> StopPlan {
        StopPlan {
            run_by: self.run_by.min(other.run_by),
            answer_by: self.answer_by.min(other.answer_by),
            exit_by: self.exit_by.min(other.exit_by),
        }
    }
}
