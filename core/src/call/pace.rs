//! How long work takes at a target at the moment, compared with the usual time.

use std::time::Duration;

/// How long an unusual pace lasts. It decays to the usual one over this time.
const DURATION: Duration = Duration::from_secs(1);

key! {
    /// Pace of a target's work relative to its usual pace.
    pub struct Pace {
        /// Time that work takes, in percent of the usual time.
        pub percent: u32,
    }
}

impl Pace {
    pub const USUAL: Pace = Pace { percent: 100 };

    /// The pace expected some time after this one was observed.
    pub fn after(self, age: Duration) -> Pace {
        let left = DURATION.saturating_sub(age).as_millis() as u64;
        let decay = |unusual: u32| (u64::from(unusual) * left / DURATION.as_millis() as u64) as u32;
        let percent = match self.percent > 100 {
            true => 100 + decay(self.percent - 100),
            false => 100 - decay(100 - self.percent),
        };
        Pace { percent }
    }

    /// Scales a usual time to this pace, observed `age` ago.
    pub fn scale(self, usual: Duration, age: Duration) -> Duration {
        usual * self.after(age).percent / 100
    }
}
