//! A process's own keys, and the authority that signs its peers'.

use super::*;

/// How often an idle connection is probed.
pub const KEEP_ALIVE: Duration = Duration::from_millis(500);
/// A connection silent for this long is over.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(2_000);
/// Streams that a peer may have open on one connection.
pub const MAX_STREAMS: u32 = 1_024;

/// A process's own keys, and the authority that signs its peers'.
#[derive(Debug)]
pub struct Identity {
    /// The process's own name, as its certificate has it.
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
    /// Reads an identity from the PEM files at the paths.
    pub fn read(
        name: &Name,
        authority: &PathBuf,
        certificate: &PathBuf,
        key: &PathBuf,
    ) -> Result<Self, Error> {
        let fail = |path: &PathBuf, cause: &dyn Display| {
            Error::new(error::Step::Keys, name, format!("`{}`: {cause}", path.display()))
        };
        let ca = CertificateDer::from_pem_file(authority).map_err(|e| fail(authority, &e))?;
        let own = CertificateDer::from_pem_file(certificate).map_err(|e| fail(certificate, &e))?;
        let secret = PrivateKeyDer::from_pem_file(key).map_err(|e| fail(key, &e))?;
        let mut roots = RootCertStore::empty();
        roots.add(ca).map_err(|e| fail(authority, &e))?;
        Ok(Self { authority: Arc::new(roots), certificate: own, key: secret, name: name.clone() })
    }

    pub(crate) fn client(&self) -> Result<quinn::ClientConfig, Error> {
        let tls = rustls::ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|cause| self.fail(cause))?
            .with_root_certificates(self.authority.clone())
            .with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())
            .map_err(|cause| self.fail(cause))?;
        let crypto = QuicClientConfig::try_from(tls).map_err(|cause| self.fail(cause))?;
        let mut config = quinn::ClientConfig::new(Arc::new(crypto));
        config.transport_config(transport());
        Ok(config)
    }

    pub(crate) fn server(&self) -> Result<quinn::ServerConfig, Error> {
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.authority.clone(), provider())
                .build()
                .map_err(|cause| self.fail(cause))?;
        let tls = rustls::ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|cause| self.fail(cause))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![self.certificate.clone()], self.key.clone_key())
            .map_err(|cause| self.fail(cause))?;
        let crypto = QuicServerConfig::try_from(tls).map_err(|cause| self.fail(cause))?;
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
        config.transport_config(transport());
        Ok(config)
    }

    fn fail(&self, cause: impl Display) -> Error {
        Error::new(error::Step::Keys, &self.name, cause)
    }
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn transport() -> Arc<quinn::TransportConfig> {
    let mut transport = quinn::TransportConfig::default();
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    transport.max_concurrent_bidi_streams(MAX_STREAMS.into());
    transport.max_concurrent_uni_streams(0u32.into());
    let limit = quinn::IdleTimeout::try_from(SILENCE_LIMIT).expect("the limit fits a varint");
    transport.max_idle_timeout(Some(limit));
    Arc::new(transport)
}
