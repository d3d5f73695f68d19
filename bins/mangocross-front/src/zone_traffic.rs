//! Counts the requests that leave their zone, and their bytes.

use mangocross_serving::LeaveReason;
use mangocross_telemetry::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;

/// Counters of the traffic to other zones.
#[derive(Debug)]
pub(crate) struct ZoneTraffic {
    requests: Counter<u64>,
    bytes: Counter<u64>,
}

impl ZoneTraffic {
    pub(crate) fn open(metrics: &Metrics) -> Self {
        Self {
            requests: metrics.counter(
                "front_left_zone",
                "requests sent to backend servers in other zones, by reason",
            ),
            bytes: metrics.counter(
                "front_left_zone_bytes",
                "bytes of requests to other zones and of their answers, by reason",
            ),
        }
    }

    /// Counts a request that leaves the zone, and returns what counts its bytes.
    pub(crate) fn count(&self, reason: LeaveReason) -> LeftZoneBytes {
        let labels = [KeyValue::new("reason", reason.name())];
        self.requests.add(1, &labels);
        LeftZoneBytes { bytes: self.bytes.clone(), labels }
    }
}

/// Counts the bytes that a request sends to and receives from another zone.
#[derive(Debug, Clone)]
pub(crate) struct LeftZoneBytes {
    bytes: Counter<u64>,
    labels: [KeyValue; 1],
}

impl LeftZoneBytes {
    pub(crate) fn add(&self, bytes: usize) {
        self.bytes.add(bytes as u64, &self.labels);
    }
}
