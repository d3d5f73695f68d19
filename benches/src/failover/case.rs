//! The faults that are brought about.

use mangocross_tests::Cluster;
use mangocross_tests::groups::assignment;
use mangocross_tests::groups::owner_of;
use mangocross_types::GroupAssignment;
use mangocross_types::VmId;
use standins::EngineFaults;
use standins::StoreFaults;

/// The group that the faults strike.
const GROUP: &str = "letters-1";

/// A fault, or two at once, under traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultCase {
    /// A member's engine is gone; its VM refuses connections.
    MemberDead,
    /// A member answers nothing.
    MemberFrozen,
    /// The member that takes the requests answers nothing.
    FirstMemberFrozen,
    /// A member's engine was restarted and holds nothing.
    MemberRestarted,
    /// A member works many times slower than the others.
    MemberStraggling,
    /// No VM of the group's fabric domain answers.
    DomainDark,
    /// The coordinator that looks after the group is told to stop.
    OwnerStopped,
    /// The coordinator that looks after the group is killed.
    OwnerKilled,
    /// That coordinator is killed, and a member freezes.
    OwnerKilledAndMemberFrozen,
    /// That coordinator pauses, and a member freezes.
    OwnerFrozenAndMemberFrozen,
    /// The gateway of one entry VM is killed.
    GatewayKilled,
    /// The store is down for 5 s, and a member freezes.
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

    /// Returns the gateway that callers no longer use, as the platform's balancer would see it.
    pub fn killed_gateway(self) -> Option<u16> {
        (self == Self::GatewayKilled).then_some(0)
    }

    /// Brings the fault about.
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

    /// Ends what does not last until the measurement ends.
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

/// Where the group is.
struct GroupLocation {
    group: GroupAssignment,
    /// Number of its fabric domain, 1 or 2.
    domain: u16,
    /// Node of the coordinator that looks after it.
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
