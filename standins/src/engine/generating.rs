//! Generation of answers by an engine.

use std::io;

use mangocross_http::BodyStream;
use mangocross_http::ServerRequest;
use mangocross_types::EngineRole;
use mangocross_types::EngineState;
use mangocross_types::Rank;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::TokenIndex;
use peer_engine::FinishReason;
use peer_engine::GenerateLine;
use peer_engine::GenerateRequest;
use peer_engine::PromptPrefix;

use super::EngineFaults;
use super::FROZEN_MS;
use super::State;
use crate::control::lock;
use crate::control::pause;

/// Factor by which a straggler is slower than other engines.
const STRAGGLER_FACTOR: u64 = 50;
/// Requests that an engine runs concurrently.
const RUNNING_MAX: u32 = 256;

impl State {
    pub(super) fn generate(&self, request: ServerRequest, body: &GenerateRequest) {
        let membership_number = match self.admit(body) {
            Ok(membership_number) => membership_number,
            Err(refusal) => {
                let answer = serde_json::to_vec(&refusal).unwrap_or_default();
                return request.respond(409, &[("x-run-outcome", "not_run")], answer);
            }
        };
        self.faults.increment("generations");
        lock(&self.cache).touch(PromptPrefix::of(&body.prompt));
        if body.resume_from > TokenIndex(0) {
            self.faults.increment("resumptions");
        }
        if let Ok(stream) = request.respond_stream(200, &[("content-type", "application/x-ndjson")])
        {
            let _ = self.send_tokens(stream, body, membership_number);
        }
        lock(&self.status).change_running(-1);
    }

    /// Admits a request if it addresses this engine, and returns the engine's membership number.
    pub(super) fn admit(&self, body: &GenerateRequest) -> Result<u64, Refusal> {
        let refuse = |text: &str| Err(Refusal::not_run(ResultCode::BackendRefused, text));
        let mut status = lock(&self.status);
        if !status.is_in(&body.group, body.incarnation) || status.rank != Rank(0) {
            return refuse("this engine is not rank zero of that group and incarnation");
        }
        if status.state != EngineState::Ready || status.role == EngineRole::Draining {
            return refuse("this engine takes no new requests now");
        }
        if status.running >= RUNNING_MAX {
            return refuse("this engine is full");
        }
        status.change_running(1);
        Ok(status.membership_number)
    }

    pub(super) fn send_tokens(
        &self,
        mut stream: BodyStream,
        body: &GenerateRequest,
        membership_number: u64,
    ) -> io::Result<()> {
        pause(self.options.first_token_ms);
        for index in body.resume_from.0..body.max_tokens {
            let faults = self.faults.get();
            if faults.silent_after.is_some_and(|it| index >= it) {
                pause(FROZEN_MS);
            }
            let ended = lock(&self.status).membership_number != membership_number;
            if ended || faults.cut_after.is_some_and(|it| index >= it) {
                return stream.finish();
            }
            if lock(&self.status).cancelled.contains(&body.attempt_id) {
                self.faults.increment("cancelled");
                return stream.finish();
            }
            self.send_token(&mut stream, body, index, &faults)?;
            self.simulate_step(&faults);
        }
        let end = FinishReason::Length;
        let attempt_id = body.attempt_id.clone();
        let tokens = body.max_tokens.max(body.resume_from.0);
        write_line(&mut stream, &GenerateLine::End { attempt_id, end, tokens })?;
        stream.finish()
    }

    pub(super) fn send_token(
        &self,
        stream: &mut BodyStream,
        body: &GenerateRequest,
        index: u32,
        faults: &EngineFaults,
    ) -> io::Result<()> {
        if faults.skip_token == Some(index) {
            return Ok(());
        }
        let attempt_id = match faults.swap_after {
            Some(first) if index >= first => "another".parse().expect("a valid id"),
            _ => body.attempt_id.clone(),
        };
        let text = token_text(&body.prompt, index);
        let line = GenerateLine::Token { attempt_id, token_index: TokenIndex(index), text };
        write_line(stream, &line)?;
        if faults.repeat_token == Some(index) {
            write_line(stream, &line)?;
        }
        Ok(())
    }

    /// Waits for the time of one token and records progress; a straggler records none.
    pub(super) fn simulate_step(&self, faults: &EngineFaults) {
        if faults.straggler {
            return pause(self.options.token_ms * STRAGGLER_FACTOR);
        }
        pause(self.options.token_ms);
        lock(&self.status).steps += 1;
    }
}

/// Returns the token at an index, which depends only on the prompt and the index.
fn token_text(prompt: &str, index: u32) -> String {
    let sum = prompt
        .bytes()
        .fold(u32::from(index as u16), |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
    format!("t{index}.{} ", sum % 1_000)
}

fn write_line(stream: &mut BodyStream, line: &GenerateLine) -> io::Result<()> {
    let mut text = serde_json::to_vec(line).map_err(io::Error::other)?;
    text.push(b'\n');
    stream.write_chunk(&text)
}

/// Returns the text of the complete answer to a prompt.
pub fn expected_text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|it| token_text(prompt, it)).collect()
}
