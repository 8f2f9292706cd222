//! Dependencies between the top-level modules of the daemon, which serve databases that
//! each have one instance as their owner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

/// The modules of the crate that each module names in its `use` lines.
fn dependencies() -> BTreeMap<String, BTreeSet<String>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let files = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let modules = files.filter(|path| path.extension().is_some_and(|name| name == "rs"));
    let read = |path: std::path::PathBuf| {
        let name = path.file_stem().unwrap().to_str().unwrap().to_owned();
        let text = std::fs::read_to_string(path).unwrap();
        let used = text.lines().filter_map(|line| line.strip_prefix("use crate::"));
        let used = used.map(|rest| rest.split([':', ';']).next().unwrap().to_owned());
        (name, used.collect())
    };
    modules.map(read).collect()
}

/// Guards against cyclic dependencies, which prevent a second front end or another kind of
/// server from using a part of these modules without all of them. A cycle arises when a
/// module takes the whole context although it needs only one table of it, while the context
/// contains types of that module.
#[test]
fn test_no_module_depends_on_itself_through_others() {
    let direct = dependencies();
    assert!(direct["write"].contains("owner"), "`use` lines were not read");
    for module in direct.keys() {
        let mut reached = BTreeSet::new();
        let mut pending = vec![module];
        while let Some(next) = pending.pop() {
            let dependencies_of_next = direct.get(next).into_iter().flatten();
            pending.extend(dependencies_of_next.filter(|used| reached.insert(*used)));
        }
        assert!(!reached.contains(module), "{module} uses itself through {reached:?}");
    }
}
