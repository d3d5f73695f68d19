//! Operators ask why, and give commands to any entry VM.

use mangocross_operator::OperatorRequest;
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use mangocross_tests::Outgoing;
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
    let unknown = cluster.send(1, &Outgoing::service("town", "statsu", "registry/status", ""));
    let unserved = cluster.send(1, &Outgoing::chat("town", "draft", "letters", 4, true));
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
    let nothing = cluster.operate(0, "why request r-0").expect_err("nothing is remembered");
    assert!(nothing.contains("6004"), "{nothing}");
}

#[test]
fn dry_run_shows_what_would_change_and_changes_nothing() {
    let cluster = ClusterBuilder::new(2, &[]).start();
    let before = cluster.operate(0, "show config").expect("the coordinator answers");
    let rows = dry_run(&cluster, "set customer town in-flight 7").expect("it is valid");
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0][0], "customers town");
    let refused = dry_run(&cluster, "remove customer twon").expect_err("it is not there");
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
