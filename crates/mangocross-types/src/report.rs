//! Reports of model engines and the orders that they accept.

use serde::Deserialize;
use serde::Serialize;

use crate::CommandId;
use crate::FencingNumber;
use crate::GroupId;
use crate::GroupSize;
use crate::Incarnation;
use crate::ModelId;
use crate::ModelVersion;
use crate::Rank;
use crate::VmId;

/// What a model engine is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// In no group.
    Idle,
    /// In no group, fetching weights that no group needs from it yet.
    Preloading,
    /// Loading weights for a group.
    Loading,
    /// Loaded and able to work in its group.
    Ready,
    /// Being removed by the platform or its operator; accepts no new work.
    Leaving,
}

/// What a loaded engine does with new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Accepts new requests.
    Serving,
    /// Refuses new requests as not run and finishes those it has.
    Draining,
}

/// Status report of a model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// VM that the engine runs on.
    pub vm: VmId,
    /// What the engine is doing.
    pub state: EngineState,
    /// The group that the engine considers itself a member of.
    pub group: Option<GroupId>,
    /// Incarnation of that group.
    pub incarnation: Incarnation,
    /// Rank in that group.
    pub rank: Rank,
    /// What the engine does with new requests.
    pub role: EngineRole,
    /// Loaded model version, if any.
    pub model_version: Option<ModelVersion>,
    /// Versions whose weights are on the VM, loaded or not.
    pub cached_versions: Vec<ModelVersion>,
    /// Requests running now, as of `load_age_ms` ago.
    pub running: u32,
    /// Requests waiting, as of `load_age_ms` ago.
    pub queued: u32,
    /// Age of the load figures in milliseconds.
    pub load_age_ms: u64,
    /// Work units finished since start; a member that has running requests and whose count does
    /// not increase is not making progress.
    pub steps: u64,
    /// Highest fencing number seen in an order.
    pub fencing_number: FencingNumber,
}

/// The action that an order requests of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum OrderKind {
    /// Load weights and join a group.
    Load {
        /// Group to join.
        group: GroupId,
        /// Incarnation of the group to join.
        incarnation: Incarnation,
        /// Rank that the engine takes in the group.
        rank: Rank,
        /// Number of members of the complete group.
        size: GroupSize,
        /// Model to load.
        model: ModelId,
        /// Version of the weights to load.
        model_version: ModelVersion,
    },
    /// Fetch weights and keep them on the VM without joining a group.
    ///
    /// An engine that is in a group or already fetching ignores it. A later load
    /// takes precedence: one of the same version continues this fetch, any other
    /// aborts it.
    Preload {
        /// Model to fetch.
        model: ModelId,
        /// Version of the weights to fetch.
        model_version: ModelVersion,
    },
    /// Abort the fetch of a preload; an engine that loads for a group ignores it.
    CancelPreload,
    /// Accept or refuse new requests, if still in this incarnation.
    ChangeRole {
        /// Group whose role changes.
        group: GroupId,
        /// Incarnation that the order applies to; ignored by an engine in any other one.
        incarnation: Incarnation,
        /// What to do with new requests.
        role: EngineRole,
    },
    /// Leave the group and discard its work, if still in this incarnation.
    Unload {
        /// Group to leave.
        group: GroupId,
        /// Incarnation to leave; ignored by an engine in any other one.
        incarnation: Incarnation,
    },
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Id of the order; a repeated id has no second effect.
    pub order_id: CommandId,
    /// Fencing number of the owner that gives the order.
    pub fencing_number: FencingNumber,
    /// Wall-clock deadline in milliseconds since the Unix epoch, after which
    /// the engine drops the order.
    pub deadline_unix_ms: u64,
    /// Action that the engine should perform.
    pub kind: OrderKind,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum OrderAnswer {
    /// The order was accepted.
    Taken,
    /// The fencing number is older than one seen before.
    StaleFence {
        /// Highest fencing number that the engine has seen.
        seen: FencingNumber,
    },
    /// The order came after its deadline.
    Late,
}
