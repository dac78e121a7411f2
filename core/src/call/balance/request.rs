//! What a target is selected for.

use super::peer::TargetFilter;
use crate::call::Terms;
use crate::config::{Class, ServiceKey};
use crate::{Name, Time};
use std::time::Duration;

/// Parameters of a target selection.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    pub(super) now: Time,
    pub(super) service: ServiceKey,
    pub(super) class: Class,
    pub(super) rank: u8,
    pub(super) tried: &'a [Name],
    pub(super) regions: &'a [Name],
    pub(super) filter: TargetFilter,
    // Time left until the objective.
    pub(super) time_left: Duration,
}

impl<'a> PickRequest<'a> {
    pub fn new(now: Time, service: ServiceKey, terms: &Terms) -> PickRequest<'a> {
        let (class, rank, filter) = (terms.class, terms.rank, TargetFilter::Healthy);
        let time_left = terms.objective.since(now);
        PickRequest { now, service, class, rank, tried: &[], regions: &[], filter, time_left }
    }

    /// Excludes targets outside `regions`, unless it is empty.
    pub fn with_regions(self, regions: &'a [Name]) -> PickRequest<'a> {
        PickRequest { regions, ..self }
    }

    /// Excludes targets that have been tried.
    pub fn with_tried(self, tried: &'a [Name]) -> PickRequest<'a> {
        PickRequest { tried, ..self }
    }

    /// Also accepts targets that are failing.
    pub(super) fn with_failing(self) -> PickRequest<'a> {
        PickRequest { filter: TargetFilter::NotDraining, ..self }
    }
}
