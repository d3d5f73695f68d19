//! Random faults, one or two at a time.

use std::thread;
use std::time::Duration;

use mangocross_types::Rank;
use standins::EngineFaults;
use standins::PlatformFaults;
use standins::ServiceFaults;
use standins::StoreFaults;

use crate::Cluster;
use crate::LinkMode;
use crate::PeerProcess;
use crate::RelayMode;
use crate::soak::Record;

/// Shortest and longest time that a fault lasts, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 300..6_000;
/// Shortest and longest time that a member is lost, in milliseconds; the group monitor detects only
/// losses that last longer than a health lease.
const LOSS_MS: std::ops::Range<u64> = 6_000..9_000;
/// Number of rounds out of 256, on average, that are chosen to freeze a group member and cut a
/// gateway from the coordinators of the other nodes; other rounds may draw this fault too.
const MEMBER_LOSS_SHARE: u8 = 64;
/// Shortest and longest pause between faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..2_500;
/// Delay of delayed datagrams; longer than a health lease lasts.
const DATAGRAM_DELAY: Duration = Duration::from_millis(3_000);

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    KillGateway,
    FreezeGateway,
    KillCoordinator,
    FreezeCoordinator,
    EngineFrozen,
    EngineRestartedEmpty,
    EngineStraggler,
    EngineSilent,
    EngineCut,
    EngineSwap,
    EngineRepeat,
    DomainDark,
    StoreDown,
    StoreLosesAnswers,
    StoreGarblesAnswers,
    StoreSlow,
    StoreCutFromNode,
    StoreSilentForNode,
    ServiceLosesAnswers,
    ServiceSlow,
    ServiceRefuses,
    ServiceSwaps,
    PlatformDown,
    PlatformLags,
    DrainAndResume,
    Move,
    GatewayCut,
    MemberLostAndGatewayCut,
    CoordinatorCut,
    RepliesLate,
    DatagramsRepeated,
    DatagramsReordered,
}

const ALL: &[Fault] = &[
    Fault::KillGateway,
    Fault::FreezeGateway,
    Fault::KillCoordinator,
    Fault::FreezeCoordinator,
    Fault::EngineFrozen,
    Fault::EngineRestartedEmpty,
    Fault::EngineStraggler,
    Fault::EngineSilent,
    Fault::EngineCut,
    Fault::EngineSwap,
    Fault::EngineRepeat,
    Fault::DomainDark,
    Fault::StoreDown,
    Fault::StoreLosesAnswers,
    Fault::StoreGarblesAnswers,
    Fault::StoreSlow,
    Fault::StoreCutFromNode,
    Fault::StoreSilentForNode,
    Fault::ServiceLosesAnswers,
    Fault::ServiceSlow,
    Fault::ServiceRefuses,
    Fault::ServiceSwaps,
    Fault::PlatformDown,
    Fault::PlatformLags,
    Fault::DrainAndResume,
    Fault::Move,
    Fault::GatewayCut,
    Fault::MemberLostAndGatewayCut,
    Fault::CoordinatorCut,
    Fault::RepliesLate,
    Fault::DatagramsRepeated,
    Fault::DatagramsReordered,
];

/// A process that a fault kills or freezes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoppedProcess {
    Gateway,
    Coordinator,
}

impl Fault {
    /// Returns the process of the node that this fault stops.
    fn process(self) -> Option<StoppedProcess> {
        match self {
            Self::KillGateway | Self::FreezeGateway => Some(StoppedProcess::Gateway),
            Self::KillCoordinator | Self::FreezeCoordinator => Some(StoppedProcess::Coordinator),
            _ => None,
        }
    }
}

/// A reproducible sequence of random faults.
pub struct FaultPlan {
    random: fastrand::Rng,
}

impl FaultPlan {
    /// Returns the sequence of faults for a seed.
    pub fn new(seed: u64) -> Self {
        Self { random: fastrand::Rng::with_seed(seed) }
    }

