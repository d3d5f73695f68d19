//! A version of the configuration that takes a key away and adds a route of a low rank.

use std::thread;
use std::time::Duration;

use crate::CLAIM;
use crate::Call;
use crate::Site;
use crate::configuration;

/// Time after the acknowledgement from which no request with the key may run, and a margin.
const REVOKED_AFTER: Duration = Duration::from_millis(5000 + 1500);

pub fn play(record: &str) -> i32 {
    let site = Site::start(record, 2);
    // Without the disruption, the new route has a rank like the others.
    let rank = if site.has_trouble { 1000 } else { 3 };
    let added = format!(
        r#""routes":[{{"name":"r-archive","host":"site.example","path_prefix":"/archive/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,"priority":{rank},"service":"desk","max_attempts":2,"public":false}},"#
    );
    let version = configuration(2, &["key-1"]).replace("\"routes\":[", &added);
    let claim = Call { key: "key-2", ..CLAIM };
    for front in &site.fronts {
        front.call(&site.record, &Call { attempt: &format!("before-{}", front.name), ..claim });
    }
    site.store.put("op/config", &version);
    site.record.add("version 2 acknowledged: key-2 is taken away, /archive/ is added");
    thread::sleep(REVOKED_AFTER);
    let (mut runs, mut denied) = (Vec::new(), Vec::new());
    for number in 0..20 {
        for front in &site.fronts {
            let attempt = format!("after-{number}-{}", front.name);
            front.call(&site.record, &Call { attempt: &attempt, ..claim });
            if site.record.count(&format!("run {attempt} at")) > 0 {
                runs.push(format!("{attempt} has run with a key that was taken away"));
            }
            let attempt = format!("archive-{number}-{}", front.name);
            let call = Call { attempt: &attempt, path: "/archive/1", method: "GET", body: "", ..CLAIM };
            if front.call(&site.record, &call).status == 404 {
                denied.push(format!("{attempt} got 404"));
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
    denied.truncate(3);
    runs.extend(denied);
    site.judge("CONFIG", &runs)
}
