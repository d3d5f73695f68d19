//! The simulated cases: fleet, faults and requests.

use std::fmt;
use std::str::FromStr;

/// One second in milliseconds.
pub(crate) const SECOND_MS: u64 = 1_000;
/// One minute in milliseconds.
const MINUTE_MS: u64 = 60 * SECOND_MS;
/// One hour in milliseconds.
const HOUR_MS: u64 = 60 * MINUTE_MS;
/// Time of the first fault.
pub(crate) const FIRST_FAULT_MS: u64 = MINUTE_MS;
/// VMs of the fleet to which the daily fault rates apply.
const FULL_FLEET_VMS: u64 = 7_000;
/// VM failures on an ordinary day in the full fleet.
const FAILURES_A_DAY: u64 = 66;
/// VM restarts on an ordinary day in the full fleet.
const RESTARTS_A_DAY: u64 = 1_400;

/// A simulated case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Case {
    /// One member fails or restarts at a time.
    Member,
    /// All VMs of a fabric domain go down.
    Rack,
    /// Each VM is restarted in turn, as announced.
    Rolling,
    /// Some members become slow.
    Straggler,
    /// Members fail while no assignment can be changed.
    StoreOutage,
    /// A large customer sends many times its usual requests.
    FlashCrowd,
    /// Overload, with drafts configured as the first kind.
    PanelWeek,
    /// Many more prompt prefixes than fit in the caches, while members fail.
    CachePressure,
    /// Members fail one at a time; after an hour a large group is started.
    Growing,
    /// Groups of 16, an ordinary day.
    LargeDay,
    /// Groups of 16, many more prompt prefixes than fit in the caches, while members fail.
    LargePressure,
    /// Groups of 16, all VMs of two fabric domains go down.
    LargeDark,
}

impl Case {
    /// All cases.
    pub const ALL: [Self; 12] = [
        Self::Member,
        Self::Rack,
        Self::Rolling,
        Self::Straggler,
        Self::StoreOutage,
        Self::FlashCrowd,
        Self::PanelWeek,
        Self::CachePressure,
        Self::Growing,
        Self::LargeDay,
        Self::LargeDark,
        Self::LargePressure,
    ];

    /// Returns the name of the case.
    pub fn name(self) -> &'static str {
        match self {
            Self::Member => "member",
            Self::Rack => "rack",
            Self::Rolling => "rolling",
            Self::Straggler => "straggler",
            Self::StoreOutage => "store-outage",
            Self::FlashCrowd => "flash-crowd",
            Self::PanelWeek => "panel-week",
            Self::CachePressure => "cache-pressure",
            Self::Growing => "growing",
            Self::LargeDay => "large-day",
            Self::LargeDark => "large-dark",
            Self::LargePressure => "large-pressure",
        }
    }

    /// Returns whether the case has faults that affect groups.
    pub fn has_faults(self) -> bool {
        !matches!(self, Self::FlashCrowd | Self::PanelWeek)
    }

    /// Returns the fleet and its faults for a seed.
    pub fn scenario(self, seed: u64) -> Scenario {
        let mut random = fastrand::Rng::with_seed(seed ^ 0x706f_6c69_6379);
        let mut scenario = match self {
            Self::LargeDay | Self::LargeDark | Self::LargePressure => Scenario::large(),
            Self::Growing => Scenario::growing(),
            _ => Scenario::today(&mut random),
        };
        scenario.horizon_ms = match self {
            Self::FlashCrowd | Self::PanelWeek | Self::CachePressure | Self::LargePressure => {
                5 * MINUTE_MS
            }
            Self::Rack | Self::Straggler | Self::StoreOutage => 40 * MINUTE_MS,
            Self::Member | Self::Rolling | Self::Growing | Self::LargeDark => 2 * HOUR_MS,
            Self::LargeDay => 24 * HOUR_MS,
        };
        scenario.add_faults(self, &mut random);
        scenario.faults.sort_by_key(|it| it.at_ms);
        scenario
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Case {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|it| it.name() == text);
        found.ok_or_else(|| {
            let names: Vec<&str> = Self::ALL.iter().map(|it| it.name()).collect();
            format!("unknown case `{text}`; expected one of {}", names.join(", "))
        })
    }
}

/// Kind of a VM's fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum FaultKind {
    /// Down for this long; returns without weights.
    Fail { down_ms: u64 },
    /// Down for this long; returns with its weights.
    Restart { down_ms: u64, announced: bool },
    /// Slow by a factor for this long.
    Straggle { slowdown: f64, for_ms: u64 },
}

/// A fault of one VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Fault {
    pub(crate) at_ms: u64,
    pub(crate) vm: usize,
    pub(crate) kind: FaultKind,
}

/// A fleet and its faults.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub(crate) domains: usize,
    pub(crate) vms_in_domain: usize,
    pub(crate) group_sizes: Vec<u16>,
    /// When each group is started.
    pub(crate) group_starts_ms: Vec<u64>,
    pub(crate) horizon_ms: u64,
    pub(crate) faults: Vec<Fault>,
    /// Start and end of the period in which no assignment can be changed.
    pub(crate) store_outage_ms: Option<(u64, u64)>,
}

impl Scenario {
    /// 65 VMs in five fabric domains; groups in random order, as operators may start them.
    fn today(random: &mut fastrand::Rng) -> Self {
        let mut group_sizes = vec![8, 8, 8, 4, 4, 4, 4, 4, 4, 2, 2, 2, 2, 2];
        random.shuffle(&mut group_sizes);
        Self::without_faults(5, 13, group_sizes)
    }

