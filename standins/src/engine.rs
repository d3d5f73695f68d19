//! Stand-in for a model engine.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use mangocross_http::BodyStream;
use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_http::HttpServer;
use mangocross_http::ServerLimits;
use mangocross_http::ServerRequest;
use mangocross_types::AttemptId;
use mangocross_types::BackendReport;
use mangocross_types::CommandId;
use mangocross_types::EngineRole;
use mangocross_types::EngineState;
use mangocross_types::FencingNumber;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::ModelVersion;
use mangocross_types::Order;
use mangocross_types::OrderAnswer;
use mangocross_types::OrderKind;
use mangocross_types::Rank;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::TokenIndex;
use mangocross_types::VmId;
use peer_engine::CacheEvents;
use peer_engine::CachePosition;
use peer_engine::FinishReason;
use peer_engine::GenerateLine;
use peer_engine::GenerateRequest;
use peer_engine::ProbeAnswer;
use peer_engine::PromptPrefix;
use serde::Deserialize;
use serde::Serialize;

use crate::Faulty;
use crate::control::lock;
use crate::control::pause;
use crate::prefix_cache::PrefixCache;

/// Time for which a frozen engine keeps its caller waiting, in milliseconds.
const FROZEN_MS: u64 = 30_000;
/// Time between looks at whether a fetch goes on, in milliseconds.
const FETCH_LOOK_MS: u64 = 10;
/// Factor by which a straggler is slower.
const STRAGGLER_FACTOR: u64 = 50;
/// Requests that an engine runs at once.
const RUNNING_MAX: u32 = 256;

/// Properties of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The VM.
    pub vm: VmId,
    /// Time to load weights that are not on the VM, in milliseconds.
    pub load_ms: u64,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
    /// Weight store to ask before a load, if any.
    pub weight_store: Option<SocketAddr>,
    /// Whether old fencing numbers are refused.
    pub honours_fence: bool,
    /// Prompt prefixes that the cache holds.
    pub cached_prefixes_max: usize,
}

impl EngineOptions {
    /// Returns the properties of a quick engine.
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            load_ms: 100,
            first_token_ms: 20,
            token_ms: 5,
            weight_store: None,
            honours_fence: false,
            cached_prefixes_max: 64,
        }
    }
}

/// Faults of an engine.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Answers nothing at all.
    pub frozen: bool,
    /// Fails every call at once, as a VM without its engine.
    pub dead: bool,
    /// Answers probes and works many times slower, without progress in its report.
    pub straggler: bool,
    /// Says that it is leaving.
    pub leaving: bool,
    /// Goes silent after this many tokens.
    pub silent_after: Option<u32>,
    /// Ends the answer without its end marker after this many tokens.
    pub cut_after: Option<u32>,
    /// Echoes another attempt from this token on.
    pub swap_after: Option<u32>,
    /// Sends this token twice.
    pub repeat_token: Option<u32>,
    /// Leaves out this token.
    pub skip_token: Option<u32>,
    /// Carries out orders this much later, in milliseconds.
    pub order_delay_ms: u64,
    /// Carries out orders after their deadline too.
    pub ignore_deadline: bool,
    /// Age of the load figures in reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Age from which on cache events are published, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Publishes one cache event in so many never; zero publishes all.
    pub cache_event_lose_each: u64,
}

/// A running engine; clones are handles to the same one.
#[derive(Clone)]
pub struct EngineStandin {
    server: Arc<HttpServer>,
    state: Arc<State>,
}

struct State {
    options: EngineOptions,
    member: Mutex<Member>,
    cache: Mutex<PrefixCache>,
    faults: Faulty<EngineFaults>,
    client: HttpClient,
}

