//! Messages in transit, and how their receivers handle them.

use mangocross_coordination::RevisionObservation;

use super::Envelope;
use super::FRESHNESS_LEASE;
use super::Message;
use super::Report;
use super::Role;
use super::STEP;
use super::World;
use super::endpoint;
use super::reports;

impl World {
    pub(super) fn deliver(&mut self) {
        let step = self.step;
        let (due, later) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|it: &Envelope| it.due <= step);
        self.in_transit = later;
        let due: Vec<Envelope> = due;
        for envelope in due {
            if !self.nodes[envelope.from].reaches_peers && envelope.from != envelope.to {
                continue;
            }
            if !self.nodes[envelope.to].reaches_peers && envelope.from != envelope.to {
                continue;
            }
            self.receive(envelope);
        }
    }

    pub(super) fn receive(&mut self, envelope: Envelope) {
        let now = self.now;
        let receiver = match &envelope.message {
            Message::Reply { role: Role::Gateway, .. } => &self.nodes[envelope.to].gateway,
            _ => &self.nodes[envelope.to].coordinator,
        };
        if receiver.frozen {
            // A frozen process receives its messages when it resumes.
            let due = self.step + 1;
            self.in_transit.push(Envelope { due, ..envelope });
            return;
        }
        match envelope.message {
            Message::Poll { role, process, in_force, echo, sent_at } => {
                let from = self.nodes[envelope.from].vm.clone();
                let node = &mut self.nodes[envelope.to];
                let echoed = echo.filter(|(id, _)| *id == node.coordinator.id).map(|(_, at)| at);
                if let (Role::Gateway, Some(sent_at)) = (role, echoed) {
                    let observation = RevisionObservation {
                        process_id: process,
                        revision: in_force,
                        sent_at,
                        received_at: now,
                    };
                    node.tracker.record_gateway(from.clone(), &observation);
                    let report = Report { process, in_force, observed_after: sent_at };
                    node.reports.insert(from, report);
                }
                let reports = match role {
                    Role::Coordinator if self.is_sparse => reports(&self.nodes[envelope.to], now),
                    _ => Vec::new(),
                };
                let members = self.members_at(envelope.to);
                let node = &self.nodes[envelope.to];
                let reply = Message::Reply {
                    role,
                    process,
                    from_process: node.coordinator.id,
                    freshness_reply: node.coordinator.freshness.freshness_reply(&members, now),
                    in_force: node.coordinator.freshness.in_force(),
                    reports,
                    sent_at,
                    replied_at: now,
                };
                self.send(envelope.to, envelope.from, reply);
            }
            Message::Reply {
                role,
                process,
                from_process,
                freshness_reply,
                in_force,
                reports,
                sent_at,
                replied_at,
            } => {
                let endpoint = endpoint(&self.nodes[envelope.from]);
                let applies = self.rng.u8(..) < 200;
                let node = &mut self.nodes[envelope.to];
                let receiver = match role {
                    Role::Coordinator => &mut node.coordinator,
                    Role::Gateway => &mut node.gateway,
                };
                let too_old = now.duration_since(sent_at) > FRESHNESS_LEASE;
                if receiver.id != process || too_old {
                    return;
                }
                receiver.freshness.record_peer(&endpoint, freshness_reply, sent_at);
                receiver.stamps.insert(endpoint.vm.clone(), (from_process, replied_at));
                if in_force > receiver.freshness.in_force() && applies {
                    receiver.freshness.record_applied(in_force);
                }
                let in_force = receiver.freshness.in_force();
                if role == Role::Coordinator {
                    let own = node.vm.clone();
                    if let Some(members) = self.documents.get(&in_force) {
                        node.coordinator.freshness.establish(members, &own);
                    }
                    let observation = RevisionObservation {
                        process_id: from_process,
                        revision: freshness_reply.newest_known,
                        sent_at,
                        received_at: now,
                    };
                    node.tracker.record_coordinator(
                        endpoint,
                        freshness_reply.established,
                        &observation,
                    );
                    for (vm, report, age) in reports {
                        let observation = RevisionObservation {
                            process_id: report.process,
                            revision: report.in_force,
                            sent_at: sent_at - age,
                            received_at: now,
                        };
                        node.tracker.record_gateway(vm, &observation);
                    }
                }
            }
        }
    }

    pub(super) fn read_store(&mut self, node: usize) {
        if !self.reaches_store(node) {
            return;
        }
        let newest = self.newest();
        let (now, late) = (self.now, self.rng.u32(..3));
        let coordinator = &mut self.nodes[node].coordinator;
        let sent_at = now - STEP * late;
        if late == 0 {
            coordinator.freshness.record_applied(newest);
            coordinator.freshness.record_store_revision(newest, sent_at);
        }
    }

    pub(super) fn poll(&mut self, node: usize, role: Role) {
        for to in 0..self.nodes.len() {
            let process = match role {
                Role::Coordinator => &self.nodes[node].coordinator,
                Role::Gateway => &self.nodes[node].gateway,
            };
            if process.frozen || (role == Role::Coordinator && to == node) {
                continue;
            }
            let is_relay = to == node || to == (node + 1) % self.nodes.len();
            if self.is_sparse && role == Role::Gateway && !is_relay {
                continue;
            }
            let message = Message::Poll {
                role,
                process: process.id,
                in_force: process.freshness.in_force(),
                echo: process.stamps.get(&self.nodes[to].vm).copied(),
                sent_at: self.now,
            };
            self.send(node, to, message);
        }
    }

    pub(super) fn send(&mut self, from: usize, to: usize, message: Message) {
        let delay = match self.rng.u8(..100) {
            0..5 => return,
            5..70 => 0,
            70..95 => self.rng.u32(1..4),
            _ => self.rng.u32(4..40),
        };
        let envelope = Envelope { due: self.step + 1 + delay, from, to, message };
        if self.rng.u8(..100) < 5 {
            let due = envelope.due + self.rng.u32(..20);
            self.in_transit.push(Envelope { due, ..envelope.clone() });
        }
        self.in_transit.push(envelope);
    }
}
