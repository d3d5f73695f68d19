//! The values whose recorded bytes are in `recorded.rs`.

use std::time::Duration;

use mangocross_serving::BackendServer;
use mangocross_serving::ClassDemand;
use mangocross_serving::ColdReport;
use mangocross_serving::ConfigurationNotice;
use mangocross_serving::CrashCause;
use mangocross_serving::CrashReport;
use mangocross_serving::DemandKey;
use mangocross_serving::DemandReport;
use mangocross_serving::DomainPlan;
use mangocross_serving::EngineStatus;
use mangocross_serving::EvacuationMark;
use mangocross_serving::FormerHead;
use mangocross_serving::KeyChange;
use mangocross_serving::LimitReport;
use mangocross_serving::ListedEntryVm;
use mangocross_serving::Load;
use mangocross_serving::MemberPhase;
use mangocross_serving::Membership;
use mangocross_serving::ModelDemand;
use mangocross_serving::ModelKey;
use mangocross_serving::Moment;
use mangocross_serving::PartCrashReport;
use mangocross_serving::PlannedGroup;
use mangocross_serving::PlannedMember;
use mangocross_serving::ReachNotice;
use mangocross_serving::RelayedChanges;
use mangocross_serving::RelayedOutage;
use mangocross_serving::ReportedCrash;
use mangocross_serving::ReportedPartCrash;
use mangocross_serving::RequestCounts;
use mangocross_serving::RequestIdentity;
use mangocross_serving::ServerProcess;
use mangocross_serving::StreamClass;
use mangocross_serving::Timing;
use mangocross_serving::ZoneReport;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::Rank;
use mangocross_types::RequestRate;
use mangocross_types::Revision;
use mangocross_types::StoreEra;
use mangocross_types::StoreRevision;
use mangocross_types::VmId;

use crate::peers::Counts;
use crate::peers::Message;
use crate::relay_messages::RelayAnswer;
use crate::relay_messages::RelayQuestion;
use crate::relay_messages::RelayedConfirmation;

/// Start time of the server processes, in milliseconds of Unix time.
const BORN_UNIX_MS: u64 = 1_796_000_000_123;

fn vm(number: u32) -> VmId {
    format!("vm-{number}").parse().unwrap()
}

fn revision(revision: u64) -> StoreRevision {
    StoreRevision { era: StoreEra(2), revision: Revision(revision) }
}

fn process(number: u32) -> ServerProcess {
    ServerProcess { vm: vm(number), born_unix_ms: BORN_UNIX_MS }
}

fn server(phase: MemberPhase) -> BackendServer {
    let group: GroupId = "group-1".parse().unwrap();
    let membership = Membership { group, incarnation: Incarnation(300), rank: Rank(1), phase };
    BackendServer {
        vm: vm(7),
        service: "chat".parse().unwrap(),
        address: "127.1.0.7:8000".parse().unwrap(),
        zone: "zone-b".parse().unwrap(),
        slots: 20,
        is_leaving: true,
        engine: EngineStatus {
            domain: Some("domain-1".parse().unwrap()),
            staged: vec!["model-a".parse().unwrap(), "model-b".parse().unwrap()],
            loaded: vec!["model-a".parse().unwrap()],
            membership: Some(membership),
            born_unix_ms: BORN_UNIX_MS,
        },
    }
}

fn counts() -> Counts {
    Counts {
        from: "entry-1".into(),
        loads: vec![(vm(7), Load { in_flight: 200, waiting: 3 })],
        progress: vec![(vm(7), 1500)],
        has_traffic: true,
        slowdowns: vec![(vm(7), 1.25)],
    }
}

/// Returns a message of each kind that the recorded build knows, in the order of the kinds.
pub(super) fn messages() -> Vec<Message> {
    let all_phases = [
        MemberPhase::Joining,
        MemberPhase::Ready,
        MemberPhase::Open,
        MemberPhase::Closing,
        MemberPhase::Broken,
    ];
    let part = "0123456789abcdef".parse().unwrap();
    let identity = RequestIdentity::new("POST", "a.example", "/x?y=1", None, b"body");
    let crash = |cause| ReportedCrash {
        cause,
        server: process(7),
        sent_age_us: 2_000_000,
        age_us: 1_500_000,
        reporters: vec!["entry-1".into()],
        confirmers: vec!["entry-2".into()],
    };
    let part_crash = ReportedPartCrash {
        part,
        server: process(7),
        age_ms: 1500,
        reporters: vec!["entry-1".into()],
    };
    let limit = |limit| LimitReport { vm: vm(7), born_unix_ms: BORN_UNIX_MS, limit, age_ms: 300 };
    let rate = RequestRate::try_from(12.5).unwrap();
    vec![
        Message::Counts(counts()),
        Message::Totals(counts()),
        Message::Suspicions { suspects: vec![vm(7)], to_recheck: vec![vm(8), vm(9)] },
        Message::Entries(vec![(Revision(300), server(MemberPhase::Open))]),
        Message::ClosedHeads(vec![vm(7)]),
        Message::Crashes(PartCrashReport { crashes: vec![part_crash], sound: vec![(part, 900)] }),
        Message::EntriesOfEra(all_phases.map(|it| (revision(300), server(it))).to_vec()),
        Message::Configuration(ConfigurationNotice {
            era: StoreEra(2),
            shown_version: Some(400),
            former_version: None,
        }),
        Message::CrashCauses(CrashReport {
            crashes: vec![crash(CrashCause::Part(part)), crash(CrashCause::Request(identity))],
            sound: vec![(CrashCause::Part(part), 900_000)],
        }),
        Message::Limits {
            from: "entry-1".into(),
            reports: vec![limit(Some(rate)), limit(None)],
            counts: RequestCounts { entry_vms: 3, requests: vec![("chat".parse().unwrap(), 200)] },
        },
        Message::Reach(vec![ReachNotice {
            entry_vm: "entry-1".into(),
            is_cut_off: true,
            age_ms: 300,
        }]),
    ]
}

