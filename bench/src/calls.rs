//! Benches of the call path, against callers' direct calls and against a naive proxy.

pub mod cluster;
pub mod latency;
pub mod naive;
pub mod overload;
pub mod slopes;
pub mod timeseries;
