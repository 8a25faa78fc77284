//! Compact encoding for values inside messages of a more verbose codec.
//!
//! Used for the messages that are sent most often.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de, ser};

/// Wraps a value so that it is serialized as a byte string in postcard encoding.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Packed<T>(pub T);

impl<T> Serialize for Packed<T>
where
    T: Serialize,
{
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let bytes = postcard::to_stdvec(&self.0).map_err(ser::Error::custom)?;
        bytes.serialize(serializer)
    }
}

impl<'de, T> Deserialize<'de> for Packed<T>
where
    T: DeserializeOwned,
{
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let bytes = Vec::<u8>::deserialize(deserializer)?;
        postcard::from_bytes(&bytes).map(Self).map_err(de::Error::custom)
    }
}
