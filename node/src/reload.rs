//! Reloads the settings file on SIGHUP or when its content changes.

use crate::settings::Settings;
use crate::shared::Shared;
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::event::{Event, EventKind};
use sycamore_core::{Code, Fault, Result};

/// Polling interval of the settings file.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the settings file of a running node.
#[derive(Debug)]
pub struct SettingsWatcher {
    path: PathBuf,
    signals: Signals,
    // Content last read, valid or not, so that each change is reported once.
    last_text: Vec<u8>,
}

impl SettingsWatcher {
    /// Creates a watcher for `path` and installs a SIGHUP handler, so that the signal no longer
    /// terminates the process.
    pub fn new(path: &Path) -> Result<SettingsWatcher> {
        let signals = Signals::new([Signal::Hup])
            .map_err(|e| Fault::new(Code::ListenFailed).with_location("signals").with_detail(e))?;
        Ok(SettingsWatcher { path: path.to_owned(), signals, last_text: Vec::new() })
    }

    /// Applies changes of the file until the future is dropped. Calls `on_change` after each.
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

    /// Reads the file. Returns whether the settings changed.
    fn reload(&mut self, shared: &Shared, signalled: bool) -> bool {
        let text = std::fs::read(&self.path);
        if !signalled && text.as_ref().is_ok_and(|text| *text == self.last_text) {
            return false;
        }
        let settings = match &text {
            Ok(text) => Settings::parse(text),
            Err(e) => Err(Fault::new(Code::SettingsUnreadable).with_detail(e)),
        };
        // Cleared on a read error, so that the content is applied once the file is readable again.
        self.last_text = text.unwrap_or_default();
        let event = Event::new(shared.clock.now(), EventKind::SettingsRead);
        match settings {
            Ok(settings) => {
                shared.record(event);
                shared.update_settings(settings)
            }
            Err(fault) => {
                log::warn!("settings reload failed, keeping the current settings: {fault}");
                shared.record(event.with_code(fault.code));
                false
            }
        }
    }
}
