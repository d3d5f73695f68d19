//! How engines handle orders and requests.

use mangocross_types::EngineRole;
use mangocross_types::EngineState;
use mangocross_types::FenceMode;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::ModelVersion;
use mangocross_types::OrderKind;
use mangocross_types::Rank;

use super::Event;
use super::Order;
use super::STEP;
use super::World;
use super::engine::Effect;

impl World {
    pub(super) fn handle_order(&mut self, engine: usize, order: &Order) {
        let now = self.now;
        if !self.is_answering(engine) {
            return self.schedule(STEP, Event::OrderAtEngine { engine, order: order.clone() });
        }
        let this = &mut self.engines[engine];
        let stale = order.fencing_number < this.report.fencing_number;
        if now > order.deadline || (stale && self.faults.fence_mode == FenceMode::Honoured) {
            return;
        }
        self.idle_only_executed |= order.idle_only;
        let exempt = self.idle_only_executed && self.faults.fence_mode == FenceMode::Ignored;
        assert!(
            !stale || exempt,
            "seed {}: {} executed {order:?} of an older owner",
            self.seed,
            this.report.vm
        );
        let effect = this.execute(order, now);
        let membership = this.membership;
        if let Effect::Aborted(requests, incarnation) = effect {
            let members = self.members_of[&incarnation].clone();
            let broken = members.iter().any(|it| self.engines[self.engine(it)].has_failed);
            assert!(
                broken || exempt,
                "seed {}: {order:?} aborted {requests} requests of incarnation {incarnation}",
                self.seed
            );
        }
        if let OrderKind::Preload { model_version, .. } = &order.kind {
            self.begin_preload(engine, model_version);
        }
        if let OrderKind::Load { model_version, .. } = &order.kind
            && self.engines[engine].report.state == EngineState::Loading
        {
            let (delay, version) = (self.random_duration(100, 1_500), model_version.to_string());
            self.schedule(delay, Event::Loaded { engine, membership, version });
        }
    }

    pub(super) fn begin_preload(&mut self, engine: usize, version: &ModelVersion) {
        let this = &self.engines[engine];
        if this.report.state == EngineState::Preloading {
            let (membership, version) = (this.membership, version.to_string());
            let delay = self.random_duration(100, 3_000);
            self.preloads += 1;
            self.schedule(delay, Event::Preloaded { engine, membership, version });
        }
    }

    pub(super) fn receive_request(
        &mut self,
        engine: usize,
        group: &GroupId,
        incarnation: Incarnation,
    ) {
        let this = &self.engines[engine];
        let accepts = this.is_in(group, incarnation)
            && this.report.state == EngineState::Ready
            && this.report.role == EngineRole::Serving
            && this.report.rank == Rank(0);
        if accepts && self.is_answering(engine) {
            self.requests += 1;
            let membership = this.membership;
            self.engines[engine].change_running(1, self.now);
            let delay = self.random_duration(100, 6_000);
            self.schedule(delay, Event::Finished { engine, membership });
        }
    }
}
