//! Reading the settings file again, after a signal or when it has changed without one.

use crate::settings::Settings;
use crate::shared::Shared;
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::event::{Event, EventKind};
use sycamore_core::{Code, Fault, Result};

/// How often the file is looked at. It is about a kilobyte.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The settings file of a running node.
#[derive(Debug)]
pub struct SettingsWatcher {
    path: PathBuf,
    signals: Signals,
    // The text last read, valid or not, so that each change is reported once.
    last_text: Vec<u8>,
}

impl SettingsWatcher {
    /// Follows the file at `path`. From here on the signal no longer ends the process.
    pub fn new(path: &Path) -> Result<SettingsWatcher> {
        let signals = Signals::new([Signal::Hup])
            .map_err(|e| Fault::new(Code::ListenFailed).with_location("signals").with_detail(e))?;
        Ok(SettingsWatcher { path: path.to_owned(), signals, last_text: Vec::new() })
    }

    /// Takes changes of the file up until it is dropped. `changed` is called after each.
    pub async fn run(mut self, shared: Arc<Shared>, on_change: impl Fn()) {
        self.last_text = std::fs::read(&self.path).unwrap_or_default();
        loop {
            let signal = async {
                self.signals.next().await;
                true
            };
            let poll = async {
                shared.clock.sleep(POLL_INTERVAL).await;
                false
            };
            let signalled = future::or(signal, poll).await;
            if self.reload(&shared, signalled) {
                on_change();
            }
        }
    }

    /// Reads the file. Returns whether other settings hold from now on.
    fn reload(&mut self, shared: &Shared, signalled: bool) -> bool {
        let text = std::fs::read(&self.path);
        if !signalled && text.as_ref().is_ok_and(|text| *text == self.last_text) {
            return false;
        }
        let settings = match &text {
            Ok(text) => Settings::parse(text),
            Err(e) => Err(Fault::new(Code::SettingsUnreadable).with_detail(e)),
        };
        // A file that can't be read now is reported once, and again when it can be.
        self.last_text = text.unwrap_or_default();
        let event = Event::new(shared.clock.now(), EventKind::SettingsRead);
        match settings {
            Ok(settings) => {
                shared.record(event);
                shared.update_settings(settings)
            }
            Err(fault) => {
                log::warn!("the settings that hold stay in force: {fault}");
                shared.record(event.with_code(fault.code));
                false
            }
        }
    }
}
