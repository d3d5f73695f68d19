//! Authenticated frames: a version, a keyed hash and a `postcard` body.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Version of the frames and messages; frames of other versions are dropped.
const VERSION: u8 = 4;
/// Bytes of the keyed hash that a frame carries.
const TAG_BYTES: usize = 16;
/// Bytes before the body.
const HEADER_BYTES: usize = 1 + TAG_BYTES;
/// Minimum length of the secret from which the key is derived, in characters.
const SECRET_CHARS_MIN: usize = 16;
/// Context string of the derivation of the key from the secret.
const KEY_CONTEXT: &str = "mangocross 2026-12 entry VM frames v1";

/// Why a frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum FrameError {
    /// The frame is shorter than its header.
    #[snafu(display("the frame is too short"))]
    Short,
    /// The frame has another version.
    #[snafu(display("the frame has version {version}, not {VERSION}"))]
    Version {
        /// Version that the frame states.
        version: u8,
    },
    /// The keyed hash does not match.
    #[snafu(display("the frame is damaged or was authenticated with another key"))]
    Tag,
    /// The body is not the expected message.
    #[snafu(display("the frame's body is not the expected message"))]
    Body,
}

/// The secret key shared by all entry VMs.
#[derive(Clone)]
pub struct PeerKey([u8; blake3::KEY_LEN]);

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(hidden)")
    }
}

impl FromStr for PeerKey {
    type Err = String;

    fn from_str(secret: &str) -> Result<Self, String> {
        if secret.chars().count() < SECRET_CHARS_MIN {
            return Err(format!(
                "the peer key is too short: use {SECRET_CHARS_MIN} characters or more"
            ));
        }
        Ok(Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes())))
    }
}

impl PeerKey {
    /// Encodes a message as a frame.
    pub(crate) fn seal<T: Serialize>(&self, message: &T) -> Vec<u8> {
        let body = postcard::to_allocvec(message).expect("messages have a postcard form");
        let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
        frame.push(VERSION);
        frame.extend_from_slice(&self.tag(&body));
        frame.extend_from_slice(&body);
        frame
    }

    /// Checks a frame and decodes its message.
    pub(crate) fn open<T: DeserializeOwned>(&self, frame: &[u8]) -> Result<T, FrameError> {
        if frame.len() < HEADER_BYTES {
            return Err(FrameError::Short);
        }
        let (header, body) = frame.split_at(HEADER_BYTES);
        if header[0] != VERSION {
            return Err(FrameError::Version { version: header[0] });
        }
        let mut seen = [0; TAG_BYTES];
        seen.copy_from_slice(&header[1..]);
        // `blake3::Hash` compares in constant time.
        if blake3::hash(&seen) != blake3::hash(&self.tag(body)) {
            return Err(FrameError::Tag);
        }
        postcard::from_bytes(body).map_err(|_| FrameError::Body)
    }

    fn tag(&self, body: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&[VERSION]);
        hasher.update(body);
        let mut tag = [0; TAG_BYTES];
        hasher.finalize_xof().fill(&mut tag);
        tag
    }
}
