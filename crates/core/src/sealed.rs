//! Encoding of values in the key-value service: magic bytes, format version, checksum, and a
//! postcard body.

use super::*;

/// Version of the encoding.
pub const VERSION: u16 = 1;
/// The first bytes of every value.
pub const MAGIC: [u8; 2] = *b"os";
/// Maximum size of a written value, in bytes. Below the key-value service's limit of 1 MB.
pub const MAX_VALUE_BYTES: usize = 512 << 10;
const HEADER_BYTES: usize = 12;

/// Why a value can't be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The value is truncated, altered, missing, or out of sequence.
    Damaged {
        /// The damage.
        cause: String,
        /// The key.
        key: String,
    },
    /// The value was written by a newer release.
    Newer {
        /// The key.
        key: String,
        /// The value's version.
        version: u16,
    },
}

impl Error {
    /// Returns an error for a damaged value.
    pub fn damaged(key: &str, cause: impl Display) -> Self {
        Self::Damaged { cause: cause.to_string(), key: key.into() }
    }
}

/// Encodes a value with a header.
pub fn seal<T: Serialize>(value: &T) -> Vec<u8> {
    let body = encode(value);
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend(MAGIC);
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(xxh3_64(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Decodes the value of `key`.
///
/// # Errors
///
/// Returns `Newer` for a newer version, and `Damaged` for anything else that can't be decoded.
pub fn open<T: DeserializeOwned>(key: &str, bytes: &[u8]) -> Result<T, Error> {
    let (header, body) = bytes
        .split_at_checked(HEADER_BYTES)
        .ok_or_else(|| Error::damaged(key, "it is truncated"))?;
    if header[..2] != MAGIC {
        return Err(Error::damaged(key, "it does not start with the magic bytes"));
    }
    let version = u16::from_le_bytes([header[2], header[3]]);
    if version > VERSION {
        return Err(Error::Newer { key: key.into(), version });
    }
    if version < VERSION {
        return Err(Error::damaged(key, format!("it has version {version}")));
    }
    if header[4..] != xxh3_64(body).to_le_bytes() {
        return Err(Error::damaged(key, "its checksum differs"));
    }
    postcard::from_bytes(body).map_err(|cause| Error::damaged(key, cause))
}

/// Encodes a value without a header.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("domain types have known lengths")
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Damaged { cause, key } => {
                write!(f, "value of `{key}` is damaged, {cause}: restore it from a backup")
            }
            Self::Newer { key, version } => write!(
                f,
                "value of `{key}` has version {version}, above {VERSION}: run the release that \
                 wrote it"
            ),
        }
    }
}

impl std::error::Error for Error {}
