//! Messages between entry VMs: requests in progress, suspects, closed heads, changed servers,
//! crashes.
//!
//! With up to FULL_MESH_PEERS_MAX other entry VMs, each sends its counts to all others. With more,
//! each sends them to the planner, which sends the totals to all: two messages per VM and interval
//! instead of one per pair of VMs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mangocross_serving::BackendServer;
use mangocross_serving::ColdReport;
use mangocross_serving::ConfigurationNotice;
use mangocross_serving::CrashReport;
use mangocross_serving::DemandReport;
use mangocross_serving::EvacuationMark;
use mangocross_serving::LimitReport;
use mangocross_serving::Load;
use mangocross_serving::PartCrashReport;
use mangocross_serving::ReachNotice;
use mangocross_serving::RequestCounts;
use mangocross_serving::ZoneReport;
use mangocross_types::Revision;
use mangocross_types::StoreEra;
use mangocross_types::StoreRevision;
use mangocross_types::VmId;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::blame;
use crate::leases::PLANNER_KEY;
use crate::state::AppState;
use crate::store_changes;

/// Time between two messages with counts to all other entry VMs.
const COUNTS_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two messages with counts via the planner, which gets one from each entry VM.
const COUNTS_INTERVAL_VIA_PLANNER: Duration = Duration::from_millis(250);
/// Minimum time between two messages on the demand of zones, which are sent with the counts.
const ZONE_DEMAND_INTERVAL: Duration = Duration::from_millis(400);
/// Number of other entry VMs up to which each sends its counts to all others.
pub(crate) const FULL_MESH_PEERS_MAX: usize = 16;
/// Time between two reports of crashes, so that an entry VM that starts learns of them.
const CRASHES_INTERVAL: Duration = Duration::from_millis(1000);
/// Time between two reports of crashes while they are news.
const NEW_CRASHES_INTERVAL: Duration = Duration::from_millis(200);
/// Reports of crashes at the shorter interval after each change.
const NEW_CRASHES_REPORTS: u32 = 10;
/// Number of entry VMs that a message is sent to that they pass on, if there are more than
/// FULL_MESH_PEERS_MAX.
const FAN_OUT: usize = 4;
/// Time between two messages on the versions of the configuration; the first one after a return of
/// the store to an older copy and one that repeats it arrive before its answers count again.
const CONFIGURATION_INTERVAL: Duration = Duration::from_millis(800);
/// Time between two messages of an entry VM that reaches no servers.
const REACH_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two messages with updates.
const UPDATE_INTERVAL_MIN: Duration = Duration::from_millis(30);
/// Maximum size of a UDP datagram over IPv4. Totals of 600 heads take about 20 kB.
const MESSAGE_BYTES_MAX: usize = 65_507;
/// Maximum number of server entries per message, so that it fits into a usual network packet.
const MESSAGE_ENTRIES_MAX: usize = 5;
/// Maximum number of cold servers per message, for the same reason.
const MESSAGE_COLD_MAX: usize = 30;

/// A message between entry VMs.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// Counts of the sending entry VM alone.
    Counts(Counts),
    /// Loads summed over all entry VMs, and the newest progress, sent by the planner.
    Totals(Counts),
    /// Heads whose streams are stalled, and heads to which connections failed.
    Suspicions { suspects: Vec<VmId>, to_recheck: Vec<VmId> },
    /// Like `EntriesOfEra` in a store without eras; only received, from earlier versions.
    Entries(Vec<(Revision, BackendServer)>),
    /// All open heads that no longer serve, sent by the planner.
    ClosedHeads(Vec<VmId>),
    /// Like `CrashCauses` for parts of prompts only; only received, from earlier versions.
    Crashes(PartCrashReport),
    /// Changed entries of servers, relayed by the planner.
    EntriesOfEra(Vec<(StoreRevision, BackendServer)>),
    /// Versions of the configuration that exist, also if the store has lost them.
    Configuration(ConfigurationNotice),
    /// Crashes of servers that the sending entry VM knows of, its own and reported ones.
    CrashCauses(CrashReport),
    /// Limits that servers have named, and the requests of callers that the limits are shared by.
    Limits { from: Arc<str>, reports: Vec<LimitReport>, counts: RequestCounts },
    /// Whether the sending entry VM and others reach servers.
    Reach(Vec<ReachNotice>),
    /// Servers that have said that they are cold.
    Cold(Vec<ColdReport>),
    /// Streams by model, class and customer: those of the sending entry VM, or of all.
    Demand { from: Arc<str>, are_totals: bool, report: DemandReport },
    /// Zones that are evacuated or were taken back.
    Evacuations(Vec<EvacuationMark>),
    /// Demand by zone: of the sending entry VM, or the sums over all, sent by the planner.
    ZoneDemand { from: Arc<str>, are_sums: bool, reports: Vec<ZoneReport> },
    /// The sending entry VM has reached the store, which its relays had lost.
    StoreReached,
}

