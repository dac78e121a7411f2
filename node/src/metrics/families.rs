//! Makes and registers families of metrics.

use prometheus::core::Collector;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// First word of every name.
const NAMESPACE: &str = "sycamore";

/// Upper bounds of the times counted together, in seconds: from what a node adds by itself to the
/// longest wait of a caller.
const BUCKETS: [f64; 13] =
    [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Registered families and their names.
#[derive(Debug, Default)]
pub struct Families {
    registry: Registry,
    names: Vec<String>,
}

impl Families {
    /// No family yet.
    pub fn new() -> Families {
        Families::default()
    }

    /// A counter.
    pub fn counter(&mut self, name: &str, help: &str) -> IntCounter {
        self.register(IntCounter::with_opts(options(name, help)))
    }

    /// Counters by labels.
    pub fn counters(&mut self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.register(IntCounterVec::new(options(name, help), labels))
    }

    /// A gauge.
    pub fn gauge(&mut self, name: &str, help: &str) -> IntGauge {
        self.register(IntGauge::with_opts(options(name, help)))
    }

    /// Histograms of times in seconds, by labels.
    pub fn histograms(&mut self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let options = HistogramOpts::new(name, help).namespace(NAMESPACE).buckets(BUCKETS.into());
        self.register(HistogramVec::new(options, labels))
    }

    /// Names of all families. The registry itself only tells of those that have a value.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Everything in Prometheus' text form.
    pub fn to_text(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Writing to memory fails only for a family without metrics, which is left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }

    fn register<T: Collector + Clone + 'static>(&mut self, created: prometheus::Result<T>) -> T {
        let created = created.expect("the name is valid");
        self.names.extend(created.desc().iter().map(|desc| desc.fq_name.clone()));
        self.registry.register(Box::new(created.clone())).expect("the name is registered once");
        created
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace(NAMESPACE)
}
