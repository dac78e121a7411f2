//! Call path benchmarks, compared with direct calls and with a naive proxy.

pub mod cluster;
pub mod latency;
pub mod naive;
pub mod overload;
pub mod slopes;
pub mod timeseries;
