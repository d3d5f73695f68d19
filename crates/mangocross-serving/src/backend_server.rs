//! Reported state of backend servers, and orders to their engines.

use std::net::SocketAddr;

use mangocross_types::AvailabilityZone;
use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::ModelId;
use mangocross_types::Rank;
use mangocross_types::ServiceId;
use mangocross_types::VmId;
use serde::Deserialize;
use serde::Serialize;

/// State of a member in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberPhase {
    /// Loading weights.
    Joining,
    /// Weights are loaded; the head can be ordered to open.
    Ready,
    /// A head that accepts requests.
    Open,
    /// A head that finishes its requests and accepts no more.
    Closing,
    /// A head that was without a member for too long.
    Broken,
}

impl MemberPhase {
    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Ready => "ready",
            Self::Open => "open",
            Self::Closing => "closing",
            Self::Broken => "broken",
        }
    }
}

/// A backend server's membership in a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Group that the server is a member of.
    pub group: GroupId,
    /// Incarnation of the group that the server joined.
    pub incarnation: Incarnation,
    /// Rank in the group; the member with rank zero accepts the requests.
    pub rank: Rank,
    /// State of the server in the group, such as loading or open.
    pub phase: MemberPhase,
}

impl Membership {
    /// Returns whether the server is a head that is open or closing.
    pub fn is_active_head(&self) -> bool {
        self.rank == Rank(0) && matches!(self.phase, MemberPhase::Open | MemberPhase::Closing)
    }
}

/// State of a backend server's engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Fabric domain of the VM.
    pub domain: Option<FabricDomain>,
    /// Models whose weights are on the VM; they can be loaded without the weight store.
    pub staged: Vec<ModelId>,
    /// Models whose weights the engine has loaded.
    pub loaded: Vec<ModelId>,
    /// Membership in a group, if any.
    pub membership: Option<Membership>,
    /// Start time of the server process, in milliseconds of Unix time; distinguishes processes.
    pub born_unix_ms: u64,
}

/// A backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Id of the VM; usually changes when the server process restarts.
    pub vm: VmId,
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// Address for requests, reports and orders.
    pub address: SocketAddr,
    /// Availability zone of the VM.
    pub zone: AvailabilityZone,
    /// Requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server has announced that it will leave.
    pub is_leaving: bool,
    /// State of the engine, from the platform's list or a later probe.
    pub engine: EngineStatus,
}

impl BackendServer {
    /// Returns whether the server heads a group that accepts requests for a model.
    pub fn serves(&self, model: &ModelId) -> bool {
        self.accepts_requests() && self.engine.loaded.contains(model)
    }

    /// Returns whether the server heads a group that accepts requests.
    pub fn accepts_requests(&self) -> bool {
        let is_open_head =
            |it: &Membership| it.rank == Rank(0) && matches!(it.phase, MemberPhase::Open);
        !self.is_leaving && self.engine.membership.as_ref().is_some_and(is_open_head)
    }
}

/// An engine's response to a probe.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineReport {
    /// State of the engine at the time of the response.
    pub status: EngineStatus,
    /// Orders accepted since the server process started.
    pub orders_accepted: u64,
    /// Duration of the engine's work relative to the expected one; 1 is the expected speed, and
    /// larger values are slower.
    pub slowdown: f64,
    /// Requests in progress, as of a few hundred milliseconds ago.
    pub running: u32,
    /// Requests waiting, as of a few hundred milliseconds ago.
    pub queued: u32,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOrder {
    /// Join a group.
    Join {
        /// Group to join.
        group: GroupId,
        /// Incarnation of the group.
        incarnation: Incarnation,
        /// Model whose weights the members load.
        model: ModelId,
        /// Members in rank order.
        members: Vec<VmId>,
    },
    /// Start to accept requests.
    Open {
        /// Group to open.
        group: GroupId,
        /// Incarnation that the order applies to.
        incarnation: Incarnation,
    },
    /// Finish the requests in progress and accept no more.
    Close {
        /// Group to close.
        group: GroupId,
        /// Incarnation that the order applies to.
        incarnation: Incarnation,
    },
    /// Leave a group immediately.
    Leave {
        /// Group to leave.
        group: GroupId,
        /// Incarnation that the order applies to.
        incarnation: Incarnation,
    },
    /// Fetch a model's weights to the VM.
    Stage {
        /// Model whose weights are fetched.
        model: ModelId,
    },
}

/// Response of an engine to an order, or why there is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order and is carrying it out.
    Begun,
    /// The engine is already in the ordered state, or the order is complete.
    Done,
    /// The engine refused, because its state has changed since the order was decided.
    Refused,
    /// The address now belongs to another server.
    WrongServer,
    /// The connection was refused, so the order did not reach the engine.
    ConnectionRefused,
    /// No response; the order may still be carried out later.
    Unknown,
}
