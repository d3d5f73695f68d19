//! The operators' configuration in the form that the front uses.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use mangocross_types::AvailabilityZone;
use mangocross_types::CustomerId;
use mangocross_types::ModelId;
use mangocross_types::ServiceId;

use crate::HomeRegions;

/// Whether requests on a route may be retried, and whether responses are event streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A request that may run more than once.
    Idempotent,
    /// A request that may run at most once.
    NonIdempotent,
    /// An event stream that another server may resume.
    ResumableStream,
    /// An event stream that may run at most once.
    SingleStream,
}

impl RetryPolicy {
    /// Returns whether a request may be sent again if an earlier attempt may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether responses are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::SingleStream)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// Matches requests by host and path prefix, and defines how they are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route; identifies it in logs and across configuration changes.
    pub name: Arc<str>,
    /// Host name to match.
    pub host: Arc<str>,
    /// Path prefix to match; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Maximum time until the end of the response.
    pub timeout: Duration,
    /// Target time to the response, or to the first event of a stream.
    pub target_latency: Duration,
    /// Target for the longest pause between events.
    pub target_event_gap: Duration,
    /// Time without an event after which callers abandon a stream.
    pub event_gap_max: Duration,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Services that receive the route's requests.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of backend servers that one request is sent to.
    pub attempts_max: u32,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
    /// Regions in which requests may be served.
    pub homes: HomeRegions,
}

impl RouteRule {
    /// Chooses a target by weight; `draw` is a random number below 1.
    pub fn choose_target(&self, draw: f64) -> Option<&ServiceId> {
        let total: f64 = self.targets.iter().map(|it| f64::from(it.weight)).sum();
        let mut remaining = draw * total;
        for it in &self.targets {
            remaining -= f64::from(it.weight);
            if remaining < 0.0 {
                return Some(&it.service);
            }
        }
        self.targets.last().map(|it| &it.service)
    }
}

/// A model that groups of an engine service can serve, and its resource needs.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// Model that the groups serve.
    pub model: ModelId,
    /// Number of members in each group of the model.
    pub group_size: usize,
    /// Share of the service's VMs that the model should get.
    pub share: f64,
    /// Factor by which all engine times are multiplied for this model; larger values are slower.
    pub slowdown: f64,
    /// Time to load the weights from the weight store.
    pub load_time: Duration,
    /// Time to load weights that are already staged on the VM.
    pub staged_load_time: Duration,
}

/// Specification of a service's engines: models, batching and weight loading.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Models that groups can serve.
    pub models: Vec<ModelSpec>,
    /// Requests that a group processes concurrently.
    pub slots: u32,
    /// Token steps per engine pass.
    pub stride: u32,
    /// Base time of a token step, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a token step per running request, in milliseconds.
    pub step_per_request_ms: f64,
    /// Prompt tokens processed per second.
    pub read_tokens_per_s: f64,
    /// Mean number of prompt tokens per request.
    pub usual_prompt_tokens: f64,
    /// Mean number of output tokens per request.
    pub usual_answer_tokens: f64,
    /// Weight loads that may start per second, over all VMs.
    pub loads_per_s: f64,
    /// Weight loads that can run concurrently at full speed.
    pub loads_at_once: usize,
    /// Time from the order to open until the group serves requests.
    pub forming_time: Duration,
}

impl EngineSpec {
    /// Returns the specification of a model; `None` if the service's groups don't serve it.
    pub fn model(&self, model: &ModelId) -> Option<&ModelSpec> {
        self.models.iter().find(|it| it.model == *model)
    }
}

/// How long and how much a service's servers are limited after their start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time for which a server is cold.
    pub duration: Duration,
    /// Requests per second that a cold server takes.
    pub per_s: f64,
}

/// Connection limit of a service and, if it serves models, its engines.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendService {
    /// Maximum connections of all entry VMs to one backend server.
    pub connections_max: u32,
    /// Engine specification, if the service serves models.
    pub engine: Option<EngineSpec>,
    /// Limit on new servers, if they have one.
    pub cold_start: Option<ColdStart>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum total size of all headers, in bytes.
    pub header_bytes_max: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes_max: usize,
    /// Maximum time to receive the headers of a request.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// 16 KiB of headers, 4 MiB of body, 3 s to receive headers, 15 s idle.
    fn default() -> Self {
        Self {
            header_bytes_max: 16 << 10,
            body_bytes_max: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The customer that an API key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// Customer to whom the operators gave the key.
    pub customer: CustomerId,
    /// Priority of the customer's requests, if it overrides the route's.
    pub priority: Option<u8>,
    /// Regions in which the customer's requests may be served.
    pub homes: HomeRegions,
}

/// One-way delays of the paths between zones.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ZoneDelays {
    delays: HashMap<(AvailabilityZone, AvailabilityZone), Duration>,
}

