//! Detects the rest of a body behind the end of its response.
//!
//! A body with too small a length looks complete; the rest of it arrives behind its end. A target may
//! also send another response there, which belongs to no request and says nothing about the first.

use futures_lite::future;
use hyper::client::conn::http1;
use hyper::rt::{Read, Write};
use parking_lot::Mutex;
use std::error::Error;
use std::task::{Poll, ready};

/// What a response begins with.
const VERSION_PREFIX: &[u8] = b"HTTP/1.";

/// What followed the last response of a connection.
#[derive(Debug, Default)]
pub struct ResponseEnd {
    // Locked while the connection is polled. hyper delivers the end of a response and looks for
    // trailing data in the same poll, so a reader of that end finds the result here.
    has_rest: Mutex<bool>,
}

impl ResponseEnd {
    /// Whether data that may be the rest of the body has arrived behind the response.
    pub fn has_rest(&self) -> bool {
        *self.has_rest.lock()
    }

    /// Runs a connection until it ends. Returns its socket, unless the connection has failed.
    pub async fn run<T, B>(&self, connection: http1::Connection<T, B>) -> Option<T>
    where
        T: Read + Write + Unpin,
        B: hyper::body::Body + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let mut connection = Some(connection);
        future::poll_fn(|cx| {
            let mut has_rest = self.has_rest.lock();
            let end = match &mut connection {
                Some(connection) => ready!(connection.poll_without_shutdown(cx)),
                None => return Poll::Ready(None),
            };
            let parts = connection.take().map(http1::Connection::into_parts);
            *has_rest = parts.as_ref().is_some_and(|parts| is_rest_of_body(&parts.read_buf));
            Poll::Ready(parts.filter(|_| end.is_ok()).map(|parts| parts.io))
        })
        .await
    }
}

/// Whether data behind a response is neither the beginning of another one nor the empty lines that some
/// senders put between messages.
fn is_rest_of_body(trailing: &[u8]) -> bool {
    let mut message = trailing;
    while let Some(next) = message.strip_prefix(b"\r\n") {
        message = next;
    }
    let prefix = &message[..message.len().min(VERSION_PREFIX.len())];
    !VERSION_PREFIX.starts_with(prefix)
}
