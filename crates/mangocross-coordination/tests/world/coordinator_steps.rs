//! How coordinators handle what they read, take a domain over and give orders.

use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::AssignmentCopy;
use mangocross_coordination::DomainInput;
use mangocross_coordination::EngineVm;
use mangocross_coordination::OrderAuthority;
use mangocross_coordination::ReconcileStep;
use mangocross_coordination::VmHolders;
use mangocross_coordination::preload_orders;
use mangocross_coordination::preloading_vms;
use mangocross_coordination::reconcile;
use mangocross_coordination::take_over;
use mangocross_policy::RepairTimes;
use mangocross_types::DomainAssignment;
use mangocross_types::OrderKind;
use mangocross_types::VmId;

use super::DOMAIN;
use super::Event;
use super::LOST_AFTER;
use super::ORDER_LIFETIME;
use super::Order;
use super::PROBE_TTL;
use super::Process;
use super::STALL_LIMIT;
use super::StoreValue;
use super::World;
use super::coordinator::ReadPurpose;
use super::id;

impl World {
    pub(super) fn handle_read_answer(
        &mut self,
        to: Process,
        purpose: ReadPurpose,
        sent_at: Instant,
        read: Option<StoreValue>,
    ) {
        let before =
            self.coordinators[to.coordinator].copy.as_ref().map(|it| it.assignment.fencing_number);
        if purpose != ReadPurpose::Refresh {
            self.coordinators[to.coordinator].busy_until = None;
        }
        self.coordinators[to.coordinator].confirmation_failed =
            purpose == ReadPurpose::Confirmation && read.is_none();
        let Some(read) = read else {
            return self.coordinators[to.coordinator].backoff.record_store_failure();
        };
        self.update_copy(to.coordinator, &read, sent_at);
        let current = read.assignment.as_ref().map(|it| it.fencing_number);
        if purpose == ReadPurpose::Takeover && (current.is_none() || current == before) {
            let coordinator = &self.coordinators[to.coordinator];
            let assignment = read.assignment.unwrap_or_else(|| DomainAssignment::empty(id(DOMAIN)));
            let next = take_over(&assignment, &coordinator.vm, coordinator.process_id);
            self.takeovers += 1;
            self.send_write(to.coordinator, next, read.revision);
        }
    }

    pub(super) fn update_copy(&mut self, coordinator: usize, read: &StoreValue, sent_at: Instant) {
        if let Some(assignment) = read.assignment.clone() {
            self.coordinators[coordinator].update_copy(
                assignment,
                read.revision,
                sent_at,
                self.now,
            );
        }
    }

    pub(super) fn run_coordinator(&mut self, coordinator: usize) {
        let again = self.random_duration(200, 400);
        self.schedule(again, Event::Tick { coordinator });
        if !self.is_awake(coordinator)
            || self.coordinators[coordinator].busy_until.is_some_and(|it| self.now < it)
        {
            return;
        }
        self.coordinators[coordinator].busy_until = None;
        if self.random.u32(..6) == 0 {
            self.send_read(coordinator, ReadPurpose::Refresh);
        }
        let now = self.now;
        let owner_is_live = !self.faults_ended && self.random.bool();
        let jitter = self.random.u32(..1_000);
        let this = &mut self.coordinators[coordinator];
        if !this.is_preferred {
            return this.backoff.record_not_preferred();
        }
        match this.copy.clone() {
            Some(copy) if copy.is_owned_by(&this.vm, this.process_id) => {
                this.backoff.record_owned(now);
                self.reconcile_domain(coordinator, &copy);
            }
            copy => {
                if copy.is_some() {
                    this.backoff.record_owned_by_other(now, jitter);
                }
                if this.backoff.begin_takeover(owner_is_live, now) {
                    self.send_read(coordinator, ReadPurpose::Takeover);
                }
            }
        }
    }

