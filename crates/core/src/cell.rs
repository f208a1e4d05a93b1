//! Cells. A cell is the workers of some racks in one availability zone, owned by one scheduler at a
//! time.

use super::*;

/// The id of a cell, written as `ZONE.INDEX`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Id {
    /// Position among the cells of the zone.
    pub index: u16,
    /// The availability zone of every worker of the cell.
    pub zone: Name,
}

/// The number of owners that a cell has had. Each takeover increments it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// The error of a text that is not the id of a cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    text: String,
}

impl TryFrom<String> for Id {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl FromStr for Id {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error { text: text.into() };
        let (zone, index) = text.rsplit_once('.').ok_or_else(error)?;
        let zone = Name::try_from(zone).map_err(|_| error())?;
        let index = index.parse().map_err(|_| error())?;
        Ok(Self { index, zone })
    }
}

impl From<Id> for String {
    fn from(id: Id) -> Self {
        id.to_string()
    }
}

impl Display for Id {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}.{}", self.zone, self.index)
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "`{}` is not a cell: write `ZONE.INDEX`, such as `kigali-1.0`", self.text)
    }
}

impl std::error::Error for Error {}
