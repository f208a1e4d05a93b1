//! Generated TLS keys for tests: one certificate authority, and a certificate for each name.

use super::*;

/// A private key and its certificate, in PEM.
#[derive(Clone, Debug)]
pub struct Pair {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

/// A certificate authority and the pairs that it signed.
#[derive(Clone, Debug)]
pub struct Set {
    /// The authority's certificate, in PEM.
    pub authority: String,
    /// A pair for each name, in the order given.
    pub pairs: Vec<Pair>,
}

impl Set {
    /// Generates an authority and a pair for each name.
    pub fn generate(names: &[Name]) -> Result<Self, rcgen::Error> {
        let mut params = rcgen::CertificateParams::new(Vec::new())?;
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        let key = rcgen::KeyPair::generate()?;
        let authority = params.self_signed(&key)?.pem();
        let issuer = rcgen::Issuer::new(params, key);
        let pairs =
            names.iter().map(|name| generate_pair(name, &issuer)).collect::<Result<_, _>>()?;
        Ok(Self { authority, pairs })
    }
}

fn generate_pair(
    name: &Name,
    issuer: &rcgen::Issuer<'_, rcgen::KeyPair>,
) -> Result<Pair, rcgen::Error> {
    let mut params = rcgen::CertificateParams::new(vec![name.to_string()])?;
    params.distinguished_name.push(rcgen::DnType::CommonName, name.as_str());
    let key = rcgen::KeyPair::generate()?;
    let certificate = params.signed_by(&key, issuer)?.pem();
    Ok(Pair { certificate, key: key.serialize_pem() })
}
