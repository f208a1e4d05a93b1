//! Frames on a stream: one postcard value of limited size, up to the end of the stream.

use super::*;

/// The largest frame, in bytes. Above the value limit of the key-value service, so that any
/// configuration fits.
pub const MAX_FRAME_BYTES: usize = 2 << 20;

/// Writes `value` and finishes the stream.
pub async fn write<T: Serialize>(
    stream: &mut quinn::SendStream,
    peer: &Name,
    value: &T,
) -> Result<(), Error> {
    let bytes =
        postcard::to_stdvec(value).map_err(|cause| Error::new(error::Step::Codec, peer, cause))?;
    if bytes.len() > MAX_FRAME_BYTES {
        let cause = format!("{} bytes are above the limit of {MAX_FRAME_BYTES}", bytes.len());
        return Err(Error::new(error::Step::Codec, peer, cause));
    }
    stream.write_all(&bytes).await.map_err(|cause| Error::new(error::Step::Send, peer, cause))?;
    stream.finish().map_err(|cause| Error::new(error::Step::Send, peer, cause))
}

/// Reads one value up to the end of the stream.
pub async fn read<T: DeserializeOwned>(
    stream: &mut quinn::RecvStream,
    peer: &Name,
) -> Result<T, Error> {
    let bytes = stream
        .read_to_end(MAX_FRAME_BYTES)
        .await
        .map_err(|cause| Error::new(error::Step::Receive, peer, cause))?;
    postcard::from_bytes(&bytes).map_err(|cause| Error::new(error::Step::Codec, peer, cause))
}