/// What the engine believes of itself.
struct Member {
    state: EngineState,
    group: Option<GroupId>,
    incarnation: Incarnation,
    rank: Rank,
    role: EngineRole,
    model_version: Option<ModelVersion>,
    cached_versions: Vec<ModelVersion>,
    running: u32,
    steps: u64,
    fencing_number: FencingNumber,
    orders_seen: HashSet<CommandId>,
    cancelled: HashSet<AttemptId>,
    /// Recent load figures with their times, oldest first.
    loads: Vec<(Instant, u32)>,
    /// Rises with each change of membership; ends work of the one before.
    membership: u64,
    /// The fetch of weights under way.
    fetch: Option<Fetch>,
    fetches: u64,
}

/// A fetch of weights; another one in its place ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Fetch {
    number: u64,
    model_version: ModelVersion,
}

#[derive(Debug, Deserialize)]
struct CancelBody {
    attempt_id: AttemptId,
}

impl EngineStandin {
    /// Binds an address and serves an engine that is in no group.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(address: SocketAddr, options: EngineOptions) -> io::Result<Self> {
        let cache = PrefixCache::new(options.cached_prefixes_max);
        let state = Arc::new(State {
            cache: Mutex::new(cache),
            options,
            member: Mutex::new(Member::idle()),
            faults: Faulty::default(),
            client: HttpClient::open(),
        });
        let serving = Arc::clone(&state);
        let server = HttpServer::bind(
            address,
            ServerLimits::default(),
            move |it| serve(&serving, it),
            |it| it.respond(503, &[("x-run-outcome", "not_run")], b"too many calls".to_vec()),
        )?;
        Ok(Self { server: Arc::new(server), state })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the fault switches and counts.
    pub fn faults(&self) -> &Faulty<EngineFaults> {
        &self.state.faults
    }

    /// Forgets everything, as an engine does that is restarted on its VM; its work ends.
    pub fn restart_empty(&self) {
        let mut member = lock(&self.state.member);
        let (membership, fetches) = (member.membership + 1, member.fetches);
        *member = Member { membership, fetches, ..Member::idle() };
        lock(&self.state.cache).clear();
    }

    /// Returns what the engine reports of itself, faults left aside.
    pub fn report(&self) -> BackendReport {
        self.state.report()
    }
}

impl Member {
    fn idle() -> Self {
        Self {
            state: EngineState::Idle,
            group: None,
            incarnation: Incarnation(0),
            rank: Rank(0),
            role: EngineRole::Serving,
            model_version: None,
            cached_versions: Vec::new(),
            running: 0,
            steps: 0,
            fencing_number: FencingNumber(0),
            orders_seen: HashSet::new(),
            cancelled: HashSet::new(),
            loads: Vec::new(),
            membership: 0,
            fetch: None,
            fetches: 0,
        }
    }

    fn begin_fetch(&mut self, model_version: ModelVersion) -> Fetch {
        self.fetches += 1;
        let fetch = Fetch { number: self.fetches, model_version };
        self.fetch = Some(fetch.clone());
        fetch
    }

    fn is_in(&self, group: &GroupId, incarnation: Incarnation) -> bool {
        self.group.as_ref() == Some(group) && self.incarnation == incarnation
    }

    fn change_load(&mut self, by: i32) {
        self.running = self.running.saturating_add_signed(by);
        self.loads.push((Instant::now(), self.running));
        if self.loads.len() > 10_000 {
            self.loads.drain(..5_000);
        }
    }

    fn load_as_of(&self, lag_ms: u64) -> u32 {
        let lag = Duration::from_millis(lag_ms);
        let shown = self.loads.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        shown.map_or(0, |(_, load)| *load)
    }
}

