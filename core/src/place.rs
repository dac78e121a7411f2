//! Where a VM is, and how far two places are from each other.

use crate::Name;

json! {
    /// Region and availability zone of a VM.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Place {
        /// Region; links between regions are slow and paid by volume.
        pub region: Name,
        /// Availability zone, unique over all regions.
        pub zone: Name,
    }
}

json! {
    /// Value of the key `zones`: every availability zone.
    pub struct Zones {
        /// The zones, in any order.
        pub zones: Vec<Place>,
    }
}

kebab_enum! {
    /// How far traffic travels; control bytes are counted for each class.
    pub enum Link {
        /// Within one availability zone.
        Zone,
        /// Between two availability zones of one region.
        Region,
        /// Between two regions.
        #[serde(rename = "across")]
        CrossRegion,
    }
}

impl Link {
    /// Every class, nearest first.
    pub const ALL: [Link; 3] = [Link::Zone, Link::Region, Link::CrossRegion];

    /// The name of the class in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Link::Zone => "zone",
            Link::Region => "region",
            Link::CrossRegion => "across",
        }
    }
}

impl Place {
    /// The class of the link between two places.
    pub fn link_to(&self, other: &Place) -> Link {
        if self.region != other.region {
            Link::CrossRegion
        } else if self.zone != other.zone {
            Link::Region
        } else {
            Link::Zone
        }
    }
}
