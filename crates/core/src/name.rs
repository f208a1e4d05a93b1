//! Validated names of services, VMs, teams, batch classes and availability zones.

use super::*;

/// Length of the longest valid name, in bytes.
pub const MAX_BYTES: usize = 63;

/// Regular expression that valid names match.
pub const PATTERN: &str = "^[a-z0-9][a-z0-9-]{0,62}$";

/// A name of 1 to 63 lower-case letters, digits and hyphens that starts with a letter or a digit.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// A text that is not a valid name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    text: String,
}

impl Name {
    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for Name {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Error> {
        let valid = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
        if text.is_empty()
            || text.len() > MAX_BYTES
            || text.starts_with('-')
            || !text.bytes().all(valid)
        {
            return Err(Error { text: text.into() });
        }
        Ok(Self(text.into()))
    }
}

impl TryFrom<String> for Name {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        Self::try_from(text.as_str())
    }
}

impl FromStr for Name {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Self::try_from(text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0.as_ref().into()
    }
}

impl JsonSchema for Name {
    fn schema_name() -> Cow<'static, str> {
        "Name".into()
    }

    fn inline_schema() -> bool {
        true
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({ "type": "string", "format": "name", "pattern": PATTERN })
    }
}

impl Display for Name {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(
            f,
            "`{}` is not a name: use 1 to {MAX_BYTES} lower-case letters, digits and hyphens, \
             starting with a letter or a digit",
            self.text
        )
    }
}

impl std::error::Error for Error {}
