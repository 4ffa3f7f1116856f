//! Certificates, keys and trust anchors: read, judged, and taken into use while others serve.

use super::settings::{Other, Region};
use gaugesaddle_balancer::Time;
use gaugesaddle_federation::credentials::{check, CredentialError, CredentialFacts};
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

/// A larger file is no certificate of ours.
const FILE_BYTES: u64 = 1 << 20;
/// Certificates in one file.
const MOST: usize = 64;

/// Why a set of files can't be used.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// It can't be read.
    #[error("region.{key}: expected a readable file of up to {FILE_BYTES} bytes, got {file}: {source}")]
    Read {
        /// The key of the operator's file.
        key: &'static str,
        /// The file.
        file: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// It is not what it should be. What is in it is not told: it may be a secret.
    #[error("region.{key}: expected {expected} in PEM in {file}")]
    Form {
        /// The key of the operator's file.
        key: &'static str,
        /// What should be there.
        expected: &'static str,
        /// The file.
        file: String,
    },
    /// Each file is sound, and together they are not.
    #[error("region.{0}")]
    Unfit(CredentialError),
    /// The library would not have it.
    #[error("region.{key}: {source}")]
    Library {
        /// The key of the operator's file.
        key: &'static str,
        /// What it said.
        source: rustls::Error,
    },
}

/// A set of keys in use.
pub struct Identity {
    /// For connections from other regions.
    pub server: Arc<ServerConfig>,
    /// For connections to them.
    pub client: Arc<ClientConfig>,
    /// When the certificate ends.
    pub ends: Time,
}

/// What tells one state of a file from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stamp([(u64, i64, i64, u64); 3]);

/// The present state of the three files; of one that is not there, zeroes.
pub fn stamp(settings: &Region) -> Stamp {
    let of = |path: &Path| {
        std::fs::metadata(path).map_or((0, 0, 0, 0), |m| (m.ino(), m.mtime(), m.mtime_nsec(), m.len()))
    };
    Stamp([of(&settings.certificate), of(&settings.key), of(&settings.trust)])
}

fn read(key: &'static str, path: &Path) -> Result<(Vec<u8>, u32), KeyError> {
    let fail = |source| KeyError::Read { key, file: path.display().to_string(), source };
    let file = std::fs::File::open(path).map_err(fail)?;
    let mode = file.metadata().map_err(fail)?.permissions().mode();
    let mut bytes = Vec::new();
    file.take(FILE_BYTES + 1).read_to_end(&mut bytes).map_err(fail)?;
    if bytes.len() as u64 > FILE_BYTES {
        return Err(fail(std::io::Error::other("too large")));
    }
    Ok((bytes, mode))
}

/// The bytes of a file, and which it is.
struct Text<'a> {
    key: &'static str,
    path: &'a Path,
    bytes: Vec<u8>,
    mode: u32,
}

impl Text<'_> {
    fn read<'a>(key: &'static str, path: &'a Path) -> Result<Text<'a>, KeyError> {
        read(key, path).map(|(bytes, mode)| Text { key, path, bytes, mode })
    }
}

fn certificates(text: &Text) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let Text { key, path, bytes, .. } = text;
    let fail = || KeyError::Form { key, expected: "whole certificates", file: path.display().to_string() };
    let found: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(bytes).take(MOST).collect();
    // A file that is cut off in the middle ends without its last line, and that is no certificate.
    let begun = bytes.windows(27).filter(|w| w == b"-----BEGIN CERTIFICATE-----").count();
    found.ok().filter(|f| f.len() == begun.min(MOST)).ok_or_else(fail)
}

/// Whether a certificate was made out to that name.
pub fn is_for(certificate: &CertificateDer, name: &str) -> bool {
    let Ok(name) = ServerName::try_from(name) else { return false };
    webpki::EndEntityCert::try_from(certificate)
        .is_ok_and(|c| c.verify_is_valid_for_subject_name(&name).is_ok())
}

/// Which of the other regions a peer is, by the certificate that it proved to hold.
pub fn region_of(certificate: &CertificateDer, others: &[Other]) -> Option<usize> {
    let mut found = (0..others.len()).filter(|i| is_for(certificate, others[*i].certificate_name()));
    // One that was made out to two regions could speak for either.
    found.next().filter(|_| found.next().is_none())
}

/// Reads the three files and judges them.
pub fn load(settings: &Region, now: Time) -> Result<Identity, KeyError> {
    let certificate = Text::read("certificate", &settings.certificate)?;
    let trust = Text::read("trust", &settings.trust)?;
    assemble(settings.own_certificate_name(), certificate, Text::read("key", &settings.key)?, trust, now)
}

/// The same of what stands in them.
fn assemble(
    own_name: &str, certificate: Text, key: Text, trust: Text, now: Time,
) -> Result<Identity, KeyError> {
    let (chain, anchors, mode) = (certificates(&certificate)?, certificates(&trust)?, key.mode);
    let key = PrivateKeyDer::from_pem_slice(&key.bytes).map_err(|_| KeyError::Form {
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
    let facts = CredentialFacts {
        valid_from,
        valid_until,
        key_matches: certified.keys_match().is_ok(),
        key_mode: mode,
        names_own_region: chain.first().is_some_and(|c| is_for(c, own_name)),
        chain_length: chain.len(),
        anchors: anchors.len(),
    };
    check(now, &facts).map_err(KeyError::Unfit)?;
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
    // A resumed session would go by the trust of the day when it began.
    server.session_storage = Arc::new(NoServerSessionStorage {});
    server.send_tls13_tickets = 0;
    client.resumption = Resumption::disabled();
    server.alpn_protocols = vec![b"h2".to_vec()];
    client.alpn_protocols = vec![b"h2".to_vec()];
    Ok(Identity { server: Arc::new(server), client: Arc::new(client), ends: facts.valid_until })
}

#[cfg(test)]
mod tests;
