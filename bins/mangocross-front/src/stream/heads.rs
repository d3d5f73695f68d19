//! Chooses the group for a stream and connects to its head.

use std::time::Duration;

use mangocross_serving::Admission;
use mangocross_serving::BackendServer;
use mangocross_serving::Candidates;
use mangocross_serving::Draws;
use mangocross_serving::GroupTimes;
use mangocross_serving::HeadLoad;
use mangocross_serving::Obstacle;
use mangocross_serving::ServerSearch;
use mangocross_serving::StreamDemand;
use mangocross_serving::admit;
use mangocross_serving::mean_headroom;
use mangocross_types::VmId;

use crate::dispatch::Call;
use crate::head_candidates::HeadTier;
use crate::head_candidates::OwnVm;
use crate::head_candidates::TierRules;
use crate::plain;
use crate::pool::Connection;

/// Mean headroom of the preferred heads, as a share of that of all heads, below which all are candidates: a
/// preference must not make a stream wait while others have free slots.
const PREFERRED_HEADROOM_SHARE: f64 = 0.85;

/// Returns the heads that accept requests for the model, or `None` if there are none.
pub(super) fn find_heads(call: &Call, tried: &[VmId]) -> Option<Vec<HeadLoad>> {
    let mut heads = call.state.heads(&call.service, call.caller_head.model.as_ref(), tried);
    call.retain_allowed(&mut heads);
    (!heads.is_empty()).then_some(heads)
}

/// Returns why no head can be asked: all have been, or those that are left cannot be used now or take
/// no more requests.
pub(super) fn no_head(call: &Call, search: &ServerSearch) -> Obstacle {
    let model = call.caller_head.model.as_ref();
    let is_left = |it: &&BackendServer| {
        it.service == call.service
            && it.accepts_requests()
            && model.is_none_or(|model| it.serves(model))
            && !search.has_tried(&it.vm)
            && call.allows_server(it)
    };
    let view = call.state.view.borrow();
    view.obstacle(view.servers.values().filter(is_left), call.state.now())
}

/// Chooses among the heads; `queue_slots` is the number of queue places that may be used.
pub(super) fn choose_head(call: &Call, heads: &[HeadLoad], queue_slots: u32) -> Admission {
    let engine = call.configuration.services.get(&call.service).and_then(|it| it.engine.as_ref());
    let model = engine.and_then(|engine| {
        let named = call.caller_head.model.as_ref().and_then(|it| engine.model(it));
        named.or(engine.models.first()).map(|it| (engine, it))
    });
    let Some((engine, model)) = model else {
        let least = heads.iter().min_by_key(|it| it.in_flight);
        return least.map_or(Admission::NoGroup, |it| Admission::Send(it.vm.clone()));
    };
    let demand = StreamDemand {
        target_latency: call.route.target_latency,
        waited: call.waited_before + call.record.age(),
        prompt_tokens: call.caller_head.prompt_tokens,
    };
    let comparison = match call.state.may_get_counts_via_planner() {
        true => Candidates::Sampled(Draws { first: fastrand::f64(), second: fastrand::f64() }),
        false => Candidates::All,
    };
    let times = GroupTimes::new(engine, model);
    let judge =
        |heads: &[HeadLoad], queue_slots| admit(&times, heads, &demand, queue_slots, comparison);
    let mut tiers = find_tiers(call, heads);
    let last = tiers.pop();
    // A place in a queue is taken only where no tier has a slot.
    let headroom_min = mean_headroom(&times, heads) * PREFERRED_HEADROOM_SHARE;
    for tier in tiers.iter().filter(|it| mean_headroom(&times, &it.heads) >= headroom_min) {
        if let Admission::Send(vm) = judge(&tier.heads, 0) {
            record_choice(call, tier, &vm);
            return Admission::Send(vm);
        }
    }
    let Some(last) = last else { return judge(heads, queue_slots) };
    let admission = judge(&last.heads, queue_slots);
    if let Admission::Send(vm) = &admission {
        record_choice(call, &last, vm);
    }
    admission
}

/// Records why a stream is sent to a head.
fn record_choice(call: &Call, tier: &HeadTier, vm: &VmId) {
    if tier.is_subset {
        call.state.view.borrow_mut().candidates.record_chosen(vm, call.state.now());
    }
    call.zone.left.set(Some(tier.leave_reason));
}

/// Returns the tiers that are tried one after the other; none if all heads are candidates at once.
fn find_tiers(call: &Call, heads: &[HeadLoad]) -> Vec<HeadTier> {
    let own = OwnVm { name: &call.state.vm.name, zone: &call.state.vm.zone };
    // Few entry VMs know the loads of all heads as they are, so the best of all is the best choice.
    let uses_subset = call.state.view.borrow().gets_counts_via_planner(own.name);
    if !uses_subset {
        return Vec::new();
    }
    let zones = call.zone_choice();
    let view = &mut *call.state.view.borrow_mut();
    view.candidates.refresh(own, &view.entry_vms, view.entry_vms_changed_at);
    let rules = TierRules { own, uses_subset, zones: zones.as_ref() };
    view.candidates.tiers(&rules, heads.to_vec())
}

/// Connects to a head; `failures` is the number of failed connections of the same request.
pub(super) async fn connect(
    call: &Call,
    vm: &VmId,
    may_reuse: bool,
    failures: u32,
) -> Option<Connection> {
    let address = call.state.view.borrow().servers.get(vm).map(|it| it.address)?;
    let connection = if may_reuse {
        call.state.connection_to(address, failures).await
    } else {
        call.state.connect_to(address, failures).await
    };
    match connection {
        Ok(it) => Some(it),
        Err(error) => {
            plain::record_connect_failure(call, vm, error);
            call.state.request_recheck(vm);
            None
        }
    }
}

/// Logs the load on which the choice of a head was based.
pub(super) fn log_sent(call: &Call, vm: &VmId, heads: &[HeadLoad]) {
    let load = heads.iter().find(|it| it.vm == *vm);
    let (in_flight, waiting) = load.map_or((0, 0), |it| (it.in_flight, it.waiting));
    let detail = format!("{in_flight} in flight, {waiting} waiting, {} groups", heads.len());
    call.record.log_step("stream sent", vm, &detail);
}

/// Logs the load for which a stream was refused.
pub(super) fn log_refused(call: &Call, best: &HeadLoad, first_event_in: Duration, groups: usize) {
    let HeadLoad { vm, in_flight, waiting, slowdown, .. } = best;
    let (first_ms, target_ms) = (first_event_in.as_millis(), call.route.target_latency.as_millis());
    let detail = format!(
        "{in_flight} in flight, {waiting} waiting, slowdown {slowdown:.1}, first event in {first_ms} ms, \
         target {target_ms} ms, {groups} groups"
    );
    call.record.log_step("stream refused", vm, &detail);
}
