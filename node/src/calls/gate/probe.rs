//! Health requests to the local target.

use super::GateAdapter;
use crate::calls::body::Body;
use crate::calls::headers;
use hyper::body::Body as _;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use sycamore_core::call::Statement;
use sycamore_core::call::gatekeeper::Input;

/// Timeout of a health request.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

impl GateAdapter {
    /// Asks the target for its state. A request that fails is repeated on demand of the
    /// state machine, which learns if there is no target.
    pub(super) async fn probe(self: Arc<GateAdapter>) {
        let deadline = self.shared.clock.now() + PROBE_TIMEOUT;
        let probed = self.shared.with_deadline(deadline, self.request_health()).await.flatten();
        match probed {
            Some((cold_left, statement)) => {
                self.handle_input(Input::Probed { cold_left, statement });
            }
            None if self.target_gone().await => self.handle_input(Input::ProbeRefused),
            None => {}
        }
    }

    async fn request_health(&self) -> Option<(Option<Duration>, Statement)> {
        let address = self.shared.settings.target_address?;
        let path = self.shared.own_limits()?.health_path?;
        let host = HeaderValue::from_static("target");
        let req = Request::get(path).header(HOST, host).body(Body::empty()).ok()?;
        let sent = AtomicBool::new(false);
        let (response, connection) = self.pool.send(address, req, &sent).await.ok()?;
        if response.body().is_end_stream() {
            connection.release();
        }
        let statement = headers::statement(response.headers(), &self.shared.dialect);
        Some((self.cold_left(&response), statement))
    }

    fn cold_left<B>(&self, response: &Response<B>) -> Option<Duration> {
        match response.headers().get(&self.shared.dialect.cold_time) {
            Some(value) => {
                let ms: f64 = value.to_str().ok()?.trim().parse().ok()?;
                Duration::try_from_secs_f64(ms / 1_000.0).ok()
            }
            // A healthy target without the header is warm.
            None => response.status().is_success().then_some(Duration::ZERO),
        }
    }
}
