//! VM placement (region and availability zone) and link classes between placements.

use crate::Name;

json! {
    /// Region and availability zone of a VM.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Place {
        /// Links between regions have high latency and are billed by volume.
        pub region: Name,
        /// Availability zone; unique across all regions.
        pub zone: Name,
    }
}

json! {
    /// Value of the key `zones`: all availability zones, in any order.
    pub struct Zones {
        pub zones: Vec<Place>,
    }
}

kebab_enum! {
    /// Network distance class of a link. Control traffic is counted per class.
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
    /// All classes, nearest first.
    pub const ALL: [Link; 3] = [Link::Zone, Link::Region, Link::CrossRegion];

    /// Label value used in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Link::Zone => "zone",
            Link::Region => "region",
            Link::CrossRegion => "across",
        }
    }
}

impl Place {
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
