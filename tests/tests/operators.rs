//! Operators get explanations from every entry VM and send commands to any of them.

use mangocross_operator::OperatorRequest;
use mangocross_tests::CallerRequest;
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use mangocross_types::ResultCode;

fn dry_run(cluster: &Cluster, text: &str) -> Result<Vec<Vec<String>>, String> {
    let request = OperatorRequest {
        command_id: format!("c-{:032x}", fastrand::u128(..)).parse().expect("a valid id"),
        text: text.to_owned(),
        configuration: None,
        based_on: None,
        dry_run: true,
    };
    cluster.operate_with(0, &request).map(|it| it.rows)
}

#[test]
fn refused_request_is_explained_by_every_entry_vm() {
    let cluster = ClusterBuilder::new(2, &[]).start();
    let unknown =
        cluster.send_request(1, &CallerRequest::service("town", "statsu", "registry/status", ""));
    let unserved =
        cluster.send_request(1, &CallerRequest::chat("town", "draft", "letters", 4, true));
    for (refused, code) in
        [(&unknown, ResultCode::UnknownKind), (&unserved, ResultCode::NoCompleteGroup)]
    {
        let id = refused.header("x-request-id").expect("a request id").to_owned();
        for node in [0, 1] {
            let line = format!("why request {id}");
            cluster.wait_until(&line, || {
                cluster
                    .operate(node, &line)
                    .is_ok_and(|it| it.rows[0][0] == "entry-2" && it.rows[0][1] == code.to_string())
            });
        }
    }
    let nothing = cluster.operate(0, "why request r-0").expect_err("no such request is recorded");
    assert!(nothing.contains("6004"), "{nothing}");
}

#[test]
fn dry_run_shows_what_would_change_and_changes_nothing() {
    let cluster = ClusterBuilder::new(2, &[]).start();
    let before = cluster.operate(0, "show config").expect("the coordinator answers");
    let rows = dry_run(&cluster, "set customer town in-flight 7").expect("the command is valid");
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0][0], "customers town");
    let refused = dry_run(&cluster, "remove customer twon").expect_err("there is no such customer");
    assert!(refused.contains("did you mean `town`"), "{refused}");
    let after = cluster.operate(1, "show config").expect("the coordinator answers");
    assert_eq!((before.revision, before.message), (after.revision, after.message));
}

#[test]
fn every_list_is_shown_by_every_entry_vm() {
    let cluster = ClusterBuilder::new(2, &[]).start();
    cluster.operate(0, "set policy first-kinds draft").expect("accepted");
    let shows = |node: u16, line: &str, cell: &str| {
        let answer = cluster.operate(node, line).expect("the coordinator answers");
        answer.rows.iter().flatten().any(|it| it == cell)
    };
    for node in [0, 1] {
        assert!(shows(node, "show customers", "town"));
        assert!(shows(node, "show kinds", "service registry"));
        assert!(shows(node, "show services", "registry"));
        cluster.wait_until("the command is shown", || {
            shows(node, "show commands", "set policy first-kinds draft")
        });
        cluster.wait_until("both nodes are shown", || {
            shows(node, "show nodes", "entry-1") && shows(node, "show nodes", "entry-2")
        });
    }
}

#[test]
fn operator_without_a_known_key_is_refused_and_a_conflict_names_the_other_operator() {
    let keys = [("ana", "the first key of ana"), ("ben", "the only key of ben")];
    let keys = keys.map(|(operator, key)| (operator, key.replace(' ', "-")));
    let keys = keys.each_ref().map(|(operator, key)| (*operator, key.as_str()));
    let cluster = ClusterBuilder::new(1, &[]).operator_keys(&keys).start();
    let revision = cluster.operate(0, "show config").expect("a known key").revision;
    let request = |id: &str, priority: u32| OperatorRequest {
        command_id: id.parse().expect("a valid id"),
        text: format!("set customer town priority {priority}"),
        configuration: None,
        based_on: Some(revision),
        dry_run: false,
    };
    for key in [None, Some("a-key-of-nobody"), Some("")] {
        let refused = cluster.operate_as(key, 0, &request("c-1", 1)).expect_err("no known key");
        assert!(refused.contains("6006"), "{refused}");
    }
    cluster.operate_as(Some(keys[1].1), 0, &request("c-2", 2)).expect("the key of ben");
    let lost = cluster
        .operate_as(Some(keys[0].1), 0, &request("c-3", 3))
        .expect_err("the command is outdated");
    assert!(lost.contains("by ben"), "{lost}");
    let listed = cluster.operate(0, "show commands").expect("a list").rows;
    assert!(listed.iter().all(|it| !it.contains(&"c-1".to_owned())), "{listed:?}");
    assert!(listed.iter().any(|it| it.contains(&"ben".to_owned())), "{listed:?}");
}
