//! Shared functions for tests of groups.

use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use mangocross_types::DomainAssignment;
use mangocross_types::GroupAssignment;
use mangocross_types::VmId;
use peer_store::HttpStore;
use peer_store::read_json;
use standins::EngineFaults;
use standins::EngineOptions;

use crate::Answer;
use crate::Caller;
use crate::CallerRequest;
use crate::Cluster;

/// Starts a group of two members.
pub const START: &str = "start group letters-1 model letters version v1 members 2";

/// Returns a short request to the model of [`START`].
pub fn draft() -> CallerRequest {
    CallerRequest::chat("town", "draft", "letters", 4, true)
}

/// Returns the faults of an engine that does not answer at all.
pub fn frozen() -> EngineFaults {
    EngineFaults { frozen: true, ..EngineFaults::default() }
}

/// Returns the options of an engine that takes 30 ms for each token.
pub fn slow_engine(vm: VmId) -> EngineOptions {
    EngineOptions { token_ms: 30, ..EngineOptions::new(vm) }
}

/// Returns a domain's assignment from the store.
pub fn assignment(cluster: &Cluster, domain: &str) -> DomainAssignment {
    let domain = domain.parse().expect("a valid id");
    let store = HttpStore::open(cluster.store.address());
    let read = read_json(&store, &DomainAssignment::key(&domain)).expect("the store answers");
    read.0.unwrap_or_else(|| DomainAssignment::empty(domain))
}

/// Returns the only group of a domain.
pub fn sole_group(cluster: &Cluster, domain: &str) -> GroupAssignment {
    let groups = assignment(cluster, domain).groups;
    groups.into_iter().next().expect("the domain has a group")
}

/// Returns the node whose coordinator owns a domain.
pub fn owner_of(cluster: &Cluster, domain: &str) -> u16 {
    let owner = assignment(cluster, domain).owner.expect("the domain has an owner");
    let number = owner.as_str().trim_start_matches("entry-");
    number.parse::<u16>().expect("entry VMs are numbered") - 1
}

/// Returns the number of requests that the engines have accepted.
pub fn generations(cluster: &Cluster) -> u64 {
    cluster.engines.values().map(|it| it.faults().count("generations")).sum()
}

/// Starts a long streamed request and waits until an engine runs it.
pub fn start_stream(cluster: &Cluster, node: u16, tokens: u32) -> JoinHandle<Answer> {
    let gateway = cluster.gateway(node);
    let request = CallerRequest::chat("bank", "draft", "letters", tokens, true);
    let before = generations(cluster);
    assert!(before > 0);
    let stream = thread::spawn(move || {
        Caller::open(Duration::from_secs(60)).send(gateway, &request).expect("an answer")
    });
    cluster.wait_until("the stream runs", || generations(cluster) > before);
    stream
}
