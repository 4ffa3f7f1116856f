//! Authentication of datagrams: a keyed BLAKE3 hash with a key that all proxies of a tier share. It rejects
//! senders without the key; it does not encrypt, and it does not distinguish between holders of the key.

/// Bytes of a tag: a guessed tag is valid with a probability of 2^-128.
pub const TAG_BYTES: usize = 16;
/// Minimum number of bytes of a shared secret. A shorter one could be guessed.
pub const MIN_KEY_BYTES: usize = 32;

/// Context of the key derivation. It is part of the wire format: another string yields another key.
const KEY_CONTEXT: &str = "gaugesaddle peers datagram tag 1";

/// The shared secret has fewer than [`MIN_KEY_BYTES`] bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected a key of at least {MIN_KEY_BYTES} bytes, got {length}")]
pub struct KeyTooShort {
    /// Bytes of the secret.
    pub length: usize,
}

/// Signs datagrams that are sent and verifies those that are received.
#[derive(Clone)]
pub struct Authenticator(Option<[u8; blake3::KEY_LEN]>);

impl std::fmt::Debug for Authenticator {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(if self.0.is_some() { "Authenticator(keyed)" } else { "Authenticator(disabled)" })
    }
}

impl Authenticator {
    /// Neither signs nor verifies. [`crate::Membership`] accepts it with loopback addresses only.
    pub fn disabled() -> Authenticator {
        Authenticator(None)
    }

    /// Derives the key from the content of a key file.
    ///
    /// # Errors
    /// The secret is shorter than [`MIN_KEY_BYTES`].
    pub fn from_secret(secret: &[u8]) -> Result<Authenticator, KeyTooShort> {
        if secret.len() < MIN_KEY_BYTES {
            return Err(KeyTooShort { length: secret.len() });
        }
        Ok(Authenticator(Some(blake3::derive_key(KEY_CONTEXT, secret))))
    }

    /// Whether there is a key.
    pub fn is_keyed(&self) -> bool {
        self.0.is_some()
    }

    /// Bytes that [`Authenticator::sign`] appends.
    pub fn tag_bytes(&self) -> usize {
        if self.is_keyed() {
            TAG_BYTES
        } else {
            0
        }
    }

    /// Appends the tag.
    pub fn sign(&self, mut bytes: Vec<u8>) -> Vec<u8> {
        if let Some(key) = &self.0 {
            let tag = blake3::keyed_hash(key, &bytes);
            bytes.extend(&tag.as_bytes()[..TAG_BYTES]);
        }
        bytes
    }

    /// The bytes before a valid tag; `None` if the tag is missing or wrong.
    pub fn verify<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let Some(key) = &self.0 else { return Some(bytes) };
        let (body, tag) = bytes.split_at_checked(bytes.len().checked_sub(TAG_BYTES)?)?;
        let expected = blake3::keyed_hash(key, body);
        // Compares all bytes in constant time: the duration of a comparison that stops at the first difference would
        // reveal how many bytes are correct.
        let difference = expected.as_bytes().iter().zip(tag).fold(0, |sum, (a, b)| sum | (a ^ b));
        (difference == 0).then_some(body)
    }
}

#[cfg(test)]
mod tests;
