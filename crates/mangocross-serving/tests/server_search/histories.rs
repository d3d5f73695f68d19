//! Histories with events in every order.

use std::time::Duration;

use mangocross_serving::AttemptFailure;
use mangocross_serving::AttemptId;
use mangocross_serving::Moment;
use mangocross_serving::Obstacle;
use mangocross_serving::SearchEnd;
use mangocross_serving::SearchLimits;
use mangocross_serving::SearchPolicy;
use mangocross_serving::SearchStep;
use mangocross_serving::SearchWindow;
use mangocross_serving::ServerSearch;
use mangocross_types::VmId;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Maximum number of steps of a search with a history of up to `EVENTS_MAX` events.
const STEPS_MAX: usize = 2000;
const REFUSALS_MAX: u32 = 4;
const CONNECT_FAILURES_MAX: u32 = 3;
const REFUSAL_PAUSE: Duration = Duration::from_millis(250);
const REFUSAL_PAUSE_MAX: Duration = Duration::from_millis(2000);
const EVENTS_MAX: usize = 60;
const DEADLINE: Duration = Duration::from_millis(8000);
const SEND_WINDOW: Duration = Duration::from_millis(4000);
const ADMISSION_WAIT: Duration = Duration::from_millis(50);
/// Seeds of the histories, and histories of each in CI.
const SEEDS: [u64; 4] = [1, 27, 4096, 987_654_321];
const HISTORIES: u64 = 2000;

/// Returns the number of histories of each seed; `MANGOCROSS_CASES` sets another one.
fn histories() -> u64 {
    let cases = std::env::var("MANGOCROSS_CASES").ok();
    cases.and_then(|it| it.parse().ok()).unwrap_or(HISTORIES)
}

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(10_000 + ms))
}

/// What the world did so far, as seen by the driver of a search.
struct World {
    search: ServerSearch,
    policy: SearchPolicy,
    attempts_max: u32,
    now: Moment,
    may_move: bool,
    servers: Vec<VmId>,
    /// Attempts in progress, with whether each is silent.
    open: Vec<(AttemptId, bool)>,
    /// Attempts that failed after they had begun to run, also those before the search.
    failed_runs: u32,
    sends: u32,
    connect_failures: u32,
    refusals: u32,
    last_failure: Option<AttemptFailure>,
    has_broken: bool,
    obstacle: Option<Obstacle>,
    events: std::vec::IntoIter<u8>,
}

/// How a history ended.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Answer,
    End(SearchEnd),
}

impl World {
    fn new(events: Vec<u8>) -> Self {
        let mut events = events.into_iter().take(EVENTS_MAX).collect::<Vec<_>>().into_iter();
        let mut draw = |n: u8| events.next().unwrap_or_default() % n;
        let policy = match draw(4) {
            0 => SearchPolicy::StreamStart,
            1 => SearchPolicy::StreamContinuation,
            2 => SearchPolicy::Repeatable,
            _ => SearchPolicy::Once,
        };
        let once = policy == SearchPolicy::Once;
        let attempts_max = if once { 1 } else { 1 + u32::from(draw(4)) };
        let count = 1 + draw(5);
        let servers: Vec<VmId> =
            (0..count).map(|it| format!("s{it}").parse().expect("a valid id")).collect();
        let limits = SearchLimits {
            policy,
            attempts_max,
            refusals_max: REFUSALS_MAX,
            connect_failures_max: CONNECT_FAILURES_MAX,
            refusal_pause: REFUSAL_PAUSE,
            admission_until: at(0) + ADMISSION_WAIT,
            admission_delay: Duration::from_millis(12),
            ask_again_delay: Duration::from_millis(50),
        };
        let is_continuation = policy == SearchPolicy::StreamContinuation;
        let search = match is_continuation {
            true => ServerSearch::continuing(limits, servers[0].clone(), 1),
            false => ServerSearch::new(limits),
        };
        Self {
            search,
            policy,
            attempts_max,
            now: at(0),
            may_move: true,
            servers,
            open: Vec::new(),
            failed_runs: u32::from(is_continuation),
            sends: 0,
            connect_failures: 0,
            refusals: 0,
            last_failure: None,
            has_broken: false,
            obstacle: None,
            events,
        }
    }

    fn is_continuation(&self) -> bool {
        self.policy == SearchPolicy::StreamContinuation
    }

