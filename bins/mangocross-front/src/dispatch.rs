//! Authorizes callers' requests and routes them to services.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use http::header;
use http::request::Parts;
use hyper::body::Incoming;
use mangocross_http::BodyParts;
use mangocross_http::BudgetClient;
use mangocross_platform::CallerHead;
use mangocross_platform::ForwardHead;
use mangocross_serving::CrashCause;
use mangocross_serving::KeyHolder;
use mangocross_serving::RequestIdentity;
use mangocross_serving::RouteMatch;
use mangocross_serving::RouteRule;
use mangocross_serving::TrafficConfiguration;
use mangocross_types::PromptPartId;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::ServiceId;
use mangocross_types::VmId;
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::body_reader;
use crate::body_reader::BodyError;
use crate::body_reader::NO_MEMORY_REASON;
use crate::connection::RequestGuard;
use crate::outcome::RequestRecord;
use crate::peer_forwarding;
use crate::peer_forwarding::PASSED_ON_BY;
use crate::plain;
use crate::state::AppState;
use crate::stream;
use crate::unreadable_configuration::UNREADABLE_REASON;
use crate::unreadable_configuration::unreadable_part_refusal;
use crate::zone_routing::RequestZone;

/// Retry-After while this VM has no recent configuration to check keys with.
const NOT_FRESH_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry-After during shutdown; the caller reaches another entry VM.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Retry-After of a request for whose body no memory is left; by then other bodies have ended.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Multiple of its target latency that a plain request takes at the most, with hardly an exception.
const PLAIN_TARGETS_MAX: u32 = 4;

/// Maximum number of a prompt's parts in a log line.
const LOGGED_PARTS_MAX: usize = 8;

/// An authorized request, with what is needed to forward it.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) state: Rc<AppState>,
    pub(crate) configuration: Arc<TrafficConfiguration>,
    pub(crate) route: Arc<RouteRule>,
    pub(crate) service: ServiceId,
    pub(crate) holder: Option<KeyHolder>,
    pub(crate) caller_head: CallerHead,
    pub(crate) parts: Parts,
    pub(crate) body: BodyParts,
    /// Whom the body and the answer are charged to.
    pub(crate) client: BudgetClient,
    /// What may crash servers: the request, and the shared parts of its prompt.
    pub(crate) crash_causes: Vec<CrashCause>,
    /// When the caller's deadline or the route's timeout ends.
    pub(crate) ends_at: Instant,
    /// Time between the caller's first attempt and this one.
    pub(crate) waited_before: Duration,
    /// Whether another entry VM passed the request on to this one.
    pub(crate) is_passed_on: bool,
    /// Whether the request is among those that leave the zone.
    pub(crate) zone: RequestZone,
    pub(crate) record: RequestRecord,
}

/// Returns shared parts of a prompt for a log line.
pub(crate) fn logged_parts(parts: &[PromptPartId]) -> String {
    let parts: Vec<String> = parts.iter().take(LOGGED_PARTS_MAX).map(ToString::to_string).collect();
    parts.join(" ")
}

impl Call {
    /// Returns the time left until the deadline, or until the last answers before the exit of a
    /// stopping process.
    pub(crate) fn time_left(&self) -> Duration {
        let left = self.ends_at.saturating_duration_since(Instant::now());
        self.state.time_until_exit().map_or(left, |it| it.min(left))
    }

    /// Returns the priority of the request; zero is served first.
    pub(crate) fn priority(&self) -> u8 {
        let customer_priority = self.holder.as_ref().and_then(|it| it.priority);
        customer_priority.unwrap_or(self.route.priority).min(9)
    }

    /// Describes the break of a stream: why, how far the server had come, and what the prompt shares
    /// with other requests.
    pub(crate) fn break_detail(&self, reason: &str, events: u32) -> String {
        format!(
            "{reason}; events {events}; shared parts {}",
            logged_parts(&self.caller_head.shared_parts)
        )
    }

    /// Returns the request to send to a backend server.
    pub(crate) fn backend_request(
        &self,
        server: &VmId,
        last_event_id: Option<u64>,
        priority: Option<u8>,
    ) -> Request<BodyParts> {
        let forward_head = ForwardHead {
            time_left: self.time_left(),
            server: server.clone(),
            customer: self.holder.as_ref().map(|it| it.customer.clone()),
            last_event_id,
            priority,
        };
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        *request.headers_mut() = forward_head.headers(&self.parts.headers);
        request
    }
}

