//! Reads certificates, keys and trust anchors, and creates TLS configurations from them.

use super::settings::{OtherRegion, RegionSection};
use gaugesaddle_balancer::Time;
use gaugesaddle_federation::credentials::{validate, CredentialError, CredentialMetadata};
use rustls::client::Resumption;
use rustls::crypto::{ring, CryptoProvider};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::{NoServerSessionStorage, WebPkiClientVerifier};
use rustls::sign::{CertifiedKey, SingleCertAndKey};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::io::Read;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::Path;
use std::sync::Arc;

/// Maximum size of a certificate, key or trust file.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// Maximum number of certificates in one file.
const MAX_CERTIFICATES: usize = 64;

/// An error in a set of certificate, key and trust files.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// A file cannot be read.
    #[error("region.{key}: expected a readable file of up to {MAX_FILE_BYTES} bytes, got {file}: {source}")]
    Read {
        /// The key of the operator's file.
        key: &'static str,
        /// The file.
        file: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A file has other contents than expected. The contents are not shown, since they may be secret.
    #[error("region.{key}: expected {expected} in PEM in {file}")]
    Contents {
        /// The key of the operator's file.
        key: &'static str,
        /// What was expected.
        expected: &'static str,
        /// The file.
        file: String,
    },
    /// The files do not match each other, or do not match this region.
    #[error("region.{0}")]
    InvalidCredentials(#[source] CredentialError),
    /// The TLS library rejects them.
    #[error("region.{key}: {source}")]
    Library {
        /// The key of the operator's file.
        key: &'static str,
        /// The error of the library.
        source: rustls::Error,
    },
}

/// Certificate, key and trust anchors, ready for use.
pub struct Identity {
    /// For connections from other regions.
    pub server: Arc<ServerConfig>,
    /// For connections to them.
    pub client: Arc<ClientConfig>,
    /// When the certificate expires.
    pub valid_until: Time,
}

/// Inode, modification time (seconds, nanoseconds) and size of a file; zeroes where it does not exist.
type FileVersion = (u64, i64, i64, u64);

/// The versions of the three files; differs after one of them is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileStamp([FileVersion; 3]);

/// Reads the present versions of the three files.
pub fn stamp(settings: &RegionSection) -> FileStamp {
    let version = |path: &Path| {
        std::fs::metadata(path).map_or((0, 0, 0, 0), |m| (m.ino(), m.mtime(), m.mtime_nsec(), m.len()))
    };
    FileStamp([version(&settings.certificate), version(&settings.key), version(&settings.trust)])
}

fn read(key: &'static str, path: &Path) -> Result<(Vec<u8>, u32), KeyError> {
    let fail = |source| KeyError::Read { key, file: path.display().to_string(), source };
    let file = std::fs::File::open(path).map_err(fail)?;
    let mode = file.metadata().map_err(fail)?.permissions().mode();
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(fail)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(fail(std::io::Error::other("too large")));
    }
    Ok((bytes, mode))
}

/// The contents and permission bits of a file.
struct KeyFile<'a> {
    key: &'static str,
    path: &'a Path,
    bytes: Vec<u8>,
    mode: u32,
}

impl KeyFile<'_> {
    fn read<'a>(key: &'static str, path: &'a Path) -> Result<KeyFile<'a>, KeyError> {
        read(key, path).map(|(bytes, mode)| KeyFile { key, path, bytes, mode })
    }
}

fn certificates(file: &KeyFile) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let KeyFile { key, path, bytes, .. } = file;
    let fail =
        || KeyError::Contents { key, expected: "whole certificates", file: path.display().to_string() };
    let found: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(bytes).take(MAX_CERTIFICATES).collect();
    // The parser skips a certificate without its last line, as in a truncated file, so the first lines are counted.
    let started = bytes.windows(27).filter(|w| w == b"-----BEGIN CERTIFICATE-----").count();
    found.ok().filter(|f| f.len() == started.min(MAX_CERTIFICATES)).ok_or_else(fail)
}