fn serve(state: &Arc<State>, request: ServerRequest) {
    let Some(mut request) = state.faults.answer(request) else { return };
    let faults = state.faults.get();
    if faults.dead {
        return;
    }
    if faults.frozen {
        return pause(FROZEN_MS);
    }
    match (request.method(), request.path()) {
        (Some(HttpMethod::Get), "/v1/report") => {
            let report = state.report();
            let cache = state.cache_events(&request);
            request.respond_json(200, &ProbeAnswer { report, cache });
        }
        (Some(HttpMethod::Post), "/v1/orders") => match request.read_json() {
            Ok(order) => take_order(state, request, order),
            Err(error) => request.respond(400, &[], error.to_string().into_bytes()),
        },
        (Some(HttpMethod::Post), "/v1/generate") => match request.read_json() {
            Ok(body) => state.generate(request, &body),
            Err(error) => request.respond(400, &[], error.to_string().into_bytes()),
        },
        (Some(HttpMethod::Post), "/v1/cancel") => {
            if let Ok(body) = request.read_json::<CancelBody>() {
                state.faults.count("cancels");
                lock(&state.member).cancelled.insert(body.attempt_id);
            }
            request.respond(200, &[], Vec::new());
        }
        _ => request.respond(404, &[], b"no such call".to_vec()),
    }
}

fn take_order(state: &Arc<State>, request: ServerRequest, order: Order) {
    state.faults.count("orders");
    let faults = state.faults.get();
    pause(faults.order_delay_ms);
    if unix_ms() > order.deadline_unix_ms && !faults.ignore_deadline {
        return request.respond_json(410, &OrderAnswer::Late);
    }
    let mut member = lock(&state.member);
    if state.options.honours_fence && order.fencing_number < member.fencing_number {
        let seen = member.fencing_number;
        drop(member);
        return request.respond_json(409, &OrderAnswer::StaleFence { seen });
    }
    member.fencing_number = member.fencing_number.max(order.fencing_number);
    if member.orders_seen.insert(order.order_id) {
        carry_out(state, &mut member, order.kind);
    }
    drop(member);
    request.respond_json(200, &OrderAnswer::Taken);
}

fn carry_out(state: &Arc<State>, member: &mut Member, kind: OrderKind) {
    match kind {
        OrderKind::Load { group, incarnation, rank, model_version, .. } => {
            if member.is_in(&group, incarnation) && member.rank == rank {
                return;
            }
            member.membership += 1;
            lock(&state.cache).clear();
            member.group = Some(group);
            member.incarnation = incarnation;
            member.rank = rank;
            member.role = EngineRole::Serving;
            let loaded = member.model_version.as_ref() == Some(&model_version);
            if loaded {
                member.state = EngineState::Ready;
                return;
            }
            member.state = EngineState::Loading;
            member.model_version = None;
            let membership = member.membership;
            let loading = Arc::clone(state);
            thread::spawn(move || loading.load(membership, model_version));
        }
        OrderKind::Preload { model_version, .. } => {
            let is_cached = member.cached_versions.contains(&model_version);
            if member.group.is_some() || is_cached || member.fetch.is_some() {
                return;
            }
            member.state = EngineState::Preloading;
            state.faults.count("preloads");
            let fetch = member.begin_fetch(model_version);
            let fetching = Arc::clone(state);
            thread::spawn(move || fetching.fetch(&fetch));
        }
        OrderKind::CancelPreload => {
            if member.state == EngineState::Preloading {
                state.faults.count("cancelled_preloads");
                member.state = EngineState::Idle;
                member.fetch = None;
            }
        }
        OrderKind::ChangeRole { group, incarnation, role } => {
            if member.is_in(&group, incarnation) {
                member.role = role;
            }
        }
        OrderKind::Unload { group, incarnation } => {
            if member.is_in(&group, incarnation) {
                member.membership += 1;
                member.group = None;
                member.state = EngineState::Idle;
                member.role = EngineRole::Serving;
                member.model_version = None;
            }
        }
    }
}

impl State {
    fn report(&self) -> BackendReport {
        let faults = self.faults.get();
        let member = lock(&self.member);
        BackendReport {
            vm: self.options.vm.clone(),
            state: if faults.leaving { EngineState::Leaving } else { member.state },
            group: member.group.clone(),
            incarnation: member.incarnation,
            rank: member.rank,
            role: member.role,
            model_version: member.model_version.clone(),
            cached_versions: member.cached_versions.clone(),
            running: member.load_as_of(faults.load_lag_ms),
            queued: 0,
            load_age_ms: faults.load_lag_ms,
            steps: member.steps,
            fencing_number: member.fencing_number,
        }
    }

