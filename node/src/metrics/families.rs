//! Creates and registers metric families.

use prometheus::core::Collector;
use prometheus::{
    Encoder, Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

/// Prefix of all metric names.
const NAMESPACE: &str = "sycamore";

/// Histogram bucket bounds in seconds, from the proxy overhead up to the longest client timeout.
const BUCKETS: [f64; 13] =
    [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Registered families and their names.
#[derive(Debug, Default)]
pub struct Families {
    registry: Registry,
    names: Vec<String>,
}

impl Families {
    pub fn new() -> Families {
        Families::default()
    }

    /// Registers a counter.
    pub fn counter(&mut self, name: &str, help: &str) -> IntCounter {
        self.register(IntCounter::with_opts(options(name, help)))
    }

    /// Registers a counter with labels.
    pub fn counters(&mut self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.register(IntCounterVec::new(options(name, help), labels))
    }

    /// Registers a gauge of fractional values.
    pub fn float_gauge(&mut self, name: &str, help: &str) -> Gauge {
        self.register(Gauge::with_opts(options(name, help)))
    }

    /// Registers a gauge.
    pub fn gauge(&mut self, name: &str, help: &str) -> IntGauge {
        self.register(IntGauge::with_opts(options(name, help)))
    }

    /// Registers a histogram of durations in seconds, with labels.
    pub fn histograms(&mut self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let options = HistogramOpts::new(name, help).namespace(NAMESPACE).buckets(BUCKETS.into());
        self.register(HistogramVec::new(options, labels))
    }

    /// Names of all families. The registry itself reports only families that have a value.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn to_text(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Encoding into memory fails only for a family without metrics, and `gather` omits those.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }

    fn register<T: Collector + Clone + 'static>(&mut self, metric: prometheus::Result<T>) -> T {
        let metric = metric.expect("metric name and labels are valid");
        self.names.extend(metric.desc().iter().map(|desc| desc.fq_name.clone()));
        self.registry.register(Box::new(metric.clone())).expect("metric name is unique");
        metric
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace(NAMESPACE)
}
