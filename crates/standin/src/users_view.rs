//! The users' store as some of its callers see it.

use {
    super::*,
    base64::{Engine, prelude::BASE64_STANDARD},
    serde_json::{Value, json},
};

/// A view of the store: the workers' entries hold the addresses at which its callers reach them. Other
/// callers have other views, so that a link between two machines can fail and the others not.
#[derive(Clone, Debug, Default)]
pub struct UsersView {
    /// The addresses that replace those in the entries.
    addresses: Arc<BTreeMap<SocketAddr, SocketAddr>>,
}

impl UsersView {
    /// Returns a view in which each address that is a key is replaced by its value.
    pub fn new(addresses: BTreeMap<SocketAddr, SocketAddr>) -> Self {
        Self { addresses: Arc::new(addresses) }
    }

    /// Replaces the addresses in the items of an answer.
    pub(crate) fn apply(&self, answer: &mut Value) {
        if self.addresses.is_empty() {
            return;
        }
        self.apply_to_item(answer);
        for list in ["items", "events"] {
            let items = answer.get_mut(list).and_then(Value::as_array_mut);
            items.into_iter().flatten().for_each(|item| self.apply_to_item(item));
        }
    }

    fn apply_to_item(&self, item: &mut Value) {
        let is_worker = item["key"].as_str().is_some_and(|key| key.starts_with("servers/"));
        let value = item["value"].as_str().filter(|_| is_worker);
        let entry = value.and_then(|value| BASE64_STANDARD.decode(value).ok());
        let entry = entry.and_then(|bytes| serde_json::from_slice::<Value>(&bytes).ok());
        let Some(mut entry) = entry else { return };
        let address = entry["address"].as_str().and_then(|text| text.parse().ok());
        let Some(seen) = address.and_then(|address: SocketAddr| self.addresses.get(&address))
        else {
            return;
        };
        entry["address"] = json!(seen);
        item["value"] = json!(BASE64_STANDARD.encode(entry.to_string()));
    }
}
