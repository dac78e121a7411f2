//! Detection of routes that serve nested calls, which targets make while they run a request.

use crate::config::{Class, Preset};

/// Sets the class of routes that serve nested calls to [`Class::Gating`] where the document does
/// not.
///
/// Gating requests take precedence and have slots reserved: if a nested call is rejected, the outer
/// request fails after having occupied a slot, and is retried.
///
/// An idempotent route is taken to serve nested calls if its deadline is shorter than the objective
/// of every non-idempotent route: a caller with so short a deadline is itself serving a request.
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