    /// Injects one or two random faults, clears them after a random time, then pauses.
    pub fn run_round(&mut self, cluster: &mut Cluster, record: &Record) {
        let is_loss = self.random.u8(..) < MEMBER_LOSS_SHARE;
        let first = match is_loss {
            true => Fault::MemberLostAndGatewayCut,
            false => ALL[self.random.usize(..ALL.len())],
        };
        let second = ALL[self.random.usize(..ALL.len())];
        let both = self.random.u8(..) < 96;
        let node = self.random.usize(..cluster.gateways.len());
        let vm = match is_loss {
            true => self.member(cluster),
            false => self.random.usize(..cluster.engines.len()),
        };
        // A dead process cannot be frozen, and a frozen one cannot be restarted.
        let same_process = first.process().is_some() && first.process() == second.process();
        let second_node = (node + usize::from(same_process)) % cluster.gateways.len();
        let with_second = format!(" and {second:?} node {second_node}");
        let second_text = if both { with_second.as_str() } else { "" };
        eprintln!("fault {first:?} node {node} vm {vm}{second_text}");
        record.count(format!("fault: {first:?}"));
        begin(first, cluster, node, vm);
        if both {
            record.count(format!("fault: {second:?}"));
            begin(second, cluster, second_node, vm);
        }
        let lasts_ms = if is_loss { LOSS_MS } else { FAULT_MS };
        thread::sleep(Duration::from_millis(self.random.u64(lasts_ms)));
        end(first, cluster, node, vm);
        if both {
            end(second, cluster, second_node, vm);
        }
        thread::sleep(Duration::from_millis(self.random.u64(PAUSE_MS)));
    }

    /// Returns a VM whose loss breaks its group while rank zero keeps working, if there is one.
    fn member(&mut self, cluster: &Cluster) -> usize {
        let reports = cluster.engines.values().map(standins::EngineStandin::report).enumerate();
        let members = reports.filter(|(_, it)| it.group.is_some() && it.rank != Rank(0));
        let members: Vec<usize> = members.map(|(number, _)| number).collect();
        self.random.choice(members).unwrap_or_default()
    }
}

fn begin(fault: Fault, cluster: &mut Cluster, node: usize, vm: usize) {
    let store = |faults: StoreFaults| cluster.store.faults().set(faults);
    let service = |faults: ServiceFaults| cluster.service.faults().set(faults);
    let platform = |faults: PlatformFaults| cluster.platform.faults().set(faults);
    match fault {
        Fault::KillGateway => cluster.gateways[node].kill(),
        Fault::FreezeGateway => cluster.gateways[node].freeze(),
        Fault::KillCoordinator => cluster.coordinators[node].kill(),
        Fault::FreezeCoordinator => cluster.coordinators[node].freeze(),
        Fault::EngineRestartedEmpty => engine(cluster, vm).restart_empty(),
        Fault::EngineFrozen
        | Fault::EngineStraggler
        | Fault::EngineSilent
        | Fault::EngineCut
        | Fault::EngineSwap
        | Fault::EngineRepeat => engine(cluster, vm).faults().set(engine_faults(fault)),
        Fault::DomainDark => set_domain_faults(
            cluster,
            vm,
            &EngineFaults { frozen: true, ..EngineFaults::default() },
        ),
        Fault::StoreDown => store(StoreFaults { down: true, ..StoreFaults::default() }),
        Fault::StoreLosesAnswers => {
            store(StoreFaults { lose_write_answers: true, ..StoreFaults::default() });
        }
        Fault::StoreGarblesAnswers => {
            store(StoreFaults { garble_write_answers: true, ..StoreFaults::default() });
        }
        Fault::StoreSlow => store(StoreFaults { delay_ms: 700, ..StoreFaults::default() }),
        Fault::StoreCutFromNode => cluster.store_relays[node].set(RelayMode::Cut),
        Fault::StoreSilentForNode => cluster.store_relays[node].set(RelayMode::Silent),
        Fault::ServiceLosesAnswers => {
            service(ServiceFaults { lose_answers: true, ..ServiceFaults::default() });
        }
        Fault::ServiceSlow => service(ServiceFaults { delay_ms: 900, ..ServiceFaults::default() }),
        Fault::ServiceRefuses => {
            service(ServiceFaults { refuse: true, ..ServiceFaults::default() })
        }
        Fault::ServiceSwaps => {
            service(ServiceFaults { swap_answers: true, ..ServiceFaults::default() });
        }
        Fault::PlatformDown => platform(PlatformFaults { down: true, ..PlatformFaults::default() }),
        Fault::PlatformLags => {
            platform(PlatformFaults { list_lag_ms: 5_000, ..PlatformFaults::default() });
        }
        Fault::DrainAndResume => operate(cluster, node, "drain group letters-2"),
        Fault::Move => operate(cluster, node, "move group drills-1 to domain-3"),
        Fault::GatewayCut => link_gateway(cluster, node, LinkMode::Cut),
        Fault::MemberLostAndGatewayCut => {
            link_gateway(cluster, node, LinkMode::Cut);
            engine(cluster, vm).faults().set(engine_faults(Fault::EngineFrozen));
        }
        Fault::CoordinatorCut => link_coordinator(cluster, node, LinkMode::Cut),
        Fault::RepliesLate => link_gateway(cluster, node, LinkMode::DelayReplies(DATAGRAM_DELAY)),
        Fault::DatagramsRepeated => link_gateway(cluster, node, LinkMode::Repeat(DATAGRAM_DELAY)),
        Fault::DatagramsReordered => link_gateway(cluster, node, LinkMode::Reorder(DATAGRAM_DELAY)),
    }
}

