//! Selection of the backend servers for a call to a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use mangocross_types::KindTarget;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;

use crate::claim::jittered;
use crate::handler::ValidatedRequest;
use crate::state::GatewayState;

/// Minimum retry delay when no backend server is available.
const RETRY_BASE: Duration = Duration::from_millis(1_000);

/// Returns the available backend servers of the service `name`, in random order.
pub(crate) fn shuffled_servers(
    state: &GatewayState,
    name: &str,
    incoming: &ValidatedRequest,
) -> Result<Vec<SocketAddr>, Refusal> {
    let KindTarget::Service(service) = &incoming.kind.target else {
        let text = format!("request kind {} does not go to a service", incoming.kind.id);
        return Err(Refusal::not_run(ResultCode::UnknownRoute, text));
    };
    if service.as_str() != name {
        let text = format!("request kind {} goes to service {service}", incoming.kind.id);
        return Err(Refusal::not_run(ResultCode::UnknownRoute, text));
    }
    let configured = incoming.configuration.service(service);
    let configured = configured.map(|it| it.backend_servers.as_slice()).unwrap_or_default();
    let mut servers = state.available_servers(service, configured);
    if servers.is_empty() {
        let text = format!("service {service} has no backend server that takes work; come back");
        let refusal = Refusal::not_run(ResultCode::BackendUnreachable, text);
        return Err(refusal.retry_after(jittered(RETRY_BASE)));
    }
    fastrand::shuffle(&mut servers);
    Ok(servers)
}
