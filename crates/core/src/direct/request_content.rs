//! Identifies a request by its content, so that one that comes again is recognised at any instance.

use std::sync::Arc;

use xxhash_rust::xxh3;

/// What makes two requests the same, whatever identifiers their attempts have.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// The organisation that sends the request, if it is known.
    pub organisation: Option<&'a str>,
    /// The HTTP method.
    pub method: &'a str,
    /// The host that the request names.
    pub host: &'a str,
    /// The path and query.
    pub target: &'a str,
    /// The description of the prompt in the headers, if there is one.
    pub prompt: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Returns an identifier that is the same for equal contents at all instances, as 16 hexadecimal digits.
    pub fn identifier(&self) -> Arc<str> {
        let mut hasher = xxh3::Xxh3::new();
        let organisation = self.organisation.unwrap_or_default();
        let prompt = self.prompt.unwrap_or_default();
        let texts = [organisation, self.method, self.host, self.target, prompt];
        for part in texts.map(str::as_bytes).into_iter().chain([self.body]) {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Arc::from(format!("{:016x}", hasher.digest()))
    }
}
