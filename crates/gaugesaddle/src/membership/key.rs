//! Reads the file of the key that authenticates datagrams.

use super::error::{PeersError, MAX_KEY_BYTES};
use gaugesaddle_membership::MIN_KEY_BYTES;
use std::fs::File;
use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// Permission bits of the group and of others.
const GROUP_AND_OTHERS: u32 = 0o077;

/// Reads the secret from a key file; the file must be accessible to its owner only.
pub(super) fn read_key(path: &Path) -> Result<Vec<u8>, PeersError> {
    let read_error = |source| PeersError::Read { path: path.into(), source };
    let file = File::open(path).map_err(read_error)?;
    let metadata = file.metadata().map_err(read_error)?;
    let mode = metadata.permissions().mode() & 0o7777;
    if mode & GROUP_AND_OTHERS != 0 {
        return Err(PeersError::Mode { path: path.into(), mode });
    }
    let mut secret = Vec::new();
    file.take(MAX_KEY_BYTES + 1).read_to_end(&mut secret).map_err(read_error)?;
    let bytes = secret.len() as u64;
    if !(MIN_KEY_BYTES as u64..=MAX_KEY_BYTES).contains(&bytes) {
        return Err(PeersError::Length { path: path.into(), bytes });
    }
    Ok(secret)
}

#[cfg(test)]
mod tests;