/// Load of each server, progress of streams, slowdowns of engines, and whether requests arrived.
#[derive(Debug, Serialize, Deserialize)]
struct Counts {
    from: Arc<str>,
    loads: Vec<(VmId, Load)>,
    /// Heads and the milliseconds since the last progress of their streams.
    progress: Vec<(VmId, u32)>,
    has_traffic: bool,
    /// Slowdown factors of engines, from the planner.
    #[serde(rename = "paces")]
    slowdowns: Vec<(VmId, f32)>,
}

/// Starts the tasks that send and receive messages.
pub(crate) async fn bind(state: &Rc<AppState>) -> Result<(), String> {
    let address = SocketAddr::new(state.vm.ip, state.vm.peer_port);
    let socket = UdpSocket::bind(address)
        .await
        .map_err(|it| format!("[8102] {address} cannot be bound for peers: {it}"))?;
    let socket = Rc::new(socket);
    tokio::task::spawn_local(receive(Rc::clone(state), Rc::clone(&socket)));
    tokio::task::spawn_local(send_counts(Rc::clone(state), Rc::clone(&socket)));
    tokio::task::spawn_local(send_crashes(Rc::clone(state), Rc::clone(&socket)));
    tokio::task::spawn_local(send_configuration_notices(Rc::clone(state), Rc::clone(&socket)));
    tokio::task::spawn_local(send_reach(Rc::clone(state), Rc::clone(&socket)));
    tokio::task::spawn_local(send_store_reached(Rc::clone(state), Rc::clone(&socket)));
    tokio::task::spawn_local(send_updates(Rc::clone(state), socket));
    Ok(())
}

async fn receive(state: Rc<AppState>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MESSAGE_BYTES_MAX];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        match postcard::from_bytes(&buffer[..length]) {
            Ok(Message::Counts(counts)) => apply_counts(&state, counts, false),
            Ok(Message::Totals(counts)) => apply_counts(&state, counts, true),
            Ok(Message::Suspicions { suspects, to_recheck }) => {
                apply_suspicions(&state, &suspects, &to_recheck)
            }
            Ok(Message::Entries(entries)) => {
                for (revision, server) in entries {
                    let revision = StoreRevision { era: StoreEra::default(), revision };
                    store_changes::apply_server(&state, revision, server);
                }
            }
            Ok(Message::EntriesOfEra(entries)) => {
                for (revision, server) in entries {
                    store_changes::apply_server(&state, revision, server);
                }
            }
            Ok(Message::ClosedHeads(heads)) => {
                if !state.is_planner() {
                    let now = state.now();
                    state.view.borrow_mut().closed_heads.replace(heads, now);
                }
            }
            Ok(Message::Configuration(notice)) => {
                if state.view.borrow_mut().freshness.record_notice(notice) {
                    state.configuration_notice_changed.notify_one();
                }
            }
            Ok(Message::Crashes(report)) => blame::apply_report(&state, report.into()),
            Ok(Message::CrashCauses(report)) => blame::apply_report(&state, report),
            Ok(Message::Reach(notices)) => {
                let now = state.now();
                let mut view = state.view.borrow_mut();
                notices.iter().for_each(|it| view.reach.record_peer(it, now));
            }
            Ok(Message::StoreReached) => state.relay.record_store_reached(state.now()),
            Ok(Message::Limits { from, reports, counts }) => {
                state.apply_limits(from, &reports, counts);
            }
            Ok(Message::Evacuations(marks)) => state.apply_evacuation_marks(&marks),
            Ok(Message::Cold(reports)) => state.apply_cold_reports(&reports),
            Ok(Message::Demand { from, are_totals, report }) => {
                state.apply_demand(from, are_totals, report);
            }
            Ok(Message::ZoneDemand { from, are_sums, reports }) => {
                state.apply_zone_reports(from, are_sums, reports);
            }
            Err(error) => {
                if state.log_rate.allow("message ignored", state.now()).is_some() {
                    log::warn!(from:% = from, error:% = error; "peer message ignored");
                }
            }
        }
    }
}

