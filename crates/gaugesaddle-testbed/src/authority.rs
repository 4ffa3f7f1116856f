//! Certificates for regions under test: a certificate authority, valid and expired certificates, and a gateway client
//! that sends requests as the test gives them.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// A certificate authority.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    /// The certificate of the authority, in PEM.
    pub pem: String,
}

/// A certificate and its key, in PEM.
#[derive(Clone)]
pub struct CertifiedKey {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

const DAY: Duration = Duration::from_secs(86_400);

impl Authority {
    /// Creates an authority with a new key.
    pub fn new() -> Authority {
        let key = KeyPair::generate().expect("key pair is generated");
        let mut params = CertificateParams::new(Vec::new()).expect("empty list of names is valid");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let pem = params.self_signed(&key).expect("certificate is signed").pem();
        Authority { issuer: Issuer::new(params, key), pem }
    }

    /// Issues a certificate for that name, valid for a year.
    pub fn issue(&self, name: &str) -> CertifiedKey {
        self.issue_for(name, 365)
    }

    /// Issues a certificate that expires in that many days; a negative number of days gives an expired one.
    pub fn issue_for(&self, name: &str, days: i64) -> CertifiedKey {
        let key = KeyPair::generate().expect("key pair is generated");
        let mut params = CertificateParams::new(vec![name.to_string()]).expect("name is a valid DNS name");
        let now = SystemTime::now();
        let end = if days < 0 { now - DAY * days.unsigned_abs() as u32 } else { now + DAY * days as u32 };
        params.not_before = (now - DAY * 1000).into();
        params.not_after = end.into();
        let certificate = params.signed_by(&key, &self.issuer).expect("certificate is signed").pem();
        CertifiedKey { certificate, key: key.serialize_pem() }
    }
}

impl Default for Authority {
    fn default() -> Authority {
        Authority::new()
    }
}

/// The certificate, key and trust files of a region.
pub struct KeyFiles {
    /// The folder of the files.
    pub folder: PathBuf,
}

impl KeyFiles {
    /// Replaces one file atomically.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn put(&self, name: &str, text: &str, mode: u32) -> io::Result<()> {
        let draft = self.folder.join(format!("{name}.draft"));
        std::fs::write(&draft, text)?;
        std::fs::set_permissions(&draft, std::fs::Permissions::from_mode(mode))?;
        std::fs::rename(&draft, self.folder.join(name))
    }

    /// Replaces all three files, one after the other.
    ///
    /// # Errors
    /// A file cannot be written.
    pub fn put_all(&self, keys: &CertifiedKey, trust: &str) -> io::Result<()> {
        self.put("trust.pem", trust, 0o644)?;
        self.put("key.pem", &keys.key, 0o600)?;
        self.put("certificate.pem", &keys.certificate, 0o644)
    }

    /// The lines of the operator's file with the paths of the files.
    pub fn to_toml(&self) -> String {
        let of = |name: &str| self.folder.join(name);
        let (certificate, key, trust) = (of("certificate.pem"), of("key.pem"), of("trust.pem"));
        format!("certificate = {certificate:?}\nkey = {key:?}\ntrust = {trust:?}\n")
    }
}

