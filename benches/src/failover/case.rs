//! The faults that are injected.

use mangocross_tests::Cluster;
use mangocross_tests::groups::assignment;
use mangocross_tests::groups::owner_of;
use mangocross_types::GroupAssignment;
use mangocross_types::VmId;
use standins::EngineFaults;
use standins::StoreFaults;

/// The group under test.
const GROUP: &str = "letters-1";

/// A fault, or two at once, injected under traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultCase {
    /// A member's engine has stopped; its VM refuses connections.
    MemberDead,
    /// A member does not respond.
    MemberFrozen,
    /// The member that receives the group's requests does not respond.
    FirstMemberFrozen,
    /// A member's engine was restarted and has lost its state.
    MemberRestarted,
    /// A member runs many times slower than the others.
    MemberStraggling,
    /// No VM of the group's fabric domain responds.
    DomainDark,
    /// The coordinator that owns the group is stopped with SIGTERM.
    OwnerStopped,
    /// The coordinator that owns the group is killed.
    OwnerKilled,
    /// The owning coordinator is killed, and a member freezes.
    OwnerKilledAndMemberFrozen,
    /// The owning coordinator is paused, and a member freezes.
    OwnerFrozenAndMemberFrozen,
    /// The gateway of one entry VM is killed.
    GatewayKilled,
    /// The store is unavailable for 5 s, and a member freezes.
    StoreDownAndMemberFrozen,
    /// An operator drains the VM of a member.
    VmDrained,
    /// An operator moves the group to another fabric domain.
    GroupMoved,
}

impl FaultCase {
    /// All cases.
    pub const ALL: &[Self] = &[
        Self::MemberDead,
        Self::MemberFrozen,
        Self::FirstMemberFrozen,
        Self::MemberRestarted,
        Self::MemberStraggling,
        Self::DomainDark,
        Self::OwnerStopped,
        Self::OwnerKilled,
        Self::OwnerKilledAndMemberFrozen,
        Self::OwnerFrozenAndMemberFrozen,
        Self::GatewayKilled,
        Self::StoreDownAndMemberFrozen,
        Self::VmDrained,
        Self::GroupMoved,
    ];

    /// Returns the number of the killed gateway, to which the platform's load balancer sends no
    /// callers.
    pub fn killed_gateway(self) -> Option<u16> {
        (self == Self::GatewayKilled).then_some(0)
    }

    /// Injects the fault.
    ///
    /// # Panics
    ///
    /// Panics if the group is not placed or a command is refused.
    pub fn inject(self, cluster: &mut Cluster) {
        let location = locate_group(cluster);
        let last = &location.group.members.last().expect("the group has members").clone();
        let first = &location.group.members[0].clone();
        let frozen = EngineFaults { frozen: true, ..EngineFaults::default() };
        match self {
            Self::MemberDead => {
                set_faults(cluster, last, EngineFaults { dead: true, ..EngineFaults::default() });
            }
            Self::MemberFrozen => set_faults(cluster, last, frozen),
            Self::FirstMemberFrozen => set_faults(cluster, first, frozen),
            Self::MemberRestarted => cluster.engine(last.as_str()).restart_empty(),
            Self::MemberStraggling => {
                set_faults(
                    cluster,
                    first,
                    EngineFaults { straggler: true, ..EngineFaults::default() },
                );
            }
            Self::DomainDark => {
                let prefix = format!("vm-{}-", location.domain);
                let in_domain = |it: &&VmId| it.as_str().starts_with(&prefix);
                let vms: Vec<VmId> = cluster.engines.keys().filter(in_domain).cloned().collect();
                vms.iter().for_each(|it| set_faults(cluster, it, frozen.clone()));
            }
            Self::OwnerStopped => cluster.coordinators[location.owner].terminate(),
            Self::OwnerKilled => cluster.coordinators[location.owner].kill(),
            Self::OwnerKilledAndMemberFrozen => {
                cluster.coordinators[location.owner].kill();
                set_faults(cluster, last, frozen);
            }
            Self::OwnerFrozenAndMemberFrozen => {
                cluster.coordinators[location.owner].freeze();
                set_faults(cluster, last, frozen);
            }
            Self::GatewayKilled => cluster.gateways[0].kill(),
            Self::StoreDownAndMemberFrozen => {
                cluster.store.faults().set(StoreFaults { down: true, ..StoreFaults::default() });
                set_faults(cluster, last, frozen);
            }
            Self::VmDrained => run_command(cluster, &format!("drain vm {last}")),
            Self::GroupMoved => {
                let other = 3 - location.domain;
                run_command(cluster, &format!("move group {GROUP} to domain-{other}"));
            }
        }
    }

    /// Clears a fault that ends before the measurement does.
    pub fn clear(self, cluster: &mut Cluster) {
        match self {
            Self::StoreDownAndMemberFrozen => cluster.store.faults().set(StoreFaults::default()),
            Self::OwnerFrozenAndMemberFrozen => {
                cluster.coordinators.iter().for_each(|it| it.thaw())
            }
            _ => {}
        }
    }
}

/// Where the group is placed.
struct GroupLocation {
    group: GroupAssignment,
    /// Number of its fabric domain, 1 or 2.
    domain: u16,
    /// Node of the coordinator that owns the domain.
    owner: usize,
}

fn locate_group(cluster: &Cluster) -> GroupLocation {
    let find = |number: u16| {
        let domain = format!("domain-{number}");
        let group = assignment(cluster, &domain).groups.into_iter().next()?;
        Some(GroupLocation {
            group,
            domain: number,
            owner: usize::from(owner_of(cluster, &domain)),
        })
    };
    [1, 2].into_iter().find_map(find).expect("the group is placed")
}

fn set_faults(cluster: &Cluster, vm: &VmId, faults: EngineFaults) {
    cluster.engine(vm.as_str()).faults().set(faults);
}

fn run_command(cluster: &Cluster, line: &str) {
    cluster.operate(0, line).expect("the command is accepted");
}
