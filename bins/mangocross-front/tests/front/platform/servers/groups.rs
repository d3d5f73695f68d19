//! Orders to engines, and the groups that they form.

use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use super::FIRST_START_UNIX_MS;
use super::Server;
use super::State;
use crate::platform::Request;
use crate::platform::lock;

/// Time for which an engine waits for a missing member before its group is broken.
const STALL: Duration = Duration::from_millis(6000);

impl Server {
    pub(super) fn order(&self, request: &Request, stream: &mut TcpStream) {
        let notice = &self.notice();
        self.note_order(stream);
        let order: Value = serde_json::from_slice(&request.body).expect("JSON");
        {
            let mut state = lock(&self.state);
            let is_of_group = order["operation"] == "join"
                || order["operation"] == "stage"
                || (order["group"] == state.group["name"]
                    && order["epoch"] == state.group["epoch"]);
            if order["expected"].as_u64() != Some(state.orders) || !is_of_group {
                drop(state);
                self.send(stream, 409, notice, "");
                return;
            }
            state.orders += 1;
            state.carried_out.push((Instant::now(), order.clone()));
            match order["operation"].as_str() {
                Some("join") => {
                    let violation = self.open_group_violation(&state, &order);
                    state.violations.extend(violation);
                    let members = order["members"].as_array().cloned().unwrap_or_default();
                    state.members.clone_from(&members);
                    let rank = members.iter().position(|it| *it == json!(self.id));
                    state.model = order["model"].as_str().map(str::to_owned);
                    state.group = json!({"name": order["group"], "epoch": order["epoch"],
                        "rank": rank, "state": "ready"});
                    self.store.note_ready(&self.id, &state.group);
                }
                Some("open") => {
                    let members = state.members.iter().filter_map(Value::as_str);
                    let entries = members.map(|it| (it.to_owned(), self.entry_of(it, &state)));
                    state.opened_with = entries.collect();
                    // A member that was ready once and failed since is not a violation.
                    let absent = state
                        .opened_with
                        .iter()
                        .find(|(it, _)| !self.store.was_ready(it, &state.group))
                        .map(|(it, _)| format!("{} opens without {it}", self.id));
                    state.violations.extend(absent);
                    state.group["state"] = json!("open");
                }
                Some("close") => state.group["state"] = json!("ready"),
                Some("leave") => state.group = Value::Null,
                Some("stage") => state.model = order["model"].as_str().map(str::to_owned),
                _ => {}
            }
            self.publish_state(&state);
        }
        self.send(stream, 202, notice, "");
    }

    /// Returns a violation if the server joins another group while the head of its present one is
    /// still open.
    fn open_group_violation(&self, state: &State, order: &Value) -> Option<String> {
        if state.group.is_null() || state.group["name"] == order["group"] {
            return None;
        }
        let head = state.members.first()?.as_str()?;
        let group = match head == self.id {
            true => state.group.clone(),
            false => self.store.read(&format!("servers/{head}"))?["group"].clone(),
        };
        let is_open = group["state"] == "open"
            && group["name"] == state.group["name"]
            && group["epoch"] == state.group["epoch"];
        let is_open = is_open && !self.store.is_down(head);
        is_open.then(|| format!("{} joins {} while {group} serves", self.id, order["group"]))
    }

    /// Returns the entry of a server; for this server, only its group and start time, from `state`.
    fn entry_of(&self, id: &str, state: &State) -> Value {
        if id == self.id {
            return json!({"group": state.group, "born": FIRST_START_UNIX_MS + state.starts});
        }
        self.store.read(&format!("servers/{id}")).unwrap_or_default()
    }

    /// Waits up to `STALL` while the group lacks a member that it was opened with; returns whether
    /// it is complete again.
    pub(super) fn wait_for_members(&self) -> bool {
        let end = Instant::now() + STALL;
        while self.lacks_member() {
            if Instant::now() > end {
                lock(&self.state).group["state"] = json!("broken");
                self.publish();
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        true
    }

    /// Returns whether a member has left the group or was restarted since the group opened.
    fn lacks_member(&self) -> bool {
        let state = lock(&self.state);
        let is_missing = |(id, then): &(String, Value)| {
            let now = self.entry_of(id, &state);
            now["born"] != then["born"] || !is_member(&now, &state.group)
        };
        state.group["state"] == "open" && state.opened_with.iter().any(is_missing)
    }
}

/// Returns whether a server is a member of a group or of a later incarnation of it.
fn is_member(entry: &Value, group: &Value) -> bool {
    let own = &entry["group"];
    own["name"] == group["name"] && own["epoch"].as_u64() >= group["epoch"].as_u64()
}