fn end(fault: Fault, cluster: &mut Cluster, node: usize, vm: usize) {
    match fault {
        Fault::KillGateway => cluster.gateways[node].restart(),
        Fault::KillCoordinator => cluster.coordinators[node].restart(),
        Fault::FreezeGateway => cluster.gateways[node].thaw(),
        Fault::FreezeCoordinator => cluster.coordinators[node].thaw(),
        Fault::DomainDark => set_domain_faults(cluster, vm, &EngineFaults::default()),
        Fault::StoreCutFromNode | Fault::StoreSilentForNode => {
            cluster.store_relays[node].set(RelayMode::Pass);
        }
        Fault::DrainAndResume => operate(cluster, node, "resume group letters-2"),
        Fault::Move => operate(cluster, node, "move group drills-1 to domain-2"),
        Fault::CoordinatorCut => link_coordinator(cluster, node, LinkMode::Pass),
        Fault::GatewayCut
        | Fault::RepliesLate
        | Fault::DatagramsRepeated
        | Fault::DatagramsReordered => link_gateway(cluster, node, LinkMode::Pass),
        _ => {
            link_gateway(cluster, node, LinkMode::Pass);
            engine(cluster, vm).faults().set(EngineFaults::default());
            cluster.store.faults().set(StoreFaults::default());
            cluster.service.faults().set(ServiceFaults::default());
            cluster.platform.faults().set(PlatformFaults::default());
        }
    }
}

fn engine_faults(fault: Fault) -> EngineFaults {
    let none = EngineFaults::default();
    match fault {
        Fault::EngineFrozen => EngineFaults { frozen: true, ..none },
        Fault::EngineStraggler => EngineFaults { straggler: true, ..none },
        Fault::EngineSilent => EngineFaults { silent_after: Some(20), ..none },
        Fault::EngineCut => EngineFaults { cut_after: Some(20), ..none },
        Fault::EngineSwap => EngineFaults { swap_after: Some(20), ..none },
        _ => EngineFaults { repeat_token: Some(20), ..none },
    }
}

/// Sets the mode of the links between a node's gateway and the coordinators of the other nodes.
fn link_gateway(cluster: &Cluster, node: usize, mode: LinkMode) {
    let (node, others) = others(cluster, node);
    others.for_each(|it| cluster.link(PeerProcess::Gateway(node), it, mode));
}

/// Sets the mode of the links between a node's coordinator and those of the other nodes.
fn link_coordinator(cluster: &Cluster, node: usize, mode: LinkMode) {
    let (node, others) = others(cluster, node);
    others.for_each(|it| cluster.link_coordinators(node, it, mode));
}

/// Returns the number of a node and those of the other nodes.
fn others(cluster: &Cluster, node: usize) -> (u16, impl Iterator<Item = u16>) {
    let number = |it: usize| u16::try_from(it).unwrap_or_default();
    let (node, nodes) = (number(node), number(cluster.coordinators.len()));
    (node, (0..nodes).filter(move |it| *it != node))
}

fn engine(cluster: &Cluster, vm: usize) -> &standins::EngineStandin {
    cluster.engines.values().nth(vm).expect("the VM exists")
}

/// Sets the faults of all engines in the domain of a VM.
fn set_domain_faults(cluster: &Cluster, vm: usize, faults: &EngineFaults) {
    let name = cluster.engines.keys().nth(vm).expect("the VM exists").to_string();
    let domain = name.rsplit_once('-').map(|(domain, _)| domain.to_owned()).unwrap_or_default();
    let in_domain = |it: &&standins::EngineStandin| {
        it.report().vm.as_str().rsplit_once('-').is_some_and(|(of, _)| of == domain)
    };
    for engine in cluster.engines.values().filter(in_domain) {
        engine.faults().set(faults.clone());
    }
}

/// Sends a command through a node other than `node` and prints a refusal.
fn operate(cluster: &Cluster, node: usize, line: &str) {
    let other = (node + 1) % cluster.coordinators.len();
    if let Err(message) = cluster.operate(u16::try_from(other).unwrap_or_default(), line) {
        eprintln!("command `{line}`: {message}");
    }
}