    /// Returns what the cache published after the position asked from, if it was asked for.
    fn cache_events(&self, request: &ServerRequest) -> Option<CacheEvents> {
        let parameter = |name: &str| request.parameter(name)?.parse::<u64>().ok();
        let number = parameter("cache_after")?;
        let after = parameter("cache_epoch").map(|epoch| CachePosition { epoch, number });
        let max = parameter("cache_max").and_then(|it| usize::try_from(it).ok());
        let faults = self.faults.get();
        let lag = Duration::from_millis(faults.cache_event_lag_ms);
        let mut cache = lock(&self.cache).published(after, lag, faults.cache_event_lose_each);
        cache.events.truncate(max.unwrap_or(usize::MAX));
        Some(cache)
    }

    /// Fetches the weights unless they are on the VM, and becomes ready.
    ///
    /// A preload of the same version that is under way is waited for.
    fn load(&self, membership: u64, model_version: ModelVersion) {
        self.faults.count("loads");
        loop {
            let mut member = lock(&self.member);
            if member.membership != membership {
                return;
            }
            if member.cached_versions.contains(&model_version) {
                member.model_version = Some(model_version);
                member.state = EngineState::Ready;
                return;
            }
            match &member.fetch {
                Some(fetch) if fetch.model_version == model_version => {
                    drop(member);
                    pause(FETCH_LOOK_MS);
                }
                _ => {
                    let fetch = member.begin_fetch(model_version.clone());
                    drop(member);
                    self.fetch(&fetch);
                }
            }
        }
    }

    /// Brings weights onto the VM, unless the fetch is given up meanwhile.
    fn fetch(&self, fetch: &Fetch) {
        let waits_ms = self.ask_weight_store(&fetch.model_version) + self.options.load_ms;
        let until = Instant::now() + Duration::from_millis(waits_ms);
        while self.is_fetching(fetch) && Instant::now() < until {
            pause(FETCH_LOOK_MS);
        }
        let mut member = lock(&self.member);
        if member.fetch.as_ref() != Some(fetch) {
            drop(member);
            return self.leave_weight_store();
        }
        member.fetch = None;
        member.cached_versions.push(fetch.model_version.clone());
        if member.state == EngineState::Preloading {
            member.state = EngineState::Idle;
        }
    }

    fn is_fetching(&self, fetch: &Fetch) -> bool {
        lock(&self.member).fetch.as_ref() == Some(fetch)
    }

    /// Takes a place at the weight store; returns how long the fetch takes there, in milliseconds.
    fn ask_weight_store(&self, model_version: &ModelVersion) -> u64 {
        let Some(address) = self.options.weight_store else { return 0 };
        let body = serde_json::json!({"vm": self.options.vm, "model_version": model_version});
        let call = HttpCall::new(HttpMethod::Post, address, "/v1/weights/loads").json(&body);
        let answer = self.client.call(call).and_then(|it| it.read_json::<serde_json::Value>(1024));
        answer.map_or(0, |it| it["wait_ms"].as_u64().unwrap_or_default())
    }

    /// Gives a place at the weight store back.
    fn leave_weight_store(&self) {
        let Some(address) = self.options.weight_store else { return };
        let path = format!("/v1/weights/loads/{}", self.options.vm);
        let _ = self.client.call(HttpCall::new(HttpMethod::Delete, address, &path));
    }

