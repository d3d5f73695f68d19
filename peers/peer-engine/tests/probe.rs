//! Unreadable cache events must not fail a probe: a failed probe takes a group out of service.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use mangocross_http::HttpServer;
use mangocross_http::HttpTimeouts;
use mangocross_http::ServerLimits;
use mangocross_types::EngineState;
use peer_engine::CachePosition;
use peer_engine::EngineClient;
use peer_engine::NumberedEvent;
use peer_engine::PrefixEvent;
use peer_engine::ProbeAnswer;
use peer_engine::PromptPrefix;
use serde_json::Value;
use serde_json::json;

/// Probes an engine whose answer has this `cache` field.
fn probe(cache: Value) -> ProbeAnswer {
    let mut body = json!({
        "vm": "vm-1", "state": "idle", "group": null, "incarnation": 0, "rank": 0,
        "role": "serving", "model_version": null, "cached_versions": [], "running": 0,
        "queued": 0, "load_age_ms": 0, "steps": 0, "fencing_number": 0,
    });
    if !cache.is_null() {
        body["cache"] = cache;
    }
    let server = HttpServer::bind(
        SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        ServerLimits::default(),
        move |it| {
            assert_eq!(it.parameter("cache_epoch"), Some("7"));
            assert_eq!(it.parameter("cache_after"), Some("3"));
            it.respond_json(200, &body);
        },
        |it| it.respond(503, &[], Vec::new()),
    )
    .expect("binds");
    let after = Some(CachePosition { epoch: 7, number: 3 });
    let answer = EngineClient::open().probe(server.address(), after, HttpTimeouts::default());
    answer.expect("a report")
}

#[test]
fn events_are_read_and_unreadable_ones_are_ignored() {
    let event = json!({"number": 4, "age_ms": 10, "event": {"stored": 5}});
    let cache = probe(json!({"epoch": 7, "events": [event]})).cache.expect("events");
    let stored = PrefixEvent::Stored(PromptPrefix(5));
    assert_eq!(cache.events, [NumberedEvent { number: 4, age_ms: 10, event: stored }]);
    let unreadable = [
        Value::Null,
        json!("broken"),
        json!({"epoch": -1, "events": []}),
        json!({"epoch": 7, "events": [{"number": 4, "age_ms": 10, "event": "moved"}]}),
    ];
    for cache in unreadable {
        let answer = probe(cache);
        assert_eq!(answer.report.state, EngineState::Idle);
        assert_eq!(answer.cache, None);
    }
}
