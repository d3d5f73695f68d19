//! Text identifiers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// Longest identifier, in bytes.
const ID_BYTES_MAX: usize = 64;

/// An identifier is empty, too long or contains a character that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "`{text}` is not a valid {what}: use 1 to {ID_BYTES_MAX} of a-z A-Z 0-9 . _ - (and : for addresses)"
))]
pub struct IdError {
    /// The kind of identifier that was expected.
    pub what: &'static str,
    /// The rejected text, truncated to the length limit.
    pub text: String,
}

fn validate(what: &'static str, text: &str) -> Result<(), IdError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | ':');
    if text.is_empty() || text.len() > ID_BYTES_MAX || !text.chars().all(allowed) {
        return Err(IdError { what, text: text.chars().take(ID_BYTES_MAX).collect() });
    }
    Ok(())
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                validate($what, text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.as_ref().to_owned()
            }
        }
    };
}

text_id!(
    /// Id of a VM: an entry VM of this system or the VM of a backend server.
    VmId,
    "VM id"
);
text_id!(
    /// Name of an availability zone, as the platform reports it.
    AvailabilityZone,
    "availability zone"
);
text_id!(
    /// Name of a region: a set of availability zones.
    Region,
    "region"
);
text_id!(
    /// Name of a fabric domain: a set of VMs that share a fast fabric.
    FabricDomain,
    "fabric domain"
);
text_id!(
    /// Id of a model group: one replica of a model over several VMs.
    GroupId,
    "group id"
);
text_id!(
    /// Name of a customer, as operators configure it.
    CustomerId,
    "customer"
);
text_id!(
    /// Name of a model, the same for all its versions.
    ModelId,
    "model"
);
text_id!(
    /// Name of a version of a model's weights.
    ModelVersion,
    "model version"
);
text_id!(
    /// Name of a request kind, as operators configure it.
    RequestKind,
    "request kind"
);
text_id!(
    /// Name of a service: a plain service or a service of model engines.
    ServiceId,
    "service"
);
text_id!(
    /// Id of a caller's request.
    RequestId,
    "request id"
);
text_id!(
    /// Id of an attempt to run a request on a backend server.
    AttemptId,
    "attempt id"
);
text_id!(
    /// Name of an operator, as the coordinators' settings name it.
    OperatorId,
    "operator"
);
text_id!(
    /// Id of an operator command; a repeated id is the same command.
    CommandId,
    "command id"
);
