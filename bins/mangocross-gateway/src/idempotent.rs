//! Idempotent calls: retried on other backend servers until the deadline.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_http::HttpTimeouts;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use peer_service::ServiceAnswer;
use peer_service::ServiceCall;

use crate::claim::jittered;
use crate::state::GatewayState;

/// Maximum number of tries of one call.
const TRIES_MAX: u32 = 3;
/// Shortest delay before another try.
const PAUSE_BASE: Duration = Duration::from_millis(20);
/// Minimum retry delay for the caller when all tries failed.
const RETRY_BASE: Duration = Duration::from_millis(500);

/// Serves an idempotent call.
pub(crate) fn serve(
    state: &GatewayState,
    servers: &[SocketAddr],
    call: &ServiceCall,
    deadline: Duration,
) -> Result<ServiceAnswer, Refusal> {
    let until = state.clock.now() + deadline;
    let mut failures = FailedTries::default();
    for (tries_left, server) in (1..=TRIES_MAX).rev().zip(servers.iter().cycle()) {
        let time_left = until.saturating_duration_since(state.clock.now());
        if time_left.is_zero() || state.stop_time.is_over(state.clock.now()) {
            break;
        }
        let limit = time_left / tries_left;
        let timeouts = HttpTimeouts::default().connect(limit).idle(limit).total(limit);
        match state.services.call(*server, call, timeouts, state.until_last_answers()) {
            Ok(answer) => return Ok(answer),
            Err(error) => failures.add(error.code, error.outcome, error.message),
        }
        if tries_left > 1 {
            pause(state.clock.now(), until);
        }
    }
    Err(failures.refusal())
}

/// Combined result of the failed tries.
#[derive(Debug, Default)]
struct FailedTries {
    last: Option<(ResultCode, String)>,
    may_have_run: bool,
}

impl FailedTries {
    fn add(&mut self, code: ResultCode, outcome: RunOutcome, message: String) {
        self.may_have_run |= outcome != RunOutcome::NotRun;
        self.last = Some((code, message));
    }

    /// Returns a refusal whose outcome is "not run" only if no try can have run.
    fn refusal(self) -> Refusal {
        let (code, message) = self.last.unwrap_or_else(|| {
            (ResultCode::DeadlineExceeded, "the deadline passed; allow more time".to_owned())
        });
        let refusal = match self.may_have_run {
            true => Refusal::unknown(code, message),
            false => Refusal::not_run(code, message),
        };
        refusal.retry_after(jittered(RETRY_BASE))
    }
}

fn pause(now: Instant, until: Instant) {
    thread::sleep(jittered(PAUSE_BASE).min(until.saturating_duration_since(now)));
}
