//! Authenticates operators by their keys.

use blake3::Hash;
use mangocross_types::OperatorId;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;

/// Scheme of the `authorization` header, with the space that follows.
const SCHEME: &str = "Bearer ";

/// The operators' keys.
///
/// Keys are stored and compared as hashes, in constant time.
///
/// # Examples
///
/// ```
/// use mangocross_operator::OperatorAccess;
///
/// let keys = [("ana".parse().unwrap(), "a key of some length".to_owned())];
/// let access = OperatorAccess::new(keys);
/// let operator = access.admit(Some("Bearer a key of some length")).unwrap();
/// assert_eq!(operator.unwrap().as_str(), "ana");
/// assert!(access.admit(None).is_err());
/// ```
#[derive(Debug)]
pub struct OperatorAccess {
    operators: Vec<(OperatorId, Hash)>,
}

impl OperatorAccess {
    /// Returns the access list for a set of keys; without any key everybody is admitted.
    pub fn new(keys: impl IntoIterator<Item = (OperatorId, String)>) -> Self {
        let keys = keys.into_iter();
        let operators = keys.map(|(operator, key)| (operator, blake3::hash(key.as_bytes())));
        Self { operators: operators.collect() }
    }

    /// Returns whether everybody is admitted.
    pub fn is_open(&self) -> bool {
        self.operators.is_empty()
    }

    /// Returns the operator whose key an `authorization` header carries, or `None` if everybody is
    /// admitted.
    ///
    /// # Errors
    ///
    /// Fails if the header is missing, malformed or carries an unknown key.
    pub fn admit(&self, authorization: Option<&str>) -> Result<Option<OperatorId>, Refusal> {
        if self.is_open() {
            return Ok(None);
        }
        let key = authorization.and_then(|it| it.strip_prefix(SCHEME));
        let hash = key.map(|it| blake3::hash(it.as_bytes())).ok_or_else(missing)?;
        let known = self.operators.iter().find(|(_, it)| *it == hash);
        known.map(|(operator, _)| Some(operator.clone())).ok_or_else(unknown)
    }
}

fn missing() -> Refusal {
    let text = "operators have keys here; send yours, as `mangoctl --key-file FILE` does";
    Refusal::not_run(ResultCode::OperatorUnknown, text)
}

fn unknown() -> Refusal {
    let text = "this key belongs to no operator; ask for one that the coordinator's settings name";
    Refusal::not_run(ResultCode::OperatorUnknown, text)
}