    fn deadline(&self) -> Moment {
        at(0) + DEADLINE
    }

    fn window(&self) -> SearchWindow {
        let deadline = self.deadline();
        let send_until = if self.is_continuation() { at(0) + SEND_WINDOW } else { deadline };
        SearchWindow { deadline, send_until, may_move: self.may_move }
    }

    fn runs(&self) -> u32 {
        self.failed_runs + self.open.len() as u32
    }

    /// Plays the history to its end, and checks each step.
    fn play(mut self) -> Outcome {
        for _ in 0..STEPS_MAX {
            assert_eq!(self.search.runs(), self.runs(), "runs are miscounted");
            match self.search.next(self.now, &self.window()) {
                SearchStep::Send => self.send(),
                SearchStep::Wait(until) => {
                    self.check_wait(until);
                    if self.wait(until) {
                        return Outcome::Answer;
                    }
                }
                SearchStep::End(end) => {
                    self.check_end(end);
                    return Outcome::End(end);
                }
            }
        }
        panic!("the search does not end");
    }

    fn send(&mut self) {
        assert!(self.runs() < self.attempts_max, "more runs than allowed");
        assert!(self.open.iter().all(|it| it.1), "an attempt that is not silent is in progress");
        let may_crash_another = self.is_continuation() || self.has_broken || !self.open.is_empty();
        assert!(self.may_move || !may_crash_another, "the request may crash another server");
        let needs_retry = self.sends > 0 || self.is_continuation();
        assert_eq!(
            self.search.needs_retry(),
            needs_retry,
            "each attempt but the first is paid for"
        );
        let event = self.events.next();
        let excluded = self.search.excluded(self.now);
        let free = self.servers.iter().find(|it| !excluded.contains(it)).cloned();
        let is_left = self.servers.iter().any(|it| !self.search.has_tried(it));
        let obstacle = match (event.map(|it| it % 8), &free) {
            (Some(0), _) if needs_retry => Some(Obstacle::NoRetryLeft),
            (Some(1), Some(_)) => Some(Obstacle::NoRoom),
            (Some(2), Some(_)) => Some(Obstacle::NoUsableServer),
            (Some(3), Some(_)) => Some(Obstacle::Quarantined),
            (_, Some(_)) => None,
            (_, None) if is_left => Some(Obstacle::NoUsableServer),
            (_, None) => Some(Obstacle::NoServer),
        };
        self.obstacle = obstacle;
        if let Some(it) = obstacle {
            self.search.cannot_send(it, self.now);
            return;
        }
        let Some(vm) = free else { return };
        if event.is_some_and(|it| it % 8 == 4) {
            self.search.connect_failed(vm);
            self.connect_failures += 1;
            self.obstacle = None;
            return;
        }
        let id = self.search.sent(vm, self.now);
        self.open.push((id, false));
        self.sends += 1;
        assert!(self.runs() <= self.attempts_max, "more runs than allowed");
        if self.policy == SearchPolicy::Once {
            assert_eq!(self.runs(), 1, "a request that may run once is sent while it may have run");
        }
    }

    /// Lets something happen until `until`; returns whether an attempt answered.
    fn wait(&mut self, until: Moment) -> bool {
        let Some(event) = self.events.next() else {
            self.now = until;
            return false;
        };
        let rest = until.since(self.now);
        self.now = self.now + rest.mul_f64(f64::from(event / 16) / 16.0);
        let index = usize::from(event / 8);
        if self.open.is_empty() || event % 8 == 0 {
            self.now = until;
            return false;
        }
        let index = index % self.open.len();
        let (id, is_silent) = self.open[index];
        match event % 8 {
            1 if !is_silent && self.search.may_ask_beside(&self.window()) => {
                self.open[index].1 = true;
                self.search.silent(id);
            }
            2 => {
                self.open.remove(index);
                self.search.refused(id, self.now);
                self.refusals += 1;
                self.forget_obstacle();
            }
            3 => self.fail(index, AttemptFailure::Broke),
            4 => self.fail(index, AttemptFailure::Answered),
            5 => self.may_move = !self.may_move,
            6 => return self.takes_head(),
            7 => return true,
            _ => {}
        }
        false
    }

