//! The operators' configuration as the front uses it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mangocross_types::CustomerId;
use mangocross_types::ModelId;
use mangocross_types::ServiceId;

/// What may be repeated of a request on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// An event stream that another server may go on with.
    ResumableStream,
    /// An event stream that may run once at most.
    SingleStream,
}

impl RetryPolicy {
    /// Returns whether a request may run again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether answers are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::SingleStream)
    }
}

/// A service that a route sends requests to, and its part of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Part of the requests, relative to the route's other targets.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that requests name.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Longest time a caller waits for the end of its answer.
    pub timeout: Duration,
    /// Time to the answer, or to the first event, that callers aim at.
    pub target_latency: Duration,
    /// Longest pause between events that callers aim at.
    pub target_event_gap: Duration,
    /// Rank of the route; zero goes first.
    pub priority: u8,
    /// Services that take the route's requests.
    pub targets: Vec<RouteTarget>,
    /// Backend servers that one request may be sent to.
    pub attempts_max: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl RouteRule {
    /// Chooses a target by weight; `draw` is a random number below 1.
    pub fn target(&self, draw: f64) -> Option<&ServiceId> {
        let total: u32 = self.targets.iter().map(|it| it.weight).sum();
        let mut left = draw * f64::from(total);
        for it in &self.targets {
            left -= f64::from(it.weight);
            if left < 0.0 {
                return Some(&it.service);
            }
        }
        self.targets.last().map(|it| &it.service)
    }
}

/// A model that groups of an engine service can serve.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// The model.
    pub model: ModelId,
    /// Members of one group.
    pub size: usize,
    /// Part of the service's VMs that the model needs.
    pub share: f64,
    /// Factor on all times of the group.
    pub pace: f64,
    /// Time to load the weights from the weight store.
    pub load: Duration,
    /// Time to load weights that are staged on the VM.
    pub warm: Duration,
}

/// How the engines of a service batch and load.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Models that groups can serve.
    pub models: Vec<ModelSpec>,
    /// Requests that a group works on at once.
    pub slots: u32,
    /// Token steps in one pass of the engine.
    pub stride: u32,
    /// Time of one token step without requests, in milliseconds.
    pub step_ms: f64,
    /// Time that each request adds to a step, in milliseconds.
    pub step_per_request_ms: f64,
    /// Prompt tokens read in a second.
    pub read_tokens_per_s: f64,
    /// Mean prompt tokens of a request.
    pub usual_prompt_tokens: f64,
    /// Mean answer tokens of a request.
    pub usual_answer_tokens: f64,
    /// Loads that may begin in a second, over all VMs.
    pub loads_per_s: f64,
    /// Loads that run side by side at full speed.
    pub loads_at_once: usize,
    /// Time from the order to open until a group serves.
    pub form: Duration,
}

impl EngineSpec {
    /// Returns the model's entry.
    pub fn model(&self, model: &ModelId) -> Option<&ModelSpec> {
        self.models.iter().find(|it| it.model == *model)
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendService {
    /// Connections that one backend server takes from all entry VMs.
    pub connections_max: u32,
    /// Engine figures, where the service serves models.
    pub engine: Option<EngineSpec>,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Size of all headers, in bytes.
    pub header_bytes_max: usize,
    /// Size of a body, in bytes.
    pub body_bytes_max: usize,
    /// Time for the headers of a request.
    pub header_timeout: Duration,
    /// Time that a connection may rest between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// 16 KiB of headers, 4 MiB of body, 3 s for headers, 15 s at rest.
    fn default() -> Self {
        Self {
            header_bytes_max: 16 << 10,
            body_bytes_max: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The customer behind a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// The customer.
    pub customer: CustomerId,
    /// Rank of the customer's requests, where it replaces the route's.
    pub priority: Option<u8>,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TrafficConfiguration {
    /// Version; rises with each change.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<ServiceId, BackendService>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Holder of each key.
    pub keys: HashMap<Arc<str>, KeyHolder>,
    /// Whether requests on routes that are not public need a key.
    pub needs_keys: bool,
    routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteRule>>>,
}

impl TrafficConfiguration {
    /// Returns a configuration with these routes and nothing else.
    pub fn with_routes(version: u64, routes: impl IntoIterator<Item = RouteRule>) -> Self {
        let mut this = Self { version, ..Self::default() };
        for it in routes {
            let of_host = this.routes.entry(Arc::clone(&it.host)).or_default();
            of_host.insert(Arc::clone(&it.path_prefix), Arc::new(it));
        }
        this
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }

    /// Returns whether a route has this name.
    pub fn has_route(&self, name: &str) -> bool {
        self.routes.values().flat_map(HashMap::values).any(|it| it.name.as_ref() == name)
    }

    /// Finds the route of a host with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let of_host = self.routes.get(host)?;
        let slashes = path.match_indices('/').rev();
        slashes.filter_map(|(at, _)| of_host.get(&path[..=at])).next()
    }

    /// Returns the engine services and their figures.
    pub fn engines(&self) -> impl Iterator<Item = (&ServiceId, &EngineSpec)> {
        self.services.iter().filter_map(|(id, it)| Some((id, it.engine.as_ref()?)))
    }
}
