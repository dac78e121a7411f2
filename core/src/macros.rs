//! Macros that apply common sets of derives.

/// Plain data types: `Clone`, `Debug` and equality.
macro_rules! data {
    ($($item:item)*) => { $( #[derive(Clone, Debug, PartialEq, Eq)] $item )* };
}

/// Plain data types serialized as JSON. Unknown fields are rejected.
macro_rules! json {
    ($($item:item)*) => { $(
        #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        $item
    )* };
}

/// Plain data types serialized as JSON. Unknown fields are ignored, so that tools can read the
/// output of newer nodes during a rolling upgrade.
macro_rules! lenient_json {
    ($($item:item)*) => { $(
        #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
        $item
    )* };
}

/// Field-less enums serialized in kebab case.
macro_rules! kebab_enum {
    ($($item:item)*) => { $(
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(rename_all = "kebab-case")]
        $item
    )* };
}

/// Small `Copy` newtypes, such as arena indices and timestamps.
macro_rules! key {
    ($($item:item)*) => { $(
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(serde::Serialize, serde::Deserialize)]
        $item
    )* };
}