    /// 680 VMs in twenty fabric domains, two groups of 16 in each.
    fn large() -> Self {
        Self::without_faults(20, 34, vec![16; 40])
    }

    /// 60 VMs in five fabric domains; ten groups of 4, and one of 8 after an hour.
    fn growing() -> Self {
        let mut scenario = Self::without_faults(5, 12, [vec![4; 10], vec![8]].concat());
        scenario.group_starts_ms[10] = HOUR_MS;
        scenario
    }

    fn without_faults(domains: usize, vms_in_domain: usize, group_sizes: Vec<u16>) -> Self {
        Self {
            domains,
            vms_in_domain,
            group_starts_ms: vec![0; group_sizes.len()],
            group_sizes,
            horizon_ms: 0,
            faults: Vec::new(),
            store_outage_ms: None,
        }
    }

    pub(crate) fn vms(&self) -> usize {
        self.domains * self.vms_in_domain
    }

    fn add_faults(&mut self, case: Case, random: &mut fastrand::Rng) {
        match case {
            Case::Member | Case::Growing => self.add_member_faults(5 * MINUTE_MS, random),
            Case::CachePressure | Case::LargePressure => {
                self.add_member_faults(30 * SECOND_MS, random)
            }
            Case::Rack => self.add_domain_outages(1, random),
            Case::LargeDark => self.add_domain_outages(2, random),
            Case::Rolling => self.add_rolling_restarts(random),
            Case::Straggler => self.add_stragglers(random),
            Case::StoreOutage => self.add_store_outage(random),
            Case::LargeDay => self.add_daily_faults(random),
            Case::FlashCrowd | Case::PanelWeek => {}
        }
    }

    fn add_member_faults(&mut self, step_ms: u64, random: &mut fastrand::Rng) {
        for at_ms in (FIRST_FAULT_MS..self.horizon_ms).step_by(step_ms as usize) {
            let vm = random.usize(..self.vms());
            let kind = if random.bool() { failure(random) } else { restart(random) };
            self.faults.push(Fault { at_ms, vm, kind });
        }
    }

    fn add_domain_outages(&mut self, domains: usize, random: &mut fastrand::Rng) {
        for domain in random.choose_multiple(0..self.domains, domains) {
            let down_ms = random.u64(5 * MINUTE_MS..25 * MINUTE_MS);
            let at_ms = FIRST_FAULT_MS + random.u64(..MINUTE_MS);
            let first = domain * self.vms_in_domain;
            for vm in first..first + self.vms_in_domain {
                let kind = FaultKind::Restart { down_ms, announced: false };
                self.faults.push(Fault { at_ms, vm, kind });
            }
        }
    }

    fn add_rolling_restarts(&mut self, random: &mut fastrand::Rng) {
        for vm in 0..self.vms() {
            let at_ms = FIRST_FAULT_MS + vm as u64 * 100 * SECOND_MS;
            let down_ms = random.u64(45 * SECOND_MS..90 * SECOND_MS);
            self.faults.push(Fault {
                at_ms,
                vm,
                kind: FaultKind::Restart { down_ms, announced: true },
            });
        }
    }

    fn add_stragglers(&mut self, random: &mut fastrand::Rng) {
        for (place, vm) in random.choose_multiple(0..self.vms(), 6).into_iter().enumerate() {
            let at_ms = FIRST_FAULT_MS + place as u64 * MINUTE_MS;
            let for_ms = random.u64(5 * MINUTE_MS..20 * MINUTE_MS);
            let slowdown = 3.0 + 3.0 * random.f64();
            self.faults.push(Fault { at_ms, vm, kind: FaultKind::Straggle { slowdown, for_ms } });
        }
    }

    fn add_store_outage(&mut self, random: &mut fastrand::Rng) {
        let until_ms = FIRST_FAULT_MS + random.u64(3 * MINUTE_MS..10 * MINUTE_MS);
        self.store_outage_ms = Some((FIRST_FAULT_MS, until_ms));
        for vm in random.choose_multiple(0..self.vms(), 6) {
            let at_ms = random.u64(FIRST_FAULT_MS..until_ms);
            let kind = if random.bool() { failure(random) } else { restart(random) };
            self.faults.push(Fault { at_ms, vm, kind });
        }
    }

    fn add_daily_faults(&mut self, random: &mut fastrand::Rng) {
        let scaled = |count: u64| count * self.vms() as u64 / FULL_FLEET_VMS;
        let (failures, restarts) = (scaled(FAILURES_A_DAY), scaled(RESTARTS_A_DAY));
        for number in 0..failures + restarts {
            let at_ms = random.u64(FIRST_FAULT_MS..self.horizon_ms);
            let vm = random.usize(..self.vms());
            let kind = if number < failures { failure(random) } else { restart(random) };
            self.faults.push(Fault { at_ms, vm, kind });
        }
    }
}

fn failure(random: &mut fastrand::Rng) -> FaultKind {
    FaultKind::Fail { down_ms: random.u64(10 * MINUTE_MS..60 * MINUTE_MS) }
}

fn restart(random: &mut fastrand::Rng) -> FaultKind {
    let down_ms = random.u64(45 * SECOND_MS..180 * SECOND_MS);
    FaultKind::Restart { down_ms, announced: random.bool() }
}
