//! Digests of prompt prefixes, which are the same at every gateway.

use super::PickRequest;

/// Returns all parts but the last, which is unique to the request.
pub(super) fn shared_parts(parts: &[(u64, u32)]) -> &[(u64, u32)] {
    &parts[..parts.len().saturating_sub(1)]
}

/// Returns the digest of the shared prefix, if there is one.
pub(super) fn shared_prefix(parts: &[(u64, u32)]) -> Option<u64> {
    shared_parts(parts).last().map(|(digest, _)| *digest)
}

/// Computes the chained digests of prompt parts, given as pairs of id and token
/// count: each digest covers all parts up to its own.
pub fn prefix_digests<I>(parts: I) -> Vec<(u64, u32)>
where
    I: IntoIterator<Item = (u64, u32)>,
{
    let mut digest = 0;
    let chained = parts.into_iter().map(|(id, tokens)| {
        digest = mix(digest ^ id);
        (digest, tokens)
    });
    chained.collect()
}

/// Digests text. The result is the same in every process.
pub fn digest_text(text: &str) -> u64 {
    text.bytes()
        .fold(0, |digest, byte| mix(digest ^ u64::from(byte)))
}

/// Digests bytes, eight at a time. The result is the same in every process.
pub fn digest_bytes(bytes: &[u8]) -> u64 {
    let (words, rest) = bytes.as_chunks::<8>();
    let digest = words.iter().fold(bytes.len() as u64, |digest, word| {
        mix(digest ^ u64::from_le_bytes(*word))
    });
    rest.iter()
        .fold(digest, |digest, byte| mix(digest ^ u64::from(*byte)))
}

/// Combines two digests, or a digest and an id, into one; the order matters.
pub fn digest_pair(first: u64, second: u64) -> u64 {
    mix(mix(first) ^ second)
}

/// Returns the prompt parts with digests salted by the model, since caches are
/// kept apart by model.
pub(super) fn salted_parts(request: &PickRequest<'_>) -> Vec<(u64, u32)> {
    let parts = request.parts.iter();
    let salted =
        parts.map(|(digest, tokens)| (salted(*digest, request.model), *tokens));
    salted.collect()
}

pub(super) fn salted(digest: u64, model: &str) -> u64 {
    model
        .bytes()
        .fold(digest, |digest, byte| mix(digest ^ u64::from(byte)))
}

/// Returns the weight by which `node` is chosen for `key` among others: the highest one
/// is chosen, so that a node that comes or goes moves only its own keys.
pub fn rendezvous_weight(node: u64, key: u64) -> u64 {
    mix(node ^ mix(key))
}

/// Returns the output of splitmix64 for the state `value`.
pub(super) fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
