//! What a backend server says of itself.

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

/// How far a member is in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberPhase {
    /// Loads weights.
    Joining,
    /// Loaded; the head may be told to open.
    Ready,
    /// A head that takes requests.
    Open,
    /// A head that finishes its requests and takes no more.
    Closing,
    /// A head that missed a member for too long.
    Broken,
}

impl MemberPhase {
    /// Returns the name in metrics.
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

/// A backend server's place in a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The group.
    pub group: GroupId,
    /// Incarnation of the group.
    pub incarnation: Incarnation,
    /// Position; rank zero takes the requests.
    pub rank: Rank,
    /// How far the member is.
    pub phase: MemberPhase,
}

/// The part of a backend server's state that orders change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Fabric domain of the VM.
    pub domain: Option<FabricDomain>,
    /// Models whose weights are staged on the VM.
    pub staged: Vec<ModelId>,
    /// Models that are loaded.
    pub loaded: Vec<ModelId>,
    /// Place in a group.
    pub membership: Option<Membership>,
    /// Start of this life, in milliseconds of Unix time; tells lives apart.
    pub born_unix_ms: u64,
}

/// A backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// The VM; the platform names each life of a server, mostly anew.
    pub vm: VmId,
    /// The service.
    pub service: ServiceId,
    /// Address for requests, reports and orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it has said that it will leave.
    pub is_leaving: bool,
    /// State of the engine.
    pub engine: EngineStatus,
}

impl BackendServer {
    /// Returns whether the server heads a group that takes requests for a model.
    pub fn serves(&self, model: &ModelId) -> bool {
        self.takes_requests() && self.engine.loaded.contains(model)
    }

    /// Returns whether the server heads a group that takes requests.
    pub fn takes_requests(&self) -> bool {
        let is_open_head =
            |it: &Membership| it.rank == Rank(0) && matches!(it.phase, MemberPhase::Open);
        !self.is_leaving && self.engine.membership.as_ref().is_some_and(is_open_head)
    }
}

/// An engine's answer to a question for its state.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineReport {
    /// State of the engine.
    pub status: EngineStatus,
    /// Orders that this life of the server has accepted.
    pub orders_accepted: u64,
    /// Slowness of the engine; above one it is slower than it should be.
    pub pace: f64,
    /// Requests in progress, some hundred milliseconds ago.
    pub running: u32,
    /// Requests waiting, some hundred milliseconds ago.
    pub queued: u32,
}

/// What an engine is told to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOrder {
    /// Join a group.
    Join {
        /// The group.
        group: GroupId,
        /// Incarnation of the group.
        incarnation: Incarnation,
        /// The model.
        model: ModelId,
        /// Members in rank order.
        members: Vec<VmId>,
    },
    /// Begin to take requests.
    Open {
        /// The group.
        group: GroupId,
        /// Incarnation of the group.
        incarnation: Incarnation,
    },
    /// Finish the requests in progress and take no more.
    Close {
        /// The group.
        group: GroupId,
        /// Incarnation of the group.
        incarnation: Incarnation,
    },
    /// Leave a group at once.
    Leave {
        /// The group.
        group: GroupId,
        /// Incarnation of the group.
        incarnation: Incarnation,
    },
    /// Fetch weights to the VM.
    Stage {
        /// The model.
        model: ModelId,
    },
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine has begun.
    Begun,
    /// The state held already, or the order is done.
    Done,
    /// The engine refused; the state has changed since the order was decided.
    Refused,
    /// The address belongs to another server now.
    WrongServer,
    /// The connection was refused: no process listens.
    NoProcess,
    /// No answer; the order may be carried out later.
    Unknown,
}
