//! Reads and checks an operators' configuration.

use super::*;

/// The largest configuration, in bytes of compact JSON: the value limit of the key-value service,
/// less space for the revision and the submission that are stored with it.
pub const MAX_BYTES: usize = 990_000;

/// Decodes the configuration `text` of the file `name`. An error lists every fault of the file.
pub fn parse_configuration(name: &str, text: &str) -> Result<Config, Box<Error>> {
    let document = document::parse(name, text)?;
    let mut faults = schema::check(&document, &schemars::schema_for!(Config));
    let lists = Lists::new(&document);
    faults.extend(check_addresses(&lists));
    faults.extend(check_services(&lists));
    faults.extend(check_vms(&lists));
    faults.extend(check_teams(&lists));
    faults.extend(check_size(&document));
    document::decode(name, text, document, faults)
}

/// An element of one of the lists that matches the schema, with its place in the file.
struct Item<'a, T> {
    object: &'a Object<'a>,
    value: T,
}

/// The lists of a configuration. Elements that do not match the schema have no `Item`.
struct Lists<'a> {
    /// Every VM, including those that do not match the schema.
    vm_objects: Vec<&'a Object<'a>>,
    /// Names of services, including those that do not match the schema.
    service_names: BTreeSet<&'a str>,
    services: Vec<Item<'a, Service>>,
    teams: Vec<Item<'a, Team>>,
    vms: Vec<Item<'a, Vm>>,
}

impl<'a> Lists<'a> {
    fn new(document: &'a Value<'a>) -> Self {
        let services = objects(document, "services");
        Self {
            vm_objects: objects(document, "vms"),
            service_names: services.into_iter().filter_map(name).collect(),
            services: items(document, "services"),
            teams: items(document, "teams"),
            vms: items(document, "vms"),
        }
    }
}

/// Returns a fault for each address that an earlier VM has too.
fn check_addresses(lists: &Lists) -> Vec<Fault> {
    let mut faults = vec![];
    let mut seen = BTreeSet::new();
    for vm in &lists.vms {
        if !seen.insert(vm.value.address) {
            let message = format!("`{}` is the address of two VMs", vm.value.address);
            faults.push(Fault::new(
                &value_range(vm.object, "address"),
                message,
                "correct one of them",
            ));
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

/// Returns the source range of the value of `key`, or of the whole object if it has no such key.
fn value_range(object: &Object, key: &str) -> Range {
    object.get(key).map_or(object.range, |property| property.value.range())
}

fn check_services(lists: &Lists) -> Vec<Fault> {
    let mut faults = vec![];
    for Item { object, value } in &lists.services {
        let name = &value.name;
        if value.objective.latency_ms > value.deadline_ms {
            let message = format!("the objective of `{name}` is later than its deadline");
            let help = format!("lower `latency_ms` to {} or less", value.deadline_ms);
            faults.push(Fault::new(&value_range(object, "objective"), message, help));
        }
        if !lists.vms.is_empty() && lists.vms.iter().all(|vm| !vm.value.services.contains(name)) {
            let message = format!("no VM hosts `{name}`");
            let help = format!("add `{name}` to the `services` of some VM");
            faults.push(Fault::new(&value_range(object, "name"), message, help));
        }
        let fits = |vm: &Item<Vm>| value.reserve.fits(&vm.value.resources);
        if !lists.vms.is_empty() && !lists.vms.iter().any(fits) {
            let message = format!("`{name}` reserves more than any VM has: {}", value.reserve);
            let help = "lower `reserve`, or add a larger VM";
            faults.push(Fault::new(&value_range(object, "reserve"), message, help));
        }
    }
    faults
}

fn check_size(document: &Value) -> Option<Fault> {
    let json: Json = document.clone().into();
    let bytes = json.to_string().len();
    let message =
        format!("the configuration has {bytes} bytes, above the limit of {MAX_BYTES} bytes");
    let first_byte = Range::new(0, 1);
    (bytes > MAX_BYTES).then(|| {
        Fault::new(&first_byte, message, "split the fleet, or declare fewer VMs and services")
    })
}

fn check_teams(lists: &Lists) -> Vec<Fault> {
    let has_empty_quota = |team: &&Item<Team>| {
        team.value.quota.processors_milli == 0 || team.value.quota.memory_mib == 0
    };
    let fault = |team: &Item<Team>| {
        let message = format!("the quota of `{}` lets nothing run", team.value.name);
        let help = "give it processors and memory above 0";
        Fault::new(&value_range(team.object, "quota"), message, help)
    };
    lists.teams.iter().filter(has_empty_quota).map(fault).collect()
}

fn check_vms(lists: &Lists) -> Vec<Fault> {
    let vm_objects = lists.vm_objects.iter();
    let mut faults: Vec<Fault> =
        vm_objects.flat_map(|vm| check_hosted_services(&lists.service_names, vm)).collect();
    faults.extend(lists.vms.iter().filter_map(|vm| check_capacity(lists, vm.object, &vm.value)));
    faults
}

/// Returns a fault for each hosted service of a VM that is undeclared or listed twice.
fn check_hosted_services(declared: &BTreeSet<&str>, object: &Object) -> Vec<Fault> {
    let vm = name(object).unwrap_or("the VM");
    let mut faults = vec![];
    let mut seen = BTreeSet::new();
    let hosted = object.get_array("services").map_or(&[][..], |list| &list.elements);
    for literal in hosted.iter().filter_map(Value::as_string_lit) {
        let service = literal.value.as_ref();
        if !declared.contains(service) {
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

/// Returns a fault if the VM has no processors or memory, or less than its services reserve.
fn check_capacity(lists: &Lists, object: &Object, vm: &Vm) -> Option<Fault> {
    if vm.resources.processors_milli == 0 || vm.resources.memory_mib == 0 {
        let message = format!("`{}` has no processors or no memory", vm.name);
        let help = "give it both above 0, or drop it";
        return Some(Fault::new(&value_range(object, "resources"), message, help));
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
    Some(Fault::new(&value_range(object, "services"), message, help))
}
