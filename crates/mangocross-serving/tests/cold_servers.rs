//! Cold servers: the requests of all entry VMs together keep to what such a server takes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mangocross_serving::BackendServer;
use mangocross_serving::ColdReport;
use mangocross_serving::ColdRule;
use mangocross_serving::ColdServers;
use mangocross_serving::EngineStatus;
use mangocross_serving::Moment;
use mangocross_serving::process_age;
use mangocross_types::Revision;
use mangocross_types::ServiceId;
use mangocross_types::StoreRevision;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Rule of a deployment of 75 entry VMs.
const RULE: ColdRule =
    ColdRule { start: Duration::from_secs(3), per_s: 14.0, overshoot: 1.5, slack: 5.0 };
const STEP_MS: u64 = 10;
/// Longest time between sending a request and its arrival.
const DELAY_MAX_MS: u64 = 200;
/// When the server becomes cold.
const COLD_AT_MS: u64 = 5_000;
const END_MS: u64 = 13_000;

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(ms))
}

fn server(born_unix_ms: u64) -> BackendServer {
    BackendServer {
        vm: "i-1".parse().expect("a valid id"),
        service: "models".parse().expect("a valid id"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "zone-a".parse().expect("a valid name"),
        slots: 20,
        is_leaving: false,
        engine: EngineStatus { born_unix_ms, ..EngineStatus::default() },
    }
}

fn cold_servers(rule: ColdRule) -> ColdServers {
    let mut it = ColdServers::default();
    let service: ServiceId = "models".parse().expect("a valid id");
    it.set_rules(HashMap::from([(service, rule)]));
    it
}

/// A fleet whose entry VMs have requests for one cold server.
struct Fleet {
    rule: ColdRule,
    entry_vms: usize,
    /// Whether an entry VM sends at a time, in milliseconds.
    runs: Box<dyn Fn(usize, u64) -> bool>,
    /// Whether an entry VM lists another one at a time.
    lists: Box<dyn Fn(usize, usize, u64) -> bool>,
    /// Chance that an entry VM has a request for the server in a step.
    demand: Box<dyn Fn(usize, u64) -> f64>,
}

impl Fleet {
    /// Returns a fleet whose entry VMs all list each other and always have requests.
    fn new(rule: ColdRule, entry_vms: usize) -> Self {
        Self {
            rule,
            entry_vms,
            runs: Box::new(|_, _| true),
            lists: Box::new(|_, _, _| true),
            demand: Box::new(|_, _| 1.0),
        }
    }

    /// Returns the times at which requests arrive.
    fn run(&self, seed: u64) -> Vec<u64> {
        let mut random = fastrand::Rng::with_seed(seed);
        let listed = server(seed);
        let names: Vec<Arc<str>> =
            (0..self.entry_vms).map(|it| Arc::from(format!("front-{it}"))).collect();
        let mut vms: Vec<ColdServers> = names.iter().map(|_| cold_servers(self.rule)).collect();
        let mut arrivals = Vec::new();
        for now in (0..END_MS).step_by(STEP_MS as usize) {
            for (vm, cold) in vms.iter_mut().enumerate() {
                if !(self.runs)(vm, now) {
                    *cold = cold_servers(self.rule);
                    continue;
                }
                if now >= COLD_AT_MS {
                    let process = (&listed.vm, listed.engine.born_unix_ms);
                    cold.record_told(process, Duration::from_secs(30), at(now));
                }
                // The refreshes of the entry VMs are spread over their interval.
                if now / STEP_MS % 10 == vm as u64 % 10 || now == COLD_AT_MS {
                    let is_listed = |other: &usize| (self.lists)(vm, *other, now);
                    let list = (0..names.len()).filter(is_listed).map(|it| &names[it]);
                    let servers = std::iter::once(&listed);
                    cold.refresh(&names[vm], list, servers, at(now), || random.f64());
                }
                let has_request = random.f64() < (self.demand)(vm, now);
                if now >= COLD_AT_MS && has_request && cold.has_room(&listed, at(now)) {
                    cold.record_request(&listed.vm, at(now));
                    arrivals.push(now + random.u64(0..=DELAY_MAX_MS));
                }
            }
        }
        arrivals.sort_unstable();
        arrivals
    }

    /// Returns the highest number of requests that arrive in a span of one second.
    fn busiest(&self, seed: u64) -> usize {
        let arrivals = self.run(seed);
        let within = |first: usize| {
            arrivals[first..].iter().take_while(|it| **it - arrivals[first] <= 1000).count()
        };
        (0..arrivals.len()).map(within).max().unwrap_or_default()
    }

    fn keeps_to_rule(&self, seed: u64) -> bool {
        self.busiest(seed) <= self.rule.allowed() as usize
    }
}

/// Demand of one of several kinds: always, a burst after idle time, on and off, or single requests.
fn demand(kind: u8) -> Box<dyn Fn(usize, u64) -> f64> {
    match kind % 4 {
        0 => Box::new(|_, _| 1.0),
        1 => Box::new(|_, now| if now < COLD_AT_MS + 4_000 { 0.0 } else { 1.0 }),
        2 => Box::new(|_, now| if now / 700 % 2 == 0 { 1.0 } else { 0.0 }),
        _ => Box::new(|vm, _| if vm % 2 == 0 { 0.05 } else { 0.004 }),
    }
}

/// On a deployment of 75 entry VMs 33 requests in a second arrived where 26 are allowed.
#[test]
fn fleet_keeps_to_rule_whatever_the_demand() {
    fn holds(entry_vms: u8, per_s: u8, slack: u8, kind: u8, seed: u64) -> bool {
        let entry_vms = 1 + usize::from(entry_vms) % 100;
        let (per_s, slack) = (f64::from(1 + per_s % 40), f64::from(slack % 10));
        let rule = ColdRule { per_s, slack, ..RULE };
        let fleet = Fleet { demand: demand(kind), ..Fleet::new(rule, entry_vms) };
        fleet.keeps_to_rule(seed)
    }
    let property = holds as fn(u8, u8, u8, u8, u64) -> bool;
    let generator = Gen::from_size_and_seed(100, 1);
    QuickCheck::new().rng(generator).tests(60).quickcheck(property);
}

#[test]
fn every_fleet_size_keeps_to_rule_of_deployment_c() {
    for entry_vms in 1..=100 {
        let fleet = Fleet { demand: demand(entry_vms as u8), ..Fleet::new(RULE, entry_vms) };
        let busiest = fleet.busiest(entry_vms as u64);
        assert!(busiest <= 26, "{entry_vms} entry VMs: {busiest} in a second");
    }
}

/// Lists of entry VMs that are old: up to three in ten are missing from the lists of the others.
#[test]
fn old_lists_keep_to_rule() {
    for seed in 0..20 {
        let lists = move |vm: usize, other: usize, _| vm >= 52 || other < 52;
        let fleet = Fleet { lists: Box::new(lists), ..Fleet::new(RULE, 75) };
        let busiest = fleet.busiest(seed);
        assert!(busiest <= 26, "seed {seed}: {busiest} in a second");
    }
}

/// A zone's entry VMs start while the server is cold; the others list them up to half a second later.
#[test]
fn added_entry_vms_keep_to_rule() {
    for seed in 0..20 {
        let started = |vm: usize| if vm < 50 { 0 } else { COLD_AT_MS + 1_500 };
        let lists = move |vm: usize, other: usize, now: u64| {
            vm == other || now >= started(other) + 250 * (vm as u64 % 3)
        };
        let runs = move |vm: usize, now: u64| now >= started(vm);
        let (lists, runs) = (Box::new(lists), Box::new(runs));
        let fleet = Fleet { lists, runs, ..Fleet::new(RULE, 75) };
        let busiest = fleet.busiest(seed);
        assert!(busiest <= 26, "seed {seed}: {busiest} in a second");
    }
}

/// All entry VMs start again while the server is cold, and find all others listed.
#[test]
fn restarted_fleet_keeps_to_rule() {
    for seed in 0..20 {
        let runs = |_, now: u64| !(COLD_AT_MS - 500..COLD_AT_MS).contains(&now);
        let fleet = Fleet { runs: Box::new(runs), ..Fleet::new(RULE, 75) };
        let busiest = fleet.busiest(seed);
        assert!(busiest <= 26, "seed {seed}: {busiest} in a second");
        assert!(!fleet.run(seed).is_empty(), "entry VMs without quotas have turns");
    }
}

/// A zone's entry VMs disappear from the lists of the others, killed or still running.
#[test]
fn removed_entry_vms_keep_to_rule() {
    for (seed, keep_running) in (0..20).map(|it| (it, it % 2 == 0)) {
        let lists = |vm: usize, other: usize, now: u64| {
            vm >= 53 || other < 53 || now < COLD_AT_MS + 1_000 + 200 * (vm as u64 % 3)
        };
        let runs = move |vm: usize, now: u64| vm < 53 || keep_running || now < COLD_AT_MS + 800;
        let (lists, runs) = (Box::new(lists), Box::new(runs));
        let fleet = Fleet { lists, runs, ..Fleet::new(RULE, 75) };
        let busiest = fleet.busiest(seed);
        assert!(busiest <= 26, "seed {seed}, {keep_running}: {busiest} in a second");
    }
}

/// Servers that come back are used within seconds: after the first turns, which come at random times,
/// the fleet sends nearly `cold_per_s`.
#[test]
fn busy_fleet_uses_what_a_cold_server_takes() {
    for entry_vms in [6, 18, 33, 75, 100] {
        let arrivals = Fleet::new(RULE, entry_vms).run(7);
        let (begin, end) = (COLD_AT_MS + 1_500, COLD_AT_MS + 6_500);
        let count = arrivals.iter().filter(|it| (begin..end).contains(it)).count() as f64;
        assert!(count >= 0.8 * 5.0 * RULE.per_s, "{entry_vms} entry VMs: {count} in 5 s");
    }
}

/// An entry VM without a quota at one server has one at another.
#[test]
fn every_entry_vm_has_turns_at_some_servers() {
    let names: Vec<Arc<str>> = (0..75).map(|it| Arc::from(format!("front-{it}"))).collect();
    let servers: Vec<BackendServer> = (0..54)
        .map(|it| BackendServer { vm: format!("i-{it}").parse().expect("an id"), ..server(9) })
        .collect();
    for own in &names {
        let mut cold = cold_servers(RULE);
        let mut begun = Vec::new();
        for now in [0, 4_000] {
            for it in &servers {
                cold.record_told((&it.vm, 9), Duration::from_secs(3), at(now));
            }
            cold.refresh(own, names.iter(), servers.iter(), at(now), || 0.0);
            begun.push(servers.iter().filter(|it| cold.has_room(it, at(now))).count());
        }
        // The expected number is 13 of 54.
        assert!(begun[1] >= 3, "{own} has turns at {} servers", begun[1]);
    }
}

#[test]
fn server_is_cold_by_entry_answer_report_and_start() {
    let mut cold = cold_servers(RULE);
    let now = at(100_000);
    let revision = |it| StoreRevision { revision: Revision(it), ..StoreRevision::default() };
    let listed = server(7);
    cold.record_listed(&listed.vm, 7, Duration::from_secs(60), now);
    assert!(cold.has_room(&listed, now), "it started long ago");
    let two_s = Duration::from_secs(2);
    assert!(cold.record_entry((&listed.vm, 7), two_s, revision(5), now));
    assert!(cold.is_cold(&listed, at(101_900)) && !cold.is_cold(&listed, at(102_000)));
    assert!(!cold.has_room(&listed, now), "without a turn");
    assert!(!cold.record_entry((&listed.vm, 7), two_s, revision(5), at(102_000)));
    assert!(!cold.is_cold(&listed, at(102_000)), "the entry is read again");
    assert!(cold.record_told((&listed.vm, 7), two_s, at(103_000)), "cold again");
    assert!(!cold.record_told((&listed.vm, 7), two_s, at(103_100)), "nothing new");
    assert!(!cold.record_told((&listed.vm, 6), two_s, at(104_000)), "an earlier process");
    assert!(!cold.is_cold(&listed, at(105_200)));
    let report = ColdReport { vm: listed.vm.clone(), born_unix_ms: 7, left_ms: 500 };
    cold.record_report(&report, at(105_200));
    assert!(cold.is_cold(&listed, at(105_600)));
    cold.record_listed(&listed.vm, 8, Duration::from_millis(100), at(200_000));
    assert!(cold.is_cold(&server(8), at(202_900)), "a new process");
    assert!(!cold.is_cold(&server(8), at(203_000)));
}

/// An entry VM whose wall clock is far behind would take all servers for cold when it starts.
#[test]
fn age_of_a_process_by_a_clock_that_is_wrong_tells_nothing() {
    let s = Duration::from_secs;
    assert_eq!(process_age(s(100), s(103)), s(3));
    assert_eq!(process_age(s(101), s(100)), Duration::ZERO);
    assert_eq!(process_age(s(103), s(100)), Duration::MAX);
}

/// A connection took long, and the server became cold meanwhile or has had a turn since.
#[test]
fn request_is_sent_late_only_with_a_turn() {
    let mut cold = cold_servers(RULE);
    let (listed, own) = (server(7), Arc::<str>::from("front-1"));
    let refresh = |cold: &mut ColdServers, now| {
        cold.refresh(&own, std::iter::once(&own), std::iter::once(&listed), now, || 0.0);
    };
    refresh(&mut cold, at(0));
    assert!(cold.may_send(&listed, at(3_900), at(4_000)), "it is not cold");
    cold.record_told((&listed.vm, 7), Duration::from_secs(3), at(4_000));
    assert!(!cold.may_send(&listed, at(3_900), at(4_000)), "there are no turns yet");
    refresh(&mut cold, at(4_000));
    assert!(cold.may_send(&listed, at(3_900), at(4_000)), "there is a turn");
    cold.record_request(&listed.vm, at(4_000));
    assert!(!cold.may_send(&listed, at(4_010), at(4_020)));
    assert!(cold.may_send(&listed, at(4_000), at(4_020)), "the turn was taken for it");
}

#[test]
fn server_is_cold_when_its_zone_is_taken_back() {
    let mut cold = cold_servers(RULE);
    let listed = server(7);
    cold.record_listed(&listed.vm, 7, Duration::from_secs(60), at(0));
    cold.record_taken_back(&listed, at(1_000));
    assert!(cold.is_cold(&listed, at(3_900)) && !cold.is_cold(&listed, at(4_000)));
}

/// A zone's servers are cut off for a while and listed again with the same processes.
#[test]
fn server_is_cold_when_it_is_listed_again() {
    let mut cold = cold_servers(RULE);
    let (listed, own) = (server(7), Arc::<str>::from("front-1"));
    let an_hour = Duration::from_secs(3_600);
    cold.record_listed(&listed.vm, 7, an_hour, at(0));
    for now in (0..20_000).step_by(1_000) {
        cold.refresh(&own, std::iter::empty(), std::iter::once(&listed), at(now), || 0.0);
    }
    cold.record_listed(&listed.vm, 7, an_hour, at(20_000));
    assert!(!cold.is_cold(&listed, at(20_000)), "it was listed all the time");
    cold.record_listed(&listed.vm, 7, an_hour, at(26_000));
    assert!(cold.is_cold(&listed, at(28_900)) && !cold.is_cold(&listed, at(29_000)));
}

/// Without `cold_start_s` and `cold_per_s` nothing is limited.
#[test]
fn service_without_rule_is_not_limited() {
    let mut cold = ColdServers::default();
    let listed = server(7);
    cold.record_listed(&listed.vm, 7, Duration::ZERO, at(0));
    cold.record_told((&listed.vm, 7), Duration::from_secs(3), at(0));
    assert!(cold.has_room(&listed, at(0)) && !cold.is_cold(&listed, at(0)));
}
