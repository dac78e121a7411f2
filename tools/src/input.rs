//! Reads input files of the tools.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use std::path::Path;
use sycamore_core::{Code, Fault, Result};

/// Reads a file into memory.
pub fn read(path: &Path) -> Result<Bytes> {
    std::fs::read(path)
        .map(Bytes::from)
        .map_err(|e| Fault::new(Code::InputUnreadable).with_location(path.display()).with_detail(e))
}

/// Reads a JSON file. The location of a fault consists of the file and the JSON path.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T> {
    parse_json(&read(path)?, Code::InputInvalid).map_err(|fault| in_file(path, fault))
}

/// Parses JSON text. A fault has the given code, and the JSON path as its location.
pub fn parse_json<T: DeserializeOwned>(buf: &[u8], code: Code) -> Result<T> {
    let deserializer = &mut serde_json::Deserializer::from_slice(buf);
    let value = serde_path_to_error::deserialize(&mut *deserializer).map_err(|e| {
        let location = e.path().to_string();
        Fault::new(code).with_location(location).with_detail(e.into_inner())
    })?;
    deserializer.end().map_err(|e| Fault::new(code).with_detail(e))?;
    Ok(value)
}

/// Prepends the file to the location of a fault.
pub fn in_file(path: &Path, fault: Fault) -> Fault {
    let location = match fault.location.is_empty() {
        true => path.display().to_string(),
        false => format!("{}: {}", path.display(), fault.location),
    };
    fault.with_location(location)
}
