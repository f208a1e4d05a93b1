//! TLS keys of a process, and the certificate authority of its peers.

use super::*;

/// Interval of keep-alive packets on an idle connection.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// A connection is closed after receiving nothing for this long.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Streams, and so calls in progress, that a peer may have open on one connection.
pub const MAX_STREAMS: u32 = 1_024;

/// TLS keys of a process, and the certificate authority of its peers.
#[derive(Debug)]
pub struct Identity {
    /// Name of the process, as in its certificate.
    pub name: Name,
    authority: Arc<RootCertStore>,
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
}

impl Clone for Identity {
    fn clone(&self) -> Self {
        Self {
            authority: self.authority.clone(),
            certificate: self.certificate.clone(),
            key: self.key.clone_key(),
            name: self.name.clone(),
        }
    }
}

impl Identity {
    /// Reads the PEM files of the process `name`.
    pub fn read(
        name: &Name,
        authority: &PathBuf,
        certificate: &PathBuf,
        key: &PathBuf,
    ) -> Result<Self, Error> {
        let fail = |path: &PathBuf, cause: &dyn Display| {
            Error::new(error::Step::Keys, name, format!("`{}`: {cause}", path.display()))
        };
        let authority_certificate =
            CertificateDer::from_pem_file(authority).map_err(|e| fail(authority, &e))?;
        let own_certificate =
            CertificateDer::from_pem_file(certificate).map_err(|e| fail(certificate, &e))?;
        let private_key = PrivateKeyDer::from_pem_file(key).map_err(|e| fail(key, &e))?;
        let mut roots = RootCertStore::empty();
        roots.add(authority_certificate).map_err(|e| fail(authority, &e))?;
        Ok(Self {
            authority: Arc::new(roots),
            certificate: own_certificate,
            key: private_key,
            name: name.clone(),
        })
    }

    pub(crate) fn client_config(&self) -> Result<quinn::ClientConfig, Error> {
        let tls = rustls::ClientConfig::builder_with_provider(crypto_provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|cause| self.error(cause))?
            .with_root_certificates(self.authority.clone())
            .with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())
            .map_err(|cause| self.error(cause))?;
        let crypto = QuicClientConfig::try_from(tls).map_err(|cause| self.error(cause))?;
        let mut config = quinn::ClientConfig::new(Arc::new(crypto));
        config.transport_config(transport_config());
        Ok(config)
    }

    pub(crate) fn server_config(&self) -> Result<quinn::ServerConfig, Error> {
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.authority.clone(), crypto_provider())
                .build()
                .map_err(|cause| self.error(cause))?;
        let tls = rustls::ServerConfig::builder_with_provider(crypto_provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|cause| self.error(cause))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![self.certificate.clone()], self.key.clone_key())
            .map_err(|cause| self.error(cause))?;
        let crypto = QuicServerConfig::try_from(tls).map_err(|cause| self.error(cause))?;
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
        config.transport_config(transport_config());
        Ok(config)
    }

    fn error(&self, cause: impl Display) -> Error {
        Error::new(error::Step::Keys, &self.name, cause)
    }
}

fn crypto_provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn transport_config() -> Arc<quinn::TransportConfig> {
    let mut transport = quinn::TransportConfig::default();
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.max_concurrent_bidi_streams(MAX_STREAMS.into());
    transport.max_concurrent_uni_streams(0u32.into());
    let idle_timeout =
        quinn::IdleTimeout::try_from(IDLE_TIMEOUT).expect("the timeout fits a varint");
    transport.max_idle_timeout(Some(idle_timeout));
    Arc::new(transport)
}
