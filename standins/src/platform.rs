//! Stand-in for the platform's list of VMs and its weight store.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use mangocross_http::HttpMethod;
use mangocross_http::HttpServer;
use mangocross_http::ServerLimits;
use mangocross_http::ServerRequest;
use mangocross_types::VmId;
use mangocross_types::VmListEntry;
use peer_platform::VmList;
use peer_platform::WeightStoreUsage;
use serde::Deserialize;
use serde::Serialize;

use crate::FaultControl;
use crate::control::lock;
use crate::control::pause;

/// Default number of loads that the weight store serves concurrently.
const LOADS_MAX_DEFAULT: u32 = 8;
/// Default time of one load from the weight store, in milliseconds.
const LOAD_MS_DEFAULT: u64 = 200;

/// Faults of the platform.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Answers every call with status 503.
    pub down: bool,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Returns the list as it was this long ago, in milliseconds.
    pub list_lag_ms: u64,
    /// Number of loads that the weight store serves concurrently.
    pub loads_max: u32,
    /// Time of one load from the weight store, in milliseconds.
    pub load_ms: u64,
}

impl Default for PlatformFaults {
    fn default() -> Self {
        Self {
            down: false,
            delay_ms: 0,
            list_lag_ms: 0,
            loads_max: LOADS_MAX_DEFAULT,
            load_ms: LOAD_MS_DEFAULT,
        }
    }
}

/// A running platform.
pub struct PlatformStandin {
    server: HttpServer,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    /// Versions of the list with the time of each change, oldest first.
    lists: Mutex<Vec<(Instant, Vec<VmListEntry>)>>,
    loads: Mutex<Vec<ActiveLoad>>,
    faults: FaultControl<PlatformFaults>,
}

/// A load from the weight store that is queued or running, ordered by its end time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ActiveLoad {
    end: Instant,
    vm: VmId,
}

#[derive(Debug, Deserialize)]
struct LoadBody {
    vm: VmId,
}

#[derive(Debug, Serialize)]
struct LoadAnswer {
    wait_ms: u64,
}

impl PlatformStandin {
    /// Binds an address and serves an empty list; `PUT /admin/vms` replaces it.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        let server = HttpServer::bind(
            address,
            ServerLimits::default(),
            move |it| shared.serve(it),
            |it| it.respond(503, &[], b"too many calls".to_vec()),
        )?;
        Ok(Self { server, state })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the fault switches and counts.
    pub fn faults(&self) -> &FaultControl<PlatformFaults> {
        &self.state.faults
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<VmListEntry>) {
        lock(&self.state.lists).push((Instant::now(), vms));
    }
}

impl State {
    fn serve(&self, request: ServerRequest) {
        let Some(mut request) = self.faults.answer_control_request(request) else { return };
        let faults = self.faults.get();
        pause(faults.delay_ms);
        if faults.down {
            return request.respond(503, &[], b"the platform is down".to_vec());
        }
        match (request.method(), request.path()) {
            (Some(HttpMethod::Get), "/v1/vms") => request.respond_json(200, &self.list(&faults)),
            (Some(HttpMethod::Put), "/admin/vms") => match request.read_json() {
                Ok(vms) => {
                    lock(&self.lists).push((Instant::now(), vms));
                    request.respond(200, &[], Vec::new());
                }
                Err(error) => request.respond(400, &[], error.to_string().into_bytes()),
            },
            (Some(HttpMethod::Get), "/v1/weights") => {
                let loads_running = self.count_active_loads();
                let load = WeightStoreUsage { loads_running, loads_max: faults.loads_max };
                request.respond_json(200, &load);
            }
            (Some(HttpMethod::Post), "/v1/weights/loads") => {
                match request.read_json::<LoadBody>() {
                    Ok(body) => {
                        let wait_ms = self.schedule_load(&faults, body.vm);
                        request.respond_json(200, &LoadAnswer { wait_ms });
                    }
                    Err(error) => request.respond(400, &[], error.to_string().into_bytes()),
                }
            }
            (Some(HttpMethod::Delete), path) => {
                self.cancel_load(path.strip_prefix("/v1/weights/loads/").unwrap_or_default());
                request.respond(200, &[], Vec::new());
            }
            _ => request.respond(404, &[], b"no such call".to_vec()),
        }
    }

    fn list(&self, faults: &PlatformFaults) -> VmList {
        let lag = Duration::from_millis(faults.list_lag_ms);
        let lists = lock(&self.lists);
        let visible = lists.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let vms = visible.map(|(_, vms)| vms.clone()).unwrap_or_default();
        VmList { vms, age_ms: faults.list_lag_ms }
    }

    fn count_active_loads(&self) -> u32 {
        let mut loads = lock(&self.loads);
        loads.retain(|it| it.end > Instant::now());
        u32::try_from(loads.len()).unwrap_or(u32::MAX)
    }

    /// Schedules a load and returns the time until it is finished, in milliseconds.
    fn schedule_load(&self, faults: &PlatformFaults, vm: VmId) -> u64 {
        self.faults.increment("loads");
        let mut loads = lock(&self.loads);
        let now = Instant::now();
        loads.retain(|it| it.end > now);
        loads.sort_unstable();
        let slots = faults.loads_max.max(1) as usize;
        let start = match loads.len().checked_sub(slots) {
            Some(ahead) => {
                self.faults.increment("loads_that_waited");
                loads[ahead].end
            }
            None => now,
        };
        let end = start + Duration::from_millis(faults.load_ms);
        loads.push(ActiveLoad { end, vm });
        u64::try_from(end.duration_since(now).as_millis()).unwrap_or(u64::MAX)
    }

    /// Removes the load of a VM that would end first.
    fn cancel_load(&self, vm: &str) {
        let mut loads = lock(&self.loads);
        loads.sort_unstable();
        if let Some(position) = loads.iter().position(|it| it.vm.as_str() == vm) {
            self.faults.increment("loads_given_up");
            loads.remove(position);
        }
    }
}
