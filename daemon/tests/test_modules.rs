//! How the modules of the owner path depend on each other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

/// Modules that each module names in its `use` lines.
fn dependencies() -> BTreeMap<String, BTreeSet<String>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let files = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let modules = files.filter(|path| path.extension().is_some_and(|name| name == "rs"));
    let read = |path: std::path::PathBuf| {
        let name = path.file_stem().unwrap().to_str().unwrap().to_owned();
        let text = std::fs::read_to_string(path).unwrap();
        let used = text.lines().filter_map(|line| line.strip_prefix("use crate::"));
        let used = used.map(|idle| idle.split([':', ';']).next().unwrap().to_owned());
        (name, used.collect())
    };
    modules.map(read).collect()
}

/// Symptom: a second front or another kind of server cannot use a part of the
/// owner path without all of it. Sequence: a file takes the whole context where
/// it needs one table of it, and the context holds the types of that file.
/// Cause: files that name each other in a circle.
#[test]
fn test_no_module_depends_on_itself_through_others() {
    let direct = dependencies();
    assert!(direct["write"].contains("owner"), "the `use` lines are read");
    for module in direct.keys() {
        let mut reached = BTreeSet::new();
        let mut open = vec![module];
        while let Some(next) = open.pop() {
            let fresh = direct.get(next).into_iter().flatten();
            open.extend(fresh.filter(|used| reached.insert(*used)));
        }
        assert!(!reached.contains(module), "{module} uses itself through {reached:?}");
    }
}
