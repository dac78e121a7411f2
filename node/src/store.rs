//! Interface to a store in which targets register themselves.

use crate::shared::Shared;
use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use sycamore_core::discovery::{Call, ReadError, Reply};

/// Future of a store call.
pub type ReadFuture = Pin<Box<dyn Future<Output = Result<Reply, ReadError>>>>;

/// A store that nodes read. Implementations execute individual calls and decode the responses;
/// [`sycamore_core::discovery::Discovery`] schedules them.
pub trait Store: Debug {
    /// Executes one call. The future resolves within the call's timeout, and dropping it cancels
    /// the call.
    fn read(&self, shared: &Arc<Shared>, call: Call) -> ReadFuture;
}