/// The TLS configuration of a peer, with its certificate if it has one.
pub fn client_tls_config(keys: Option<&CertifiedKey>, trust: &str) -> Arc<rustls::ClientConfig> {
    let mut roots = rustls::RootCertStore::empty();
    for anchor in CertificateDer::pem_slice_iter(trust.as_bytes()).flatten() {
        roots.add(anchor).expect("trust anchor is a valid certificate");
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("TLS 1.3 is supported")
        .with_root_certificates(roots);
    let mut config = match keys {
        None => builder.with_no_client_auth(),
        Some(keys) => {
            let certificate = CertificateDer::from_pem_slice(keys.certificate.as_bytes())
                .expect("certificate is valid PEM");
            let key = PrivateKeyDer::from_pem_slice(keys.key.as_bytes()).expect("key is valid PEM");
            builder.with_client_auth_cert(vec![certificate], key).expect("key matches the certificate")
        }
    };
    config.alpn_protocols = vec![b"h2".to_vec()];
    Arc::new(config)
}

/// The header with a gateway's clock, in microseconds.
const GATEWAY_CLOCK: &str = "region-clock-us";
/// The header with a request's deadline on the gateway's clock, in microseconds.
pub const GATEWAY_DEADLINE: &str = "region-deadline-us";
/// Time from the clock reading to the deadline, for requests without a deadline of their own.
const GATEWAY_DEADLINE_US: u64 = 30_000_000;

/// A peer's connection to a gateway.
pub struct GatewayConnection {
    sender: hyper::client::conn::http2::SendRequest<Full<Bytes>>,
    connection_task: tokio::task::JoinHandle<Result<(), hyper::Error>>,
}

impl Drop for GatewayConnection {
    fn drop(&mut self) {
        self.connection_task.abort();
    }
}

impl GatewayConnection {
    /// Connects with a TLS configuration to the gateway of that name.
    ///
    /// # Errors
    /// The gateway cannot be reached, or refuses the keys.
    pub async fn open(config: Arc<rustls::ClientConfig>, to: SocketAddr, name: &str) -> io::Result<Self> {
        let stream = tokio::net::TcpStream::connect(to).await?;
        let name = ServerName::try_from(name.to_string()).map_err(io::Error::other)?;
        let stream = tokio_rustls::TlsConnector::from(config).connect(name, stream).await?;
        let http = hyper::client::conn::http2::Builder::new(TokioExecutor::new());
        let (sender, connection) = http.handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        Ok(GatewayConnection { sender, connection_task: tokio::spawn(connection) })
    }

    /// Reads the gateway's clock, in microseconds.
    ///
    /// # Errors
    /// The gateway sends no clock.
    pub async fn clock(&mut self) -> io::Result<u64> {
        let request = Request::builder().method("OPTIONS").uri("https://gateway/").header(GATEWAY_CLOCK, "0");
        let request = request.body(Full::default()).map_err(io::Error::other)?;
        let answer = self.send(request).await?;
        let reading = answer.headers().get(GATEWAY_CLOCK).and_then(|value| value.to_str().ok()?.parse().ok());
        reading.ok_or_else(|| io::Error::other("expected the gateway's clock in the region-clock-us header"))
    }

    /// Sends a request unchanged and reads the response.
    ///
    /// # Errors
    /// The connection ends before a response.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> io::Result<Response<Bytes>> {
        let answer = self.sender.send_request(request).await.map_err(io::Error::other)?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        Ok(Response::from_parts(head, body))
    }
}

/// Connects to a gateway, sends the requests one after the other, and returns the responses. A request without a
/// deadline gets one.
///
/// # Errors
/// The gateway cannot be reached, refuses the keys, or sends no response.
pub async fn send_to_gateway(
    config: Arc<rustls::ClientConfig>, to: SocketAddr, name: &str, requests: Vec<Request<Full<Bytes>>>,
) -> io::Result<Vec<Response<Bytes>>> {
    let mut gateway = GatewayConnection::open(config, to, name).await?;
    let mut answers = Vec::new();
    for mut request in requests {
        if !request.headers().contains_key(GATEWAY_DEADLINE) {
            let deadline = gateway.clock().await? + GATEWAY_DEADLINE_US;
            request.headers_mut().insert(GATEWAY_DEADLINE, deadline.into());
        }
        answers.push(gateway.send(request).await?);
    }
    Ok(answers)
}

/// A temporary folder, removed on drop.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// Creates a folder whose path has this name and the process id.
    pub fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("gaugesaddle-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("temporary folder is created");
        TempFolder(path)
    }

    /// Writes a file in the folder and returns its path.
    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("file is written");
        path
    }

    /// The path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
