//! `chervilwharf`: the tool of operators and support engineers.

fn main() {}
