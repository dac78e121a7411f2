//! Breadth-first exploration of the orders of events in a model.

use std::collections::HashSet;

/// A model in which events happen one after another.
pub trait Model {
    type Event: Copy;

    fn apply(&mut self, event: Self::Event);

    fn possible_events(&self) -> Vec<Self::Event>;

    /// Equal for orders that lead to the same state.
    fn state_key(&self) -> String;

    /// What the state violates.
    fn violation(&self) -> Option<String>;
}

/// Result of an exploration.
#[derive(Debug)]
pub struct Exploration<E> {
    pub states: usize,
    /// The first violation and the order that leads to it.
    pub violation: Option<(String, Vec<E>)>,
}

/// Explores the orders that begin with `first`, with `depth` further events, up to a violation. Calls
/// `visit` once for each state.
pub fn explore<M: Model>(
    new: impl Fn() -> M,
    first: &[M::Event],
    depth: usize,
    mut visit: impl FnMut(&M),
) -> Exploration<M::Event> {
    let mut exploration = Exploration { states: 0, violation: None };
    let mut seen = HashSet::new();
    let mut frontier: Vec<Vec<M::Event>> = vec![first.to_vec()];
    for length in 0..=depth {
        let mut next = Vec::new();
        for order in frontier {
            let mut model = new();
            order.iter().for_each(|event| model.apply(*event));
            if !seen.insert(model.state_key()) {
                continue;
            }
            exploration.states += 1;
            visit(&model);
            if let Some(violation) = model.violation() {
                exploration.violation = Some((violation, order));
                return exploration;
            }
            if length < depth {
                for event in model.possible_events() {
                    next.push(order.iter().copied().chain([event]).collect());
                }
            }
        }
        frontier = next;
    }
    exploration
}
