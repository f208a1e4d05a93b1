//! Reading and checking an operators' configuration.

use super::*;

/// The largest configuration, in bytes of compact JSON: the value limit of the key-value service,
/// less room for the revision and the submission.
pub const MAX_BYTES: usize = 990_000;

/// Reads the configuration `text` of the file `name`. An error tells everything that is wrong.
pub fn configuration(name: &str, text: &str) -> Result<Config, Box<Error>> {
    let document = document::parse(name, text)?;
    let mut faults = shape::check(&document, &schemars::schema_for!(Config));
    let lists = Lists::new(&document);
    faults.extend(addresses(&lists));
    faults.extend(services(&lists));
    faults.extend(vms(&lists));
    faults.extend(teams(&lists));
    faults.extend(size(&document));
    document::decode(name, text, document, faults)
}

/// An element of one of the lists that has the right shape.
struct Item<'a, T> {
    object: &'a Object<'a>,
    value: T,
}

/// The lists of a configuration, as far as their elements have the right shape.
struct Lists<'a> {
    /// Every VM, also of the wrong shape.
    hosts: Vec<&'a Object<'a>>,
    /// Names of services, also of those of the wrong shape.
    names: BTreeSet<&'a str>,
    services: Vec<Item<'a, Service>>,
    teams: Vec<Item<'a, Team>>,
    vms: Vec<Item<'a, Vm>>,
}

impl<'a> Lists<'a> {
    fn new(document: &'a Value<'a>) -> Self {
        let services = objects(document, "services");
        Self {
            hosts: objects(document, "vms"),
            names: services.into_iter().filter_map(name).collect(),
            services: items(document, "services"),
            teams: items(document, "teams"),
            vms: items(document, "vms"),
        }
    }
}

fn addresses(lists: &Lists) -> Vec<Fault> {
    let mut faults = vec![];
    let mut seen = BTreeSet::new();
    for vm in &lists.vms {
        if !seen.insert(vm.value.address) {
            let message = format!("`{}` is the address of two VMs", vm.value.address);
            faults.push(Fault::new(&place(vm.object, "address"), message, "correct one of them"));
        }
    }
    faults
}

fn items<'a, T: DeserializeOwned>(document: &'a Value<'a>, key: &str) -> Vec<Item<'a, T>> {
    let decode = |object: &'a Object<'a>| {
        let json = Value::Object(object.clone()).into();
        serde_json::from_value(json).ok().map(|value| Item { object, value })
    };
    objects(document, key).into_iter().filter_map(decode).collect()
}

fn name<'a>(object: &'a Object<'a>) -> Option<&'a str> {
    object.get_string("name").map(|name| name.value.as_ref())
}

fn objects<'a>(document: &'a Value<'a>, key: &str) -> Vec<&'a Object<'a>> {
    let list = document.as_object().and_then(|object| object.get_array(key));
    list.map_or(vec![], |list| list.elements.iter().filter_map(Value::as_object).collect())
}

/// Returns the place of the value of `key`, or of the whole object.
fn place(object: &Object, key: &str) -> Range {
    object.get(key).map_or(object.range, |property| property.value.range())
}

fn services(lists: &Lists) -> Vec<Fault> {
    let mut faults = vec![];
    for Item { object, value } in &lists.services {
        let name = &value.name;
        if value.objective.latency_ms > value.deadline_ms {
            let message = format!("the objective of `{name}` is later than its deadline");
            let help = format!("lower `latency_ms` to {} or less", value.deadline_ms);
            faults.push(Fault::new(&place(object, "objective"), message, help));
        }
        if !lists.vms.is_empty() && lists.vms.iter().all(|vm| !vm.value.services.contains(name)) {
            let message = format!("no VM hosts `{name}`");
            let help = format!("add `{name}` to the `services` of some VM");
            faults.push(Fault::new(&place(object, "name"), message, help));
        }
        let fits = |vm: &Item<Vm>| value.reserve.fits(&vm.value.resources);
        if !lists.vms.is_empty() && !lists.vms.iter().any(fits) {
            let message = format!("`{name}` reserves more than any VM has: {}", value.reserve);
            let help = "lower `reserve`, or add a larger VM";
            faults.push(Fault::new(&place(object, "reserve"), message, help));
        }
    }
    faults
}

fn size(document: &Value) -> Option<Fault> {
    let json: Json = document.clone().into();
    let bytes = json.to_string().len();
    let message =
        format!("the configuration has {bytes} bytes, above the limit of {MAX_BYTES} bytes");
    let place = Range::new(0, 1);
    (bytes > MAX_BYTES)
        .then(|| Fault::new(&place, message, "split the fleet, or declare fewer VMs and services"))
}

fn teams(lists: &Lists) -> Vec<Fault> {
    let useless = |team: &&Item<Team>| {
        team.value.quota.processors_milli == 0 || team.value.quota.memory_mib == 0
    };
    let fault = |team: &Item<Team>| {
        let message = format!("the quota of `{}` lets nothing run", team.value.name);
        let help = "give it processors and memory above 0";
        Fault::new(&place(team.object, "quota"), message, help)
    };
    lists.teams.iter().filter(useless).map(fault).collect()
}

fn vms(lists: &Lists) -> Vec<Fault> {
    let hosts = lists.hosts.iter();
    let mut faults: Vec<Fault> = hosts.flat_map(|vm| references(&lists.names, vm)).collect();
    faults.extend(lists.vms.iter().filter_map(|vm| room(lists, vm.object, &vm.value)));
    faults
}

/// Returns the faults of the services that a VM names.
fn references(known: &BTreeSet<&str>, object: &Object) -> Vec<Fault> {
    let vm = name(object).unwrap_or("the VM");
    let mut faults = vec![];
    let mut seen = BTreeSet::new();
    let hosted = object.get_array("services").map_or(&[][..], |list| &list.elements);
    for literal in hosted.iter().filter_map(Value::as_string_lit) {
        let service = literal.value.as_ref();
        if !known.contains(service) {
            let message = format!("`{service}` is not a declared service");
            let help = format!("declare it under `services`, or drop it from `{vm}`");
            faults.push(Fault::new(literal, message, help));
        }
        if !seen.insert(service) {
            let message = format!("`{vm}` hosts `{service}` twice");
            faults.push(Fault::new(literal, message, "drop one"));
        }
    }
    faults
}

/// Returns a fault if the VM has nothing, or less than its services reserve.
fn room(lists: &Lists, object: &Object, vm: &Vm) -> Option<Fault> {
    if vm.resources.processors_milli == 0 || vm.resources.memory_mib == 0 {
        let message = format!("`{}` has no processors or no memory", vm.name);
        let help = "give it both above 0, or drop it";
        return Some(Fault::new(&place(object, "resources"), message, help));
    }
    let hosted = lists.services.iter().filter(|service| vm.services.contains(&service.value.name));
    let reserved = hosted.fold(Resources::default(), |sum, service| sum + service.value.reserve);
    if reserved.fits(&vm.resources) {
        return None;
    }
    let message = format!(
        "`{}` is too small for its services: they reserve {reserved}, it has {}",
        vm.name, vm.resources
    );
    let help = "host fewer services there, or lower their `reserve`";
    Some(Fault::new(&place(object, "services"), message, help))
}