impl ZoneDelays {
    /// Records the delay of the path from one zone to another.
    pub fn insert(&mut self, from: AvailabilityZone, to: AvailabilityZone, delay: Duration) {
        self.delays.insert((from, to), delay);
    }

    /// Returns whether no delay is known.
    pub fn is_empty(&self) -> bool {
        self.delays.is_empty()
    }

    /// Returns the delay of the path from one zone to another: that of the path back, or the longest
    /// one, if its own is not known.
    pub fn delay(&self, from: &AvailabilityZone, to: &AvailabilityZone) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        let of = |from: &AvailabilityZone, to: &AvailabilityZone| {
            self.delays.get(&(from.clone(), to.clone())).copied()
        };
        let longest = || self.delays.values().max().copied().unwrap_or_default();
        of(from, to).or_else(|| of(to, from)).unwrap_or_else(longest)
    }
}

/// Parts of a configuration that this VM cannot read. What they are about is not served, and nobody is
/// told that it does not exist.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UnreadableParts {
    /// Host and path prefix of each route.
    pub routes: HashSet<(Arc<str>, Arc<str>)>,
    /// Services.
    pub services: HashSet<ServiceId>,
    /// Whether keys of customers may be missing.
    pub has_customers: bool,
    /// Path of each part, such as `routes[2]`, and why it cannot be read.
    pub reasons: Vec<(String, String)>,
}

/// What a configuration says of a host and a path.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RouteMatch<'a> {
    /// The route that requests go by.
    Route(&'a Arc<RouteRule>),
    /// A route that this VM cannot read.
    Unreadable,
    /// No route matches.
    None,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TrafficConfiguration {
    /// Version; increases with each change.
    pub version: u64,
    /// Services that routes can send requests to, by id.
    pub services: HashMap<ServiceId, BackendService>,
    /// Size and time limits that apply to every caller.
    pub limits: CallerLimits,
    /// Customer of each API key.
    pub keys: HashMap<Arc<str>, KeyHolder>,
    /// Whether requests on routes that are not public need an API key.
    pub needs_keys: bool,
    /// One-way delays of the paths between zones.
    pub zone_delays: ZoneDelays,
    /// What this VM cannot read of it.
    pub unreadable: UnreadableParts,
    routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteRule>>>,
}

impl UnreadableParts {
    fn has_route(&self, host: &str, prefix: &str) -> bool {
        self.routes.iter().any(|(of_host, it)| **of_host == *host && **it == *prefix)
    }
}

impl TrafficConfiguration {
    /// Creates a configuration that contains only these routes.
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

    /// Finds the route of the host with the longest path prefix that matches, if it can be read.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        match self.match_route(host, path) {
            RouteMatch::Route(it) => Some(it),
            RouteMatch::Unreadable | RouteMatch::None => None,
        }
    }

    /// Matches a request with the route of the host with the longest path prefix.
    pub fn match_route(&self, host: &str, path: &str) -> RouteMatch<'_> {
        let of_host = self.routes.get(host);
        for (at, _) in path.match_indices('/').rev() {
            let prefix = &path[..=at];
            if let Some(it) = of_host.and_then(|it| it.get(prefix)) {
                return RouteMatch::Route(it);
            }
            if self.unreadable.has_route(host, prefix) {
                return RouteMatch::Unreadable;
            }
        }
        RouteMatch::None
    }

    /// Returns whether streams for a service come from routes with different priorities.
    pub fn has_stream_priorities(&self, service: &ServiceId) -> bool {
        let leads = |it: &&Arc<RouteRule>| {
            it.retry_policy.is_stream() && it.targets.iter().any(|it| it.service == *service)
        };
        let routes = self.routes.values().flat_map(HashMap::values).filter(leads);
        let mut priorities = routes.map(|it| it.priority);
        let first = priorities.next();
        priorities.any(|it| Some(it) != first)
    }

    /// Returns the engine services and their specifications.
    pub fn engines(&self) -> impl Iterator<Item = (&ServiceId, &EngineSpec)> {
        self.services.iter().filter_map(|(id, it)| Some((id, it.engine.as_ref()?)))
    }
}
