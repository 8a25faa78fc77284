//! Encoding of attempt requests and frames.
//!
//! Frames use consistent overhead byte stuffing (COBS) with a zero byte as delimiter, so a reader finds the end of a frame
//! without knowing its type and can't mistake a truncated frame for a complete one.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::frame;

/// Maximum size of an encoded frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// An error while encoding or decoding a message.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The value can't be encoded, or the bytes are not a message of the expected type.
    #[error("the message is malformed")]
    Malformed(#[source] postcard::Error),
    /// The frame exceeds [`MAX_FRAME_BYTES`].
    #[error("the frame is longer than {MAX_FRAME_BYTES} bytes")]
    TooLong,
}

/// Encodes a message without a delimiter.
///
/// # Errors
///
/// Returns [`CodecError::Malformed`] if the value can't be encoded.
pub fn encode<T>(message: &T) -> Result<Vec<u8>, CodecError>
where
    T: Serialize,
{
    postcard::to_stdvec(message).map_err(CodecError::Malformed)
}

/// Decodes a complete message.
///
/// # Errors
///
/// Returns [`CodecError::Malformed`] if `bytes` are not an encoded `T`.
pub fn decode<T>(bytes: &[u8]) -> Result<T, CodecError>
where
    T: DeserializeOwned,
{
    postcard::from_bytes(bytes).map_err(CodecError::Malformed)
}

/// Encodes a frame, including its delimiter.
///
/// # Errors
///
/// Returns [`CodecError::Malformed`] if the frame can't be encoded.
pub fn encode_frame(frame: &frame::Frame) -> Result<Vec<u8>, CodecError> {
    postcard::to_stdvec_cobs(frame).map_err(CodecError::Malformed)
}

/// Decodes a stream of received bytes into frames.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct FrameReader {
    /// Bytes of a frame whose delimiter has not been received; none of them is zero.
    partial: Vec<u8>,
}

impl FrameReader {
    /// Decodes received bytes and appends the completed frames to `frames`.
    ///
    /// # Errors
    ///
    /// Returns a [`CodecError`] if a frame is malformed or too long. The reader can't be used afterwards.
    pub fn feed(&mut self, bytes: &[u8], frames: &mut Vec<frame::Frame>) -> Result<(), CodecError> {
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|b| *b == 0) {
            self.partial.extend_from_slice(&rest[..=end]);
            rest = &rest[end + 1..];
            let frame = postcard::from_bytes_cobs(&mut self.partial).map_err(CodecError::Malformed)?;
            self.partial.clear();
            frames.push(frame);
        }
        self.partial.extend_from_slice(rest);
        if self.partial.len() > MAX_FRAME_BYTES {
            return Err(CodecError::TooLong);
        }
        Ok(())
    }
}
