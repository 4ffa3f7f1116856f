//! What certificates and keys may be taken into use while others serve: decided from what was read of them.

use gaugesaddle_balancer::{Micros, Time};

/// Warned of before the end of a certificate: first so long before, then more loudly.
const SOON: Micros = Micros(30 * 86_400 * 1_000_000);
const URGENT: Micros = Micros(7 * 86_400 * 1_000_000);
/// Permission bits that let others read a private key.
const OTHERS: u32 = 0o077;

/// What was read of a set of files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The first and last moment at which the own certificate holds.
    pub valid: (Time, Time),
    /// The private key belongs to it.
    pub pair: bool,
    /// The key file's permission bits.
    pub mode: u32,
    /// It is a certificate for this region's own name.
    pub own_name: bool,
    /// Certificates in the chain, and trust anchors.
    pub chain: usize,
    /// See `chain`.
    pub anchors: usize,
}

/// Why a set of files is not taken into use. What serves stays in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unfit {
    /// Half written, or another file.
    #[error("certificate: expected at least one in PEM")]
    NoCertificate,
    /// No authority to trust.
    #[error("trust: expected at least one certificate in PEM")]
    NoAnchor,
    /// Others may read the key.
    #[error("key: expected a file that only its owner may read (mode 0600), got {0:04o}")]
    Readable(u32),
    /// One of the two was replaced and the other not yet.
    #[error("key: expected the private key of the certificate; the two do not match")]
    Mismatch,
    /// It is somebody else's.
    #[error("certificate: expected one for this region's own name")]
    Name,
    /// Its time is over.
    #[error("certificate: expected one that has not expired")]
    Expired,
    /// Its time has not come.
    #[error("certificate: expected one that holds by now")]
    Early,
}

/// Whether the files may be taken into use.
pub fn judge(now: Time, seen: &Seen) -> Result<(), Unfit> {
    let tests = [
        (seen.mode & OTHERS == 0, Unfit::Readable(seen.mode & 0o7777)),
        (seen.chain > 0, Unfit::NoCertificate),
        (seen.anchors > 0, Unfit::NoAnchor),
        (seen.pair, Unfit::Mismatch),
        (seen.own_name, Unfit::Name),
        (now <= seen.valid.1, Unfit::Expired),
        (now >= seen.valid.0, Unfit::Early),
    ];
    tests.into_iter().find(|t| !t.0).map_or(Ok(()), |t| Err(t.1))
}

/// How near the end of the certificate in use is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// More than a month.
    Far,
    /// Within a month.
    Soon,
    /// Within a week.
    Urgent,
    /// It is over: peers refuse new handshakes.
    Over,
}

impl End {
    /// At that moment, for a certificate that ends then.
    pub fn at(now: Time, end: Time) -> End {
        match end - now {
            _ if now > end => End::Over,
            left if left <= URGENT => End::Urgent,
            left if left <= SOON => End::Soon,
            _ => End::Far,
        }
    }
}

#[cfg(test)]
mod tests;
