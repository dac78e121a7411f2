//! Common sets of derives, so that each type states only what kind of type it is.

/// Plain data: cloned, compared and printed.
macro_rules! data {
    ($($item:item)*) => { $( #[derive(Clone, Debug, PartialEq, Eq)] $item )* };
}

/// Plain data that is read from and written to JSON; unknown fields are refused.
macro_rules! json {
    ($($item:item)*) => { $(
        #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        $item
    )* };
}

/// What a node tells operators of itself, in JSON. Unknown fields are passed over, so that tools
/// read nodes of later releases while a fleet is upgraded.
macro_rules! lenient_json {
    ($($item:item)*) => { $(
        #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
        $item
    )* };
}

/// A small closed set written to JSON in kebab case.
macro_rules! kebab_enum {
    ($($item:item)*) => { $(
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(rename_all = "kebab-case")]
        $item
    )* };
}

/// A small `Copy` key: an index into an arena, or a number that is only compared.
macro_rules! key {
    ($($item:item)*) => { $(
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(serde::Serialize, serde::Deserialize)]
        $item
    )* };
}
