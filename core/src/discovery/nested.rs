//! Which routes are for calls that targets make while they run a request.

use crate::config::{Class, Preset};

/// Marks the routes of nested calls as gating, for documents that do not say so.
///
/// Marks routes of nested calls, which go before others and have slots kept free: a run whose own
/// calls are turned away fails after it has held a slot, and is tried again.
///
/// A route is for nested calls if its requests must be over before an answer to a request that
/// runs only once is worth less: whoever waits so shortly has another caller waiting behind it.
pub fn mark_gating_routes(preset: &mut Preset) {
    let once = preset.routes.values().filter(|route| !route.idempotent);
    let Some(shortest) = once.map(|route| route.objective_ms).min() else {
        return;
    };
    for route in preset.routes.values_mut() {
        let nested = route.idempotent && route.deadline_ms < shortest;
        if nested && route.class == Class::Interactive {
            route.class = Class::Gating;
        }
    }
}