/// Who sent a request to this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestSender {
    /// A caller.
    Caller,
    /// Another entry VM, which reaches no servers.
    EntryVm,
}

/// Authorizes a caller's request and serves it from its route's service.
pub(crate) async fn serve_request(
    state: Rc<AppState>,
    mut request: Request<Incoming>,
    request_guard: RequestGuard,
    sender: RequestSender,
) -> Response<AnswerBody> {
    // Only another entry VM may set it.
    request.headers_mut().remove(&PASSED_ON_BY);
    let record = RequestRecord::new(&state, state.now());
    let is_stopping = state.is_stopping();
    let (mut response, record) =
        match authorize_request(state, request, record, sender, request_guard.client()).await {
            Ok(call) if call.is_passed_on && call.state.is_cut_off() => {
                (peer_forwarding::refuse_passed_on(&call.record), Some(call.record))
            }
            // Their memory is allocated only once a body is complete, since bodies may be many and slow.
            Ok(call) if call.needs_peer() => Box::pin(peer_forwarding::serve(call)).await,
            Ok(call) if call.route.retry_policy.is_stream() => Box::pin(stream::serve(call)).await,
            Ok(call) => Box::pin(plain::serve(call)).await,
            Err(refused) => (refused.0, Some(refused.1)),
        };
    if is_stopping {
        response
            .headers_mut()
            .insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    response.map(|it| it.with_guards(record, request_guard))
}

type Refused = Box<(Response<AnswerBody>, RequestRecord)>;

/// Finds the route and the customer of a request, checks its key and reads its body.
async fn authorize_request(
    state: Rc<AppState>,
    request: Request<Incoming>,
    mut record: RequestRecord,
    sender: RequestSender,
    client: &BudgetClient,
) -> Result<Call, Refused> {
    let (parts, body) = request.into_parts();
    let caller_head = CallerHead::read(&parts.headers);
    record.id = caller_head.attempt_id.clone();
    let refuse = |record: RequestRecord, refusal: Refusal, reason| {
        Err(Box::new((record.refuse(&refusal, reason), record)))
    };
    let is_ambiguous = parts.headers.contains_key(header::TRANSFER_ENCODING)
        && parts.headers.contains_key(header::CONTENT_LENGTH);
    if is_ambiguous {
        let refusal = Refusal::not_run(ResultCode::MalformedRequest, "the body has two lengths");
        return refuse(record, refusal, "body with two lengths");
    }
    let Some(configuration) = state.configuration() else {
        let refusal = Refusal::not_run(ResultCode::NotFresh, "no configuration is known yet");
        return refuse(record, refusal.retry_after(NOT_FRESH_RETRY_AFTER), "no configuration");
    };
    record.configuration_version = configuration.version;
    if let Some(refusal) = state.unreadable_refusal() {
        return refuse(record, refusal, UNREADABLE_REASON);
    }
    let is_fresh = state.is_fresh(record.received_at);
    let host = parts.headers.get(header::HOST).and_then(|it| it.to_str().ok()).unwrap_or_default();
    let route = match configuration.match_route(host, parts.uri.path()) {
        RouteMatch::Route(it) => Arc::clone(it),
        RouteMatch::Unreadable => {
            return refuse(record, unreadable_part_refusal(), "route not readable");
        }
        RouteMatch::None if !is_fresh => {
            return refuse(record, not_fresh_refusal(), "configuration not proved fresh");
        }
        RouteMatch::None => {
            let refusal =
                Refusal::not_run(ResultCode::UnknownRoute, "no route has this host and path");
            return refuse(record, refusal, "no route");
        }
    };
    record.route = Some(Arc::clone(&route.name));
    let holder = match key_holder(&configuration, &route, &caller_head, is_fresh) {
        Ok(it) => it,
        Err((refusal, reason)) => return refuse(record, refusal, reason),
    };
    record.customer = holder.as_ref().map(|it| it.customer.clone());
    let Some(service) = route.choose_target(fastrand::f64()).cloned() else {
        let refusal = Refusal::not_run(ResultCode::NoCompleteGroup, "the route has no service");
        return refuse(record, refusal.retry_after(NOT_FRESH_RETRY_AFTER), "no service");
    };
    if configuration.unreadable.services.contains(&service) {
        return refuse(record, unreadable_part_refusal(), "service not readable");
    }
    let wait = caller_head.deadline.unwrap_or(route.timeout).min(route.timeout);
    let wait = wait.saturating_sub(record.age());
    let longest = match route.retry_policy.is_stream() {
        true => wait,
        false => wait.min(route.target_latency * PLAIN_TARGETS_MAX),
    };
    if state.is_too_late_for(longest) {
        let refusal = Refusal::not_run(ResultCode::Stopping, "this entry VM is stopping");
        return refuse(record, refusal.retry_after(STOPPING_RETRY_AFTER), "stopping");
    }
    // Whoever is accepted gets an answer before the exit.
    let wait = state.time_until_exit().map_or(wait, |it| it.min(wait));
    let ends_at = Instant::now() + wait;
    // The entry VM that serves the request counts it.
    if sender == RequestSender::EntryVm || !state.is_cut_off() {
        state.count_request(&service);
    }
    let waited_before = match caller_head.deadline {
        Some(it) => state.view.borrow_mut().deadlines.record_and_estimate_elapsed(&route.name, it),
        None => Duration::ZERO,
    };
    let body_bytes_max = configuration.limits.body_bytes_max;
    let body = match body_reader::read_request(body, body_bytes_max, client, ends_at).await {
        Ok(it) => it,
        Err(BodyError::TooLarge) => {
            let refusal = Refusal::not_run(ResultCode::BodyTooLarge, "the body is too large");
            return refuse(record, refusal, "body too large");
        }
        Err(BodyError::Broken) => {
            let refusal = Refusal::not_run(ResultCode::MalformedRequest, "the body broke off");
            return refuse(record, refusal, "body broke off");
        }
        Err(BodyError::NoMemory) => {
            let refusal = Refusal::not_run(ResultCode::Overloaded, NO_MEMORY_REASON);
            return refuse(record, refusal.retry_after(NO_MEMORY_RETRY_AFTER), NO_MEMORY_REASON);
        }
        Err(BodyError::TooSlow) => {
            let refusal = Refusal::not_run(ResultCode::SlowSender, "the body came too slowly");
            return refuse(record, refusal, "body too slow");
        }
    };
    let target = parts.uri.path_and_query().map_or("", |it| it.as_str());
    let customer = record.customer.as_ref();
    let identity =
        RequestIdentity::of_parts(parts.method.as_str(), host, target, customer, body.parts());
    record.identity = Some(identity);
    let parts_of_prompt = caller_head.shared_parts.iter().copied().map(CrashCause::Part);
    let crash_causes = parts_of_prompt.chain([CrashCause::Request(identity)]).collect();
    Ok(Call {
        state,
        configuration,
        route,
        service,
        holder,
        caller_head,
        parts,
        body,
        client: client.clone(),
        crash_causes,
        ends_at,
        waited_before,
        is_passed_on: sender == RequestSender::EntryVm,
        zone: RequestZone::new(fastrand::f64()),
        record,
    })
}

fn not_fresh_refusal() -> Refusal {
    Refusal::not_run(ResultCode::NotFresh, "the configuration is not proved fresh")
        .retry_after(NOT_FRESH_RETRY_AFTER)
}

/// Returns the holder of the request's key if the route needs one.
fn key_holder(
    configuration: &TrafficConfiguration,
    route: &RouteRule,
    caller_head: &CallerHead,
    is_fresh: bool,
) -> Result<Option<KeyHolder>, (Refusal, &'static str)> {
    if route.is_public || !configuration.needs_keys {
        return Ok(None);
    }
    if !is_fresh {
        return Err((not_fresh_refusal(), "configuration not proved fresh"));
    }
    let found = caller_head.key.as_ref().and_then(|it| configuration.keys.get(it));
    // The key may be that of a customer who cannot be read.
    if found.is_none() && caller_head.key.is_some() && configuration.unreadable.has_customers {
        return Err((unreadable_part_refusal(), "customers not readable"));
    }
    let refusal = || Refusal::not_run(ResultCode::CustomerKeyUnknown, "the key is not known");
    found.cloned().map(Some).ok_or_else(|| (refusal(), "key not known"))
}