    fn generate(&self, request: ServerRequest, body: &GenerateRequest) {
        let membership = match self.admit(body) {
            Ok(membership) => membership,
            Err(refusal) => {
                let answer = serde_json::to_vec(&refusal).unwrap_or_default();
                return request.respond(409, &[("x-run-outcome", "not_run")], answer);
            }
        };
        self.faults.count("generations");
        lock(&self.cache).touch(PromptPrefix::of(&body.prompt));
        if body.resume_from > TokenIndex(0) {
            self.faults.count("resumptions");
        }
        if let Ok(stream) = request.respond_stream(200, &[("content-type", "application/x-ndjson")])
        {
            let _ = self.send_tokens(stream, body, membership);
        }
        lock(&self.member).change_load(-1);
    }

    /// Starts running a request if this is the engine that it is meant for.
    fn admit(&self, body: &GenerateRequest) -> Result<u64, Refusal> {
        let refuse = |text: &str| Err(Refusal::not_run(ResultCode::BackendRefused, text));
        let mut member = lock(&self.member);
        if !member.is_in(&body.group, body.incarnation) || member.rank != Rank(0) {
            return refuse("this engine is not rank zero of that group and incarnation");
        }
        if member.state != EngineState::Ready || member.role == EngineRole::Draining {
            return refuse("this engine takes no new requests now");
        }
        if member.running >= RUNNING_MAX {
            return refuse("this engine is full");
        }
        member.change_load(1);
        Ok(member.membership)
    }

    fn send_tokens(
        &self,
        mut stream: BodyStream,
        body: &GenerateRequest,
        membership: u64,
    ) -> io::Result<()> {
        pause(self.options.first_token_ms);
        for index in body.resume_from.0..body.max_tokens {
            let faults = self.faults.get();
            if faults.silent_after.is_some_and(|it| index >= it) {
                pause(FROZEN_MS);
            }
            let ended = lock(&self.member).membership != membership;
            if ended || faults.cut_after.is_some_and(|it| index >= it) {
                return stream.finish();
            }
            if lock(&self.member).cancelled.contains(&body.attempt_id) {
                self.faults.count("cancelled");
                return stream.finish();
            }
            self.send_token(&mut stream, body, index, &faults)?;
            self.work(&faults);
        }
        let end = FinishReason::Length;
        let attempt_id = body.attempt_id.clone();
        let tokens = body.max_tokens.max(body.resume_from.0);
        write_line(&mut stream, &GenerateLine::End { attempt_id, end, tokens })?;
        stream.finish()
    }

    fn send_token(
        &self,
        stream: &mut BodyStream,
        body: &GenerateRequest,
        index: u32,
        faults: &EngineFaults,
    ) -> io::Result<()> {
        if faults.skip_token == Some(index) {
            return Ok(());
        }
        let attempt_id = match faults.swap_after {
            Some(from) if index >= from => "another".parse().expect("a valid id"),
            _ => body.attempt_id.clone(),
        };
        let text = token_text(&body.prompt, index);
        let line = GenerateLine::Token { attempt_id, token_index: TokenIndex(index), text };
        write_line(stream, &line)?;
        if faults.repeat_token == Some(index) {
            write_line(stream, &line)?;
        }
        Ok(())
    }

    /// Spends the time of a token, and records progress.
    fn work(&self, faults: &EngineFaults) {
        if faults.straggler {
            return pause(self.options.token_ms * STRAGGLER_FACTOR);
        }
        pause(self.options.token_ms);
        lock(&self.member).steps += 1;
    }
}

/// Returns the text of a whole answer to a prompt.
pub fn expected_text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|it| token_text(prompt, it)).collect()
}

/// Returns the token at an index; it depends on the prompt and the index only.
fn token_text(prompt: &str, index: u32) -> String {
    let sum = prompt
        .bytes()
        .fold(u32::from(index as u16), |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
    format!("t{index}.{} ", sum % 1_000)
}

fn write_line(stream: &mut BodyStream, line: &GenerateLine) -> io::Result<()> {
    let mut text = serde_json::to_vec(line).map_err(io::Error::other)?;
    text.push(b'\n');
    stream.write_piece(&text)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
