//! The program under test, started as the deploy file says, on an address of its own.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

use crate::http::Answer;
use crate::http::exchange;
use crate::http::quit;
use crate::record::Record;
use crate::store::Store;

pub const PROGRAM: &str = "target/release/mangocross-front";

pub struct Front {
    pub name: String,
    pub address: SocketAddr,
    child: Child,
    settings: String,
}

impl Front {
    /// Starts the program on the machine `number` of a network; `folder` is a temporary one.
    pub fn start(store: &Store, folder: &str, host: (u8, u8), number: u8, is_first_start: bool) -> Self {
        let zone = if number % 2 == 1 { "zone-a" } else { "zone-b" };
        let ip = format!("127.{}.{}.{}", host.0, host.1, number);
        let name = format!("front-{zone}-{number}");
        let settings = format!("{folder}/{name}.json");
        let platform = store.address;
        let text = format!(
            r#"{{"node":"{name}","role":"front","machine_class":"front","serves":["front"],"ip":"{ip}","zone":"{zone}","region":"r1",
"zones":{{"zone-a":"r1","zone-b":"r1"}},"listen":{{"front":"{ip}:8227","ready":"{ip}:8220"}},"internal_ports":[7340,7355],"seeds":[],
"first_start":{is_first_start},"counts_as_loss":false,"limits":{{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"virtual_ip","heartbeat_ms":1200,
"bounds":{{"seed_lag_s":3,"reuse_delay_s":2,"stable_window_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,
"config_apply_ms":2000,"rollback_slack_ms":250,"max_stretch_ms":5000,"strict_revoke":true,"revoke_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,
"retry_slack":132,"recovery_s":12,"pass_ms":120,"again_s":0,"stall_ms":6000,"require_fencing":false,"ceiling_window_s":5,"ceiling_overshoot":1.1}},
"platform":{{"address":"{platform}","form":"kv","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,"ttl_min_ms":1000}}}}"#
        );
        std::fs::write(&settings, text).unwrap_or_else(|it| quit(&format!("{settings}: {it}")));
        let child = start(&settings, &format!("{folder}/{name}.log"));
        let address = format!("{ip}:8227").parse().unwrap_or_else(|_| quit("no address"));
        Self { name, address, child, settings }
    }

    pub fn connect(&self) -> Option<TcpStream> {
        TcpStream::connect_timeout(&self.address, Duration::from_secs(1)).ok()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        crate::http::send_signal(self.child.id(), name);
    }

    /// Waits for the end of the process, and starts it again.
    pub fn restart(&mut self) {
        let _ = self.child.wait();
        crate::http::remove_child(self.child.id());
        let text = std::fs::read_to_string(&self.settings).unwrap_or_default();
        let text = text.replace("\"first_start\":true", "\"first_start\":false");
        let _ = std::fs::write(&self.settings, text);
        self.child = start(&self.settings, &format!("{}.log", self.settings.trim_end_matches(".json")));
    }

    /// Sends a request on a connection of its own and records it with its answer.
    pub fn call(&self, record: &Record, request: &Call<'_>) -> Answer {
        let Call { method, path, attempt, .. } = request;
        record.add(&format!("sent {attempt} to {} {method} {path}", self.name));
        let answer = match self.connect() {
            Some(mut it) => exchange(&mut it, &request.text(), Duration::from_millis(request.deadline_ms)),
            None => Answer::default(),
        };
        let seal = answer.header("Server-Seal").unwrap_or("none");
        let body: String = answer.body.chars().take(60).collect::<String>().replace('\n', " ");
        let whole = if answer.is_whole { "whole" } else { "not whole" };
        let status = answer.status;
        record.add(&format!("answered {attempt}: {status}, seal {seal}, {whole}: {body}"));
        answer
    }

    /// Waits until claims and drafts are served.
    pub fn warm(&self, record: &Record) {
        self.wait_until_served(record, &crate::CLAIM);
        self.wait_until_served(record, &crate::DRAFT);
    }

    /// Waits until a request of this kind is served.
    pub fn wait_until_served(&self, record: &Record, request: &Call<'_>) {
        for number in 0..300 {
            let attempt = format!("{}-{}-{number}", request.attempt, self.name);
            let answer = self.call(record, &Call { attempt: &attempt, ..*request });
            if answer.status == 200 && answer.is_whole {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
        quit(&format!("{} {} is not served", self.name, request.path));
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        crate::http::remove_child(self.child.id());
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Starts the program as the deploy file says, with its log added to a file.
fn start(settings: &str, log: &str) -> Child {
    let log = File::options().create(true).append(true).open(log).unwrap_or_else(|it| quit(&it.to_string()));
    let errors = log.try_clone().unwrap_or_else(|it| quit(&it.to_string()));
    let child = Command::new(PROGRAM)
        .env("MANGOCROSS_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .unwrap_or_else(|it| quit(&format!("{PROGRAM}: {it}")));
    crate::http::add_child(child.id());
    child
}

/// Returns a loopback network with free ports.
pub fn free_host() -> (u8, u8) {
    let draw = std::process::id();
    for number in 0..200_u32 {
        let draw = draw.wrapping_mul(31).wrapping_add(number * 7919);
        let host = (20 + (draw % 200) as u8, (draw / 200 % 250) as u8);
        let is_free = |at: u8, port: u16| TcpListener::bind(SocketAddr::from(([127, host.0, host.1, at], port))).is_ok();
        if (1..=9).all(|it| is_free(it, 8227) && is_free(it, 8220) && is_free(it, 7340) && is_free(it, 9464)) {
            return host;
        }
    }
    quit("no free addresses")
}

/// A client's request.
#[derive(Clone, Copy)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub attempt: &'a str,
    pub deadline_ms: u64,
    pub key: &'a str,
    pub headers: &'a str,
    pub body: &'a str,
}

impl Call<'_> {
    pub fn text(&self) -> String {
        let Self { method, path, attempt, deadline_ms, key, headers, body } = self;
        let length = match body.is_empty() {
            true => String::new(),
            false => format!("Content-Length: {}\r\n", body.len()),
        };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{headers}{length}\r\n{body}"
        )
    }
}