fn apply_counts(state: &AppState, counts: Counts, are_totals: bool) {
    let now = state.now();
    let loads: HashMap<VmId, Load> = counts.loads.into_iter().collect();
    let mut view = state.view.borrow_mut();
    if are_totals {
        view.loads.apply_totals(loads, now);
    } else {
        view.loads.apply_peer_counts(counts.from, loads, now);
    }
    for (head, age_ms) in &counts.progress {
        view.progress.record_progress(head, now.before(Duration::from_millis(u64::from(*age_ms))));
    }
    if !state.is_planner() && !counts.slowdowns.is_empty() {
        let slowdowns = counts.slowdowns.into_iter().map(|(vm, it)| (vm, f64::from(it)));
        view.slowdowns = slowdowns.collect();
    }
    if counts.has_traffic {
        state.has_traffic.set(true);
    }
}

fn apply_suspicions(state: &AppState, suspects: &[VmId], to_recheck: &[VmId]) {
    if state.is_planner() {
        for head in to_recheck {
            state.request_recheck(head);
        }
    }
    let now = state.now();
    for head in suspects {
        let is_progressing = state.view.borrow().progress.is_progressing(head, now);
        if !is_progressing && !state.is_suspect(head) {
            state.mark_suspect(head);
        }
    }
}

/// Returns the addresses of the other entry VMs.
fn peer_addresses(state: &AppState) -> Vec<SocketAddr> {
    let view = state.view.borrow();
    let others = view.entry_vms.iter().filter(|(name, _)| **name != state.vm.name);
    others.map(|(_, it)| it.address).collect()
}

/// Returns the addresses of the other entry VMs, or of some of them if there are many.
fn some_peer_addresses(state: &AppState) -> Vec<SocketAddr> {
    let mut peers = peer_addresses(state);
    if peers.len() > FULL_MESH_PEERS_MAX {
        fastrand::shuffle(&mut peers);
        peers.truncate(FAN_OUT);
    }
    peers
}

/// Returns the address of the planner, if it is another entry VM.
fn planner_address(state: &AppState) -> Option<SocketAddr> {
    let view = state.view.borrow();
    let name = std::str::from_utf8(&view.entry_vm_keys.get(PLANNER_KEY)?.value).ok()?;
    (name != state.vm.name.as_ref()).then(|| view.entry_vms.get(name).map(|it| it.address))?
}

fn send(socket: &UdpSocket, message: &Message, to: &[SocketAddr]) {
    let data = match postcard::to_allocvec(message) {
        Ok(it) => it,
        Err(error) => {
            log::error!(error:% = error; "message cannot be encoded");
            return;
        }
    };
    if data.len() > MESSAGE_BYTES_MAX {
        log::error!(bytes = data.len(); "message exceeds the size limit, not sent");
        return;
    }
    for peer in to {
        if let Err(error) = socket.try_send_to(&data, *peer) {
            log::debug!(peer:% = peer, error:% = error; "message not sent");
        }
    }
}

