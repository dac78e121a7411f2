//! Names of VMs, zones, services, routes and presets.

use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::fmt;

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// An identifier of 1 to [`MAX_NAME_BYTES`] printable ASCII characters without spaces. Clones share
/// one buffer.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Name(Bytes);

impl Name {
    /// Validates a name. Returns `None` if it is empty, too long or not printable ASCII.
    pub fn new(buf: impl Into<Bytes>) -> Option<Name> {
        let buf = buf.into();
        let fits = !buf.is_empty() && buf.len() <= MAX_NAME_BYTES;
        (fits && buf.iter().all(u8::is_ascii_graphic)).then_some(Name(buf))
    }

    /// Creates a name from a literal, which must be valid.
    pub const fn from_static(text: &'static str) -> Name {
        debug_assert!(!text.is_empty() && text.len() <= MAX_NAME_BYTES);
        Name(Bytes::from_static(text.as_bytes()))
    }

    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    pub fn as_str(&self) -> &str {
        // `new` accepts only ASCII, so the conversion never fails.
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self.as_str(), f)
    }
}

impl Serialize for Name {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Name, D::Error> {
        let text = String::deserialize(deserializer)?;
        Name::new(text).ok_or_else(|| {
            de::Error::custom("a name must be 1 to 128 printable ASCII characters without spaces")
        })
    }
}