    fn fail(&mut self, index: usize, failure: AttemptFailure) {
        let (id, _) = self.open.remove(index);
        self.failed_runs += 1;
        self.last_failure = Some(failure);
        self.has_broken |= failure == AttemptFailure::Broke;
        self.search.failed(id, failure);
        self.forget_obstacle();
    }

    /// Forgets what prevented an attempt, unless it lasts.
    fn forget_obstacle(&mut self) {
        self.obstacle = self.obstacle.filter(|it| *it == Obstacle::Quarantined);
    }

    /// Plays the head of an answer; returns whether it is passed on.
    fn takes_head(&self) -> bool {
        let takes = self.search.takes_head();
        if takes {
            assert_eq!(self.open.len(), 1, "an attempt is given up for a head without an event");
            assert!(self.runs() >= self.attempts_max, "another attempt could be made");
        }
        takes
    }

    fn check_wait(&self, until: Moment) {
        assert!(until > self.now, "a wait without an end");
        assert!(until <= self.deadline(), "a wait beyond the deadline");
        self.check_asks_again(until);
        if !self.open.is_empty() {
            return;
        }
        assert!(self.runs() < self.attempts_max, "nothing can still come");
        // Without another obstacle, many servers have just refused the request.
        let obstacle = self.obstacle.unwrap_or(Obstacle::Refused);
        assert!(
            obstacle != Obstacle::Refused || self.refusals >= REFUSALS_MAX,
            "nothing is waited for"
        );
        assert!(obstacle != Obstacle::Quarantined, "nothing can still come");
        if self.is_continuation() {
            return;
        }
        assert!(obstacle != Obstacle::NoServer, "nothing can still come");
        let waits_for_room = obstacle == Obstacle::NoRoom && self.now < at(0) + ADMISSION_WAIT;
        let has_broken = self.last_failure == Some(AttemptFailure::Broke);
        assert!(waits_for_room || has_broken, "{obstacle:?} is not refused at once");
    }

    /// Checks that another server is asked, now or soon, where one could be.
    fn check_asks_again(&self, until: Moment) {
        let window = self.window();
        let may_ask = self.open.iter().all(|it| it.1)
            && self.runs() < self.attempts_max
            && self.may_move
            && self.now < window.send_until
            && self.connect_failures <= CONNECT_FAILURES_MAX
            && self.obstacle != Some(Obstacle::Quarantined);
        if may_ask {
            let is_held_back = self.refusals >= REFUSALS_MAX;
            assert!(self.obstacle.is_some() || is_held_back, "no other server is asked");
            assert!(until.since(self.now) <= REFUSAL_PAUSE_MAX, "no other server is asked in time");
        }
    }

    fn check_end(&self, end: SearchEnd) {
        let may_have_run = self.runs() > 0;
        let obstacle = match end {
            SearchEnd::TimeOver { may_have_run: told } => {
                assert!(self.now >= self.deadline(), "the time is not over");
                assert_eq!(told, may_have_run, "the answer is not true");
                return;
            }
            SearchEnd::NotRun(it) => {
                assert!(!may_have_run, "a request that may have run is called not run");
                it
            }
            SearchEnd::Failed(it) => {
                assert!(may_have_run, "a request that has not run is called failed");
                it
            }
        };
        assert!(self.open.is_empty(), "a sound attempt is given up");
        let is_momentary = matches!(
            obstacle,
            Obstacle::NoRoom | Obstacle::NoRetryLeft | Obstacle::NoUsableServer | Obstacle::Refused
        );
        if self.is_continuation() {
            let is_late = self.now >= self.window().send_until;
            assert!(!is_momentary || is_late, "{obstacle:?} ends the search");
        } else {
            let has_broken = self.last_failure == Some(AttemptFailure::Broke);
            assert!(!is_momentary || !has_broken, "{obstacle:?} ends the search");
        }
    }
}

fn holds(events: Vec<u8>) -> bool {
    World::new(events).play();
    true
}

/// Guards against requests that end while something can still come, wait where nothing can, run too
/// often, or are told what is not true.
#[test]
fn each_history_ends_in_an_answer_a_true_refusal_or_a_true_failure() {
    for seed in SEEDS {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(EVENTS_MAX, seed))
            .tests(histories())
            .max_tests(histories())
            .quickcheck(holds as fn(Vec<u8>) -> bool);
    }
}