    pub(super) fn reconcile_domain(&mut self, coordinator: usize, copy: &AssignmentCopy) {
        let this = &self.coordinators[coordinator];
        let authority = copy.authority(
            &this.vm,
            this.process_id,
            this.configuration.1.fence_mode,
            ORDER_LIFETIME,
            self.now,
        );
        let full = OrderAuthority::Full { deadline: self.now };
        let all = self.reconcile_steps(coordinator, copy, full);
        let has_orders = all.iter().any(|it| matches!(it, ReconcileStep::Order { .. }));
        if has_orders
            && copy.needs_confirmation(ORDER_LIFETIME, self.now)
            && !std::mem::take(&mut self.coordinators[coordinator].confirmation_failed)
        {
            return self.send_read(coordinator, ReadPurpose::Confirmation);
        }
        for step in self.reconcile_steps(coordinator, copy, authority) {
            match step {
                ReconcileStep::Swap(next) => self.send_write(coordinator, next, copy.revision),
                ReconcileStep::Order { vm, kind } => self.send_order(copy, authority, &vm, kind),
            }
        }
        if matches!(authority, OrderAuthority::Full { .. }) {
            self.change_preloads(coordinator, copy, authority);
        }
    }

    /// Starts or cancels preloads.
    pub(super) fn change_preloads(
        &mut self,
        coordinator: usize,
        copy: &AssignmentCopy,
        authority: OrderAuthority,
    ) {
        if self.random.u32(..4) == 0 {
            let preloading = self.with_input(coordinator, copy, authority, preloading_vms);
            for vm in preloading {
                self.send_order(copy, authority, &vm, OrderKind::CancelPreload);
            }
            return;
        }
        for step in self.with_input(coordinator, copy, authority, preload_orders) {
            if let ReconcileStep::Order { vm, kind } = step {
                self.send_order(copy, authority, &vm, kind);
            }
        }
    }

    pub(super) fn reconcile_steps(
        &self,
        coordinator: usize,
        copy: &AssignmentCopy,
        authority: OrderAuthority,
    ) -> Vec<ReconcileStep> {
        self.with_input(coordinator, copy, authority, reconcile)
    }

    pub(super) fn with_input<T>(
        &self,
        coordinator: usize,
        copy: &AssignmentCopy,
        authority: OrderAuthority,
        decide: fn(&DomainInput<'_>) -> T,
    ) -> T {
        let engines = self.engines.iter().map(|it| EngineVm {
            vm: it.report.vm.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            leaving: it.leaving,
            listed: true,
        });
        let engines: Vec<EngineVm> = engines.collect();
        decide(&DomainInput {
            copy,
            configuration: &self.coordinators[coordinator].configuration.1,
            placements: &self.placements,
            engines: &engines,
            probes: &self.coordinators[coordinator].probes,
            holders: &VmHolders::new([], self.now),
            authority,
            now: self.now,
            probe_ttl: PROBE_TTL,
            stall_limit: STALL_LIMIT,
            lost_after: LOST_AFTER,
            lost_after_with_spare: LOST_AFTER / 2,
            order_lifetime: ORDER_LIFETIME,
            repair_times: RepairTimes {
                load: Duration::from_secs(60),
                concurrent_loads: 8,
                loads_before: 0,
                warm_load: Duration::from_secs(1),
                restart: Duration::from_secs(180),
            },
        })
    }

    pub(super) fn send_order(
        &mut self,
        copy: &AssignmentCopy,
        authority: OrderAuthority,
        vm: &VmId,
        kind: OrderKind,
    ) {
        let deadline = match authority {
            OrderAuthority::Full { deadline } => deadline,
            _ => self.now + ORDER_LIFETIME,
        };
        let order = Order {
            fencing_number: copy.assignment.fencing_number,
            kind,
            deadline,
            idle_only: authority == OrderAuthority::IdleOnly,
        };
        let (engine, delay) = (self.engine(vm), self.late_delay());
        self.schedule(delay, Event::OrderAtEngine { engine, order });
    }
}
