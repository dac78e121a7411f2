//! The port to a store in which targets register themselves, apart from the configuration.

use crate::shared::Shared;
use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use sycamore_core::discovery::{Call, ReadError, Reply};

/// What a call to the store comes to.
pub type ReadFuture = Pin<Box<dyn Future<Output = Result<Reply, ReadError>>>>;

/// A store that nodes read. An implementation carries single calls out and decodes what they
/// bring; when to call is decided by [`sycamore_core::discovery::Discovery`].
pub trait Store: Debug {
    /// Makes one call. The future ends by itself at the call's timeout at the latest, and ends the
    /// call when it is dropped.
    fn read(&self, shared: &Arc<Shared>, call: Call) -> ReadFuture;
}
