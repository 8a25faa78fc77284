//! Codings of responses, and which of them a caller accepts.
//!
//! Endpoints send bodies as they are. A coded body is someone else's unless the caller asked for its coding, so whether it did
//! is decided by what its `Accept-Encoding` says, as RFC 9110, section 12.5.3 defines it.

/// The name of no coding. A response that names it says nothing about its body, and nobody can ask for it to be applied.
const IDENTITY: &str = "identity";
/// The transfer coding that frames a body and leaves its bytes as they are.
const CHUNKED: &str = "chunked";
/// Matches every coding that isn't listed.
const ANY: &str = "*";
/// Prefix of former names of `gzip` and `compress`.
const FORMER_PREFIX: &str = "x-";

/// Returns whether a caller with these `Accept-Encoding` fields accepts a response with these `Content-Encoding` fields.
///
/// A response without fields is accepted. Each coding must be accepted with a weight above zero; a weight that can't be read is
/// none.
pub fn is_accepted(codings: &[&str], accepted: &[&str]) -> bool {
    if codings.is_empty() {
        return true;
    }
    let mut names = codings.iter().flat_map(|field| field.split(','));
    names.all(|name| accepts(name.trim(), accepted))
}

/// Returns whether the bytes of a body with these `Transfer-Encoding` fields are coded. No caller accepts that.
pub fn is_transfer_coded(codings: &[&str]) -> bool {
    let mut names = codings.iter().flat_map(|field| field.split(','));
    names.any(|name| {
        let name = name.trim();
        !name.eq_ignore_ascii_case(CHUNKED) && !name.eq_ignore_ascii_case(IDENTITY)
    })
}

/// Returns whether chunks frame a body with these `Transfer-Encoding` fields. Otherwise, it ends with its connection.
pub fn is_chunked(codings: &[&str]) -> bool {
    let last = codings.last().and_then(|field| field.rsplit(',').next());
    last.is_some_and(|name| name.trim().eq_ignore_ascii_case(CHUNKED))
}

fn accepts(coding: &str, accepted: &[&str]) -> bool {
    if coding.is_empty() || coding.eq_ignore_ascii_case(IDENTITY) {
        return false;
    }
    let entries = || accepted.iter().flat_map(|field| field.split(',')).map(parse_entry);
    let weights = |name: &str| -> Vec<bool> {
        let matching = entries().filter(|(listed, _)| is_same(listed, name));
        matching.map(|(_, is_positive)| is_positive).collect()
    };
    let mut found = weights(coding);
    if found.is_empty() {
        found = weights(ANY);
    }
    !found.is_empty() && found.iter().all(|is_positive| *is_positive)
}

/// Returns the coding of an entry of `Accept-Encoding`, and whether its weight is above zero.
fn parse_entry(entry: &str) -> (&str, bool) {
    let mut parts = entry.split(';').map(str::trim);
    let name = parts.next().unwrap_or_default();
    let is_positive = parts.all(|parameter| {
        let weight = parameter
            .split_once('=')
            .filter(|(key, _)| key.trim().eq_ignore_ascii_case("q"));
        weight.is_some_and(|(_, value)| value.trim().parse::<f64>().is_ok_and(|q| q > 0.0 && q <= 1.0))
    });
    (name, is_positive)
}

fn is_same(one: &str, other: &str) -> bool {
    canonical(one).eq_ignore_ascii_case(canonical(other))
}

/// Returns the name of a coding without the prefix of former names.
fn canonical(name: &str) -> &str {
    match name.split_at_checked(FORMER_PREFIX.len()) {
        Some((prefix, rest)) if prefix.eq_ignore_ascii_case(FORMER_PREFIX) => rest,
        _ => name,
    }
}