/// Whether a certificate is valid for a name.
pub fn is_for(certificate: &CertificateDer, name: &str) -> bool {
    let Ok(name) = ServerName::try_from(name) else { return false };
    webpki::EndEntityCert::try_from(certificate)
        .is_ok_and(|c| c.verify_is_valid_for_subject_name(&name).is_ok())
}

/// Returns the index of the region that an authenticated peer certificate belongs to.
pub fn region_of(certificate: &CertificateDer, others: &[OtherRegion]) -> Option<usize> {
    let mut found = (0..others.len()).filter(|i| is_for(certificate, others[*i].certificate_name()));
    // A certificate that is valid for two regions identifies neither.
    found.next().filter(|_| found.next().is_none())
}

/// Reads and checks the three files.
///
/// # Errors
/// Returns an error if a file cannot be read, or if the files do not match each other or this region.
pub fn load(settings: &RegionSection, now: Time) -> Result<Identity, KeyError> {
    let certificate = KeyFile::read("certificate", &settings.certificate)?;
    let trust = KeyFile::read("trust", &settings.trust)?;
    assemble(settings.own_certificate_name(), certificate, KeyFile::read("key", &settings.key)?, trust, now)
}

/// Checks the contents of the three files and creates the TLS configurations.
fn assemble(
    own_name: &str, certificate: KeyFile, key: KeyFile, trust: KeyFile, now: Time,
) -> Result<Identity, KeyError> {
    let (chain, anchors, mode) = (certificates(&certificate)?, certificates(&trust)?, key.mode);
    let key = PrivateKeyDer::from_pem_slice(&key.bytes).map_err(|_| KeyError::Contents {
        key: "key",
        expected: "a private key",
        file: key.path.display().to_string(),
    })?;
    let provider: Arc<CryptoProvider> = Arc::new(ring::default_provider());
    let library = |key| move |source| KeyError::Library { key, source };
    let signing = provider.key_provider.load_private_key(key).map_err(library("key"))?;
    let certified = CertifiedKey::new(chain.clone(), signing);
    let times = chain.first().and_then(|c| x509_parser::parse_x509_certificate(c).ok()).map(|(_, c)| {
        let us = |seconds: i64| Time(u64::try_from(seconds).unwrap_or(0).saturating_mul(1_000_000));
        (us(c.validity().not_before.timestamp()), us(c.validity().not_after.timestamp()))
    });
    let (valid_from, valid_until) = times.unwrap_or_default();
    let facts = CredentialMetadata {
        valid_from,
        valid_until,
        key_matches: certified.keys_match().is_ok(),
        key_mode: mode,
        names_own_region: chain.first().is_some_and(|c| is_for(c, own_name)),
        chain_length: chain.len(),
        anchors: anchors.len(),
    };
    validate(now, &facts).map_err(KeyError::InvalidCredentials)?;
    let mut roots = RootCertStore::empty();
    for anchor in anchors {
        roots.add(anchor).map_err(library("trust"))?;
    }
    let roots = Arc::new(roots);
    let resolver = Arc::new(SingleCertAndKey::from(certified));
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build();
    let verifier = verifier.map_err(|e| library("trust")(rustls::Error::General(e.to_string())))?;
    let versions = [&rustls::version::TLS13];
    let mut server = ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&versions)
        .map_err(library("certificate"))?
        .with_client_cert_verifier(verifier)
        .with_cert_resolver(resolver.clone());
    let mut client = ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&versions)
        .map_err(library("certificate"))?
        .with_root_certificates(roots)
        .with_client_cert_resolver(resolver);
    // A resumed session would rely on the trust anchors from the time of its original handshake.
    server.session_storage = Arc::new(NoServerSessionStorage {});
    server.send_tls13_tickets = 0;
    client.resumption = Resumption::disabled();
    server.alpn_protocols = vec![b"h2".to_vec()];
    client.alpn_protocols = vec![b"h2".to_vec()];
    Ok(Identity { server: Arc::new(server), client: Arc::new(client), valid_until: facts.valid_until })
}

#[cfg(test)]
mod tests;