async fn send_counts(state: Rc<AppState>, socket: Rc<UdpSocket>) {
    let mut demand_sent_at = state.now();
    loop {
        let peers = peer_addresses(&state);
        let is_via_planner = peers.len() > FULL_MESH_PEERS_MAX;
        let interval = if is_via_planner { COUNTS_INTERVAL_VIA_PLANNER } else { COUNTS_INTERVAL };
        tokio::time::sleep(interval.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
        let is_planner = state.is_planner();
        if !is_via_planner {
            send(&socket, &Message::Counts(build_counts(&state, false)), &peers);
            send_limits(&state, &socket, false, &peers);
            send_demand(&state, &socket, false, &peers);
        } else if is_planner {
            send(&socket, &Message::Totals(build_counts(&state, true)), &peers);
            send_limits(&state, &socket, true, &peers);
            send_demand(&state, &socket, true, &peers);
        } else if let Some(planner) = planner_address(&state) {
            send(&socket, &Message::Counts(build_counts(&state, false)), &[planner]);
            send_limits(&state, &socket, false, &[planner]);
            send_demand(&state, &socket, false, &[planner]);
            state.view.borrow_mut().loads.mark_reported();
        }
        if state.now().since(demand_sent_at) >= ZONE_DEMAND_INTERVAL {
            demand_sent_at = state.now();
            match is_via_planner && !is_planner {
                true => {
                    send_zone_demand(&state, &socket, false, planner_address(&state).as_slice())
                }
                false => send_zone_demand(&state, &socket, is_via_planner, &peers),
            }
        }
        if is_planner && let Some(heads) = closed_heads(&state) {
            send(&socket, &Message::ClosedHeads(heads), &peers);
        }
    }
}

/// Tells of servers' limits, if there are any, and of the requests that they are shared by.
fn send_limits(state: &AppState, socket: &UdpSocket, are_totals: bool, to: &[SocketAddr]) {
    if let Some((reports, counts)) = state.limits_to_tell(are_totals) {
        let from = Arc::clone(&state.vm.name);
        send(socket, &Message::Limits { from, reports, counts }, to);
    }
}

/// Tells of the streams that compete for the models' groups, if any do.
fn send_demand(state: &AppState, socket: &UdpSocket, are_totals: bool, to: &[SocketAddr]) {
    if let Some(report) = state.demand_to_tell(are_totals) {
        let from = Arc::clone(&state.vm.name);
        send(socket, &Message::Demand { from, are_totals, report }, to);
    }
}

/// Tells of the demand by zone, where the configuration names the paths between zones.
fn send_zone_demand(state: &AppState, socket: &UdpSocket, are_sums: bool, to: &[SocketAddr]) {
    if let Some(reports) = state.zone_reports(are_sums) {
        let from = Arc::clone(&state.vm.name);
        send(socket, &Message::ZoneDemand { from, are_sums, reports }, to);
    }
}

/// Returns the open heads that no longer serve, if there are any.
fn closed_heads(state: &AppState) -> Option<Vec<VmId>> {
    let view = state.view.borrow();
    let heads: Vec<VmId> = view.closed_heads.iter().cloned().collect();
    (!heads.is_empty()).then_some(heads)
}

fn build_counts(state: &AppState, are_totals: bool) -> Counts {
    let now = state.now();
    let view = state.view.borrow();
    let loads = match are_totals {
        true => view.loads.compute_totals(now),
        false => view.loads.local().clone(),
    };
    let progress = view.progress.latest(now);
    let slowdowns = view.slowdowns.iter().map(|(vm, it)| (vm.clone(), *it as f32));
    Counts {
        from: Arc::clone(&state.vm.name),
        loads: loads.into_iter().collect(),
        progress: progress.map(|(vm, age)| (vm.clone(), age.as_millis() as u32)).collect(),
        has_traffic: state.has_traffic.get(),
        slowdowns: if state.is_planner() { slowdowns.collect() } else { Vec::new() },
    }
}

/// Reports crashes for as long as they count, more often while they are news.
async fn send_crashes(state: Rc<AppState>, socket: Rc<UdpSocket>) {
    let mut news_reports = 0;
    loop {
        let interval = if news_reports > 0 { NEW_CRASHES_INTERVAL } else { CRASHES_INTERVAL };
        tokio::select! {
            () = state.blame_changed.notified() => news_reports = NEW_CRASHES_REPORTS,
            () = tokio::time::sleep(interval.mul_f64(0.8 + 0.4 * fastrand::f64())) => {
                news_reports = news_reports.saturating_sub(1);
            }
        }
        if let Some(report) = blame::take_report(&state) {
            send(&socket, &Message::CrashCauses(report), &some_peer_addresses(&state));
        }
        tokio::time::sleep(UPDATE_INTERVAL_MIN).await;
    }
}

/// Tells of the versions of the configuration that exist, at once after a return of the store to an
/// older copy.
async fn send_configuration_notices(state: Rc<AppState>, socket: Rc<UdpSocket>) {
    loop {
        tokio::select! {
            () = state.configuration_notice_changed.notified() => {}
            () = tokio::time::sleep(CONFIGURATION_INTERVAL.mul_f64(0.8 + 0.4 * fastrand::f64())) => {}
        }
        let notice = state.view.borrow().freshness.notice();
        if notice.shown_version.max(notice.former_version).is_some() {
            send(&socket, &Message::Configuration(notice), &some_peer_addresses(&state));
        }
        // Reaches entry VMs whose relay lags, and those that missed the first message.
        let evacuations = state.view.borrow().evacuations.marks();
        if !evacuations.is_empty() {
            send(&socket, &Message::Evacuations(evacuations), &some_peer_addresses(&state));
        }
        tokio::time::sleep(UPDATE_INTERVAL_MIN).await;
    }
}

/// Tells that this VM reaches no servers for as long as that lasts, and its end.
async fn send_reach(state: Rc<AppState>, socket: Rc<UdpSocket>) {
    loop {
        let is_cut_off = state.is_cut_off();
        tokio::select! {
            () = state.reach_changed.notified() => {}
            () = tokio::time::sleep(REACH_INTERVAL.mul_f64(0.8 + 0.4 * fastrand::f64())), if is_cut_off => {}
        }
        let notices = state.view.borrow().reach.notices(&state.vm.name, state.now());
        send(&socket, &Message::Reach(notices), &some_peer_addresses(&state));
    }
}

/// Tells all others that this VM has reached the store, which relays had lost.
async fn send_store_reached(state: Rc<AppState>, socket: Rc<UdpSocket>) {
    loop {
        state.relay.reached.notified().await;
        send(&socket, &Message::StoreReached, &peer_addresses(&state));
    }
}

/// Sends urgent updates, which don't wait for the next counts.
async fn send_updates(state: Rc<AppState>, socket: Rc<UdpSocket>) {
    loop {
        state.peer_updates.notified().await;
        let now = state.now();
        let (suspects, to_recheck, entries, cold) = {
            let mut view = state.view.borrow_mut();
            let entries = std::mem::take(&mut view.relay_queue);
            (view.local_suspects(now), view.to_recheck(now), entries, view.cold.take_reports())
        };
        let peers = peer_addresses(&state);
        let evacuations = state.view.borrow_mut().evacuation_news();
        if !evacuations.is_empty() {
            send(&socket, &Message::Evacuations(evacuations), &peers);
        }
        // Before the entries, so that a cold head is known to be cold when it is first used.
        for chunk in cold.chunks(MESSAGE_COLD_MAX) {
            send(&socket, &Message::Cold(chunk.to_vec()), &peers);
        }
        if !suspects.is_empty() {
            send(&socket, &Message::Suspicions { suspects, to_recheck: Vec::new() }, &peers);
        }
        if !to_recheck.is_empty()
            && let Some(planner) = planner_address(&state)
        {
            send(&socket, &Message::Suspicions { suspects: Vec::new(), to_recheck }, &[planner]);
        }
        if state.is_planner() {
            let heads = closed_heads(&state).unwrap_or_default();
            send(&socket, &Message::ClosedHeads(heads), &peers);
        }
        for chunk in entries.chunks(MESSAGE_ENTRIES_MAX) {
            send(&socket, &Message::EntriesOfEra(chunk.to_vec()), &peers);
        }
        tokio::time::sleep(UPDATE_INTERVAL_MIN).await;
    }
}

#[cfg(test)]
#[path = "../tests/builds/recorded.rs"]
mod recorded;
