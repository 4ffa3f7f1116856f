//! A tag on each datagram, by a key that all proxies of a tier share.

/// Bytes of a tag: a guess hits once in 2^128.
pub const TAG_BYTES: usize = 16;
/// A key file has at least so many bytes; fewer could be guessed.
pub const LEAST_KEY_BYTES: usize = 32;

const CONTEXT: &str = "gaugesaddle peers datagram tag 1";

/// Marks what is sent and checks what comes.
#[derive(Clone)]
pub struct Seal(Option<[u8; blake3::KEY_LEN]>);

impl std::fmt::Debug for Seal {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(if self.0.is_some() { "Seal(keyed)" } else { "Seal(none)" })
    }
}

impl Seal {
    /// Without a key nothing is marked or checked: for loopback addresses only.
    pub fn open() -> Seal {
        Seal(None)
    }

    /// By what a key file holds; `None` where that is too short.
    pub fn keyed(secret: &[u8]) -> Option<Seal> {
        let long = secret.len() >= LEAST_KEY_BYTES;
        long.then(|| Seal(Some(blake3::derive_key(CONTEXT, secret))))
    }

    /// Whether there is a key.
    pub fn is_keyed(&self) -> bool {
        self.0.is_some()
    }

    /// Bytes that it adds.
    pub fn bytes(&self) -> usize {
        if self.0.is_some() {
            TAG_BYTES
        } else {
            0
        }
    }

    /// Adds the tag.
    pub fn close(&self, mut bytes: Vec<u8>) -> Vec<u8> {
        if let Some(key) = &self.0 {
            let tag = blake3::keyed_hash(key, &bytes);
            bytes.extend(&tag.as_bytes()[..TAG_BYTES]);
        }
        bytes
    }

    /// What stands before a good tag.
    pub fn check<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let Some(key) = &self.0 else { return Some(bytes) };
        let (body, tag) = bytes.split_at_checked(bytes.len().checked_sub(TAG_BYTES)?)?;
        let due = blake3::keyed_hash(key, body);
        // Every byte is looked at, or the time would tell how many were right.
        let differ = due.as_bytes().iter().zip(tag).fold(0, |d, (a, b)| d | (a ^ b));
        (differ == 0).then_some(body)
    }
}

#[cfg(test)]
mod tests;