/// Returns a message of each kind that was added later, in the order of the kinds.
pub(super) fn added_messages() -> Vec<Message> {
    let cold = ColdReport { vm: vm(7), born_unix_ms: BORN_UNIX_MS, left_ms: 9000 };
    let (service, model) = ("chat".parse().unwrap(), "model-a".parse().unwrap());
    let class = StreamClass { timing: Timing::Returned, priority: 1 };
    let class = ClassDemand {
        class,
        streams: 40,
        recent_streams: 22,
        cost: 90_000,
        customers: vec![("customer-1".parse().unwrap(), 60_000)],
        other_customers: 3,
    };
    let demand = ModelDemand {
        model: ModelKey { service, model },
        classes: vec![class],
        begun: 30,
        refused: 4,
        first_events: 28,
        first_event_error_permille: -300,
    };
    let mark = EvacuationMark {
        zone: "zone-b".parse().unwrap(),
        revision: revision(300),
        is_evacuated: true,
    };
    let key = DemandKey { service: "chat".parse().unwrap(), model: None };
    let zone = ZoneReport {
        zone: "zone-b".parse().unwrap(),
        entry_vms: 3,
        age_ms: 250,
        rates: vec![(key, 12.5)],
    };
    vec![
        Message::Cold(vec![cold]),
        Message::Demand {
            from: "entry-1".into(),
            are_totals: true,
            report: DemandReport { entry_vms: 3, models: vec![demand] },
        },
        Message::Evacuations(vec![mark]),
        Message::ZoneDemand { from: "entry-1".into(), are_sums: true, reports: vec![zone] },
        Message::StoreReached,
    ]
}

/// Returns a question to a relay.
pub(super) fn relay_question() -> RelayQuestion {
    let wait = Duration::from_millis(2500);
    RelayQuestion { from: "entry-1".into(), after: revision(300), wait }
}

/// Returns an answer of a relay of each kind, in the order of the kinds.
pub(super) fn relay_answers() -> Vec<RelayAnswer> {
    let at = |ms| Moment::after_boot(Duration::from_millis(ms));
    let written = KeyChange {
        key: "mangocross/planner".into(),
        value: Some(b"entry-1".to_vec()),
        revision: revision(300),
    };
    let removed =
        KeyChange { key: "mangocross/entry/entry-2".into(), value: None, revision: revision(301) };
    vec![
        RelayAnswer::NotFollowing,
        RelayAnswer::StoreLost,
        RelayAnswer::Changes {
            revision: revision(301),
            changes: RelayedChanges { changes: vec![written, removed], is_complete: true },
            confirmation: Some(RelayedConfirmation {
                held: Duration::from_millis(200),
                age: Duration::from_millis(350),
            }),
            outage: Some(RelayedOutage::new(at(500), at(700), at(2500))),
        },
    ]
}

/// Returns the plan of a domain.
pub(super) fn plan() -> DomainPlan {
    let member = |number| PlannedMember { vm: vm(number), born_unix_ms: BORN_UNIX_MS };
    let group = PlannedGroup {
        group: "group-1".parse().unwrap(),
        incarnation: Incarnation(300),
        model: "model-a".parse().unwrap(),
        members: vec![member(7), member(8)],
        former_heads: vec![FormerHead { member: member(9), incarnation: Incarnation(299) }],
        is_dissolving: true,
    };
    DomainPlan { next_incarnation: 301, groups: vec![group] }
}

/// Returns an entry of the list of entry VMs.
pub(super) fn list_entry() -> ListedEntryVm {
    let address = "10.1.0.40:7340".parse().unwrap();
    ListedEntryVm { address, zone: Some("zone-a".parse().unwrap()), capacity: 1000 }
}
