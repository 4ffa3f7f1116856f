//! Guards against unused dependencies, which only cost build time, documents that refer to moved or renamed files and
//! tests, and test modules inside source files.

use gaugesaddle_repository_checks::{dependencies, documents, repository_root, sources};
use std::fmt::Display;
use std::fs;
use std::path::{Path, PathBuf};

fn lines<T: Display>(findings: Vec<T>) -> String {
    findings.iter().map(|finding| format!("{finding}\n")).collect()
}

#[test]
fn every_dependency_is_used() {
    let findings = dependencies::unused(&repository_root()).expect("manifests and sources are readable");
    assert_eq!(lines(findings), "");
}

#[test]
fn every_file_that_a_document_names_exists() {
    let findings = documents::broken_references(&repository_root()).expect("documents are readable");
    assert_eq!(lines(findings), "");
}

#[test]
fn every_test_that_a_document_names_exists() {
    let findings = documents::unknown_tests(&repository_root()).expect("documents are readable");
    assert_eq!(lines(findings), "");
}

#[test]
fn source_files_contain_no_test_modules() {
    let findings = sources::inline_test_modules(&repository_root()).expect("sources are readable");
    assert_eq!(findings, Vec::<PathBuf>::new());
}

/// Creates a repository of one package that contains each fault once.
fn faulty_repository() -> PathBuf {
    let root = Path::new(env!("CARGO_TARGET_TMPDIR")).join("faulty-repository");
    let _ = fs::remove_dir_all(&root);
    let write = |path: &str, text: &str| {
        let path = root.join(path);
        fs::create_dir_all(path.parent().expect("the path has a parent folder"))
            .expect("the folder is created");
        fs::write(path, text).expect("the file is written");
    };
    let manifest = "[package]\nname = \"one\"\n[dependencies]\nbytes = \"1\"\nspdlog-rs = \"0.5\"\n[dev-dependencies]\nproptest = \"1\"\n";
    write("crates/one/Cargo.toml", manifest);
    write("crates/one/src/lib.rs", "use spdlog::info;\nstruct Bytes;\n#[cfg(test)]\nmod tests {\n}\n");
    write("docs/page.md", "See `one/src/lib.rs` and\n[that](missing.md), `one/src/gone.rs: a_test`.\nHeld by `a_test_that_was_renamed_lately`.\n");
    root
}

#[test]
fn each_fault_is_reported_with_its_location() {
    let root = faulty_repository();
    let unused = lines(dependencies::unused(&root).expect("the files are readable"));
    assert_eq!(
        unused,
        "one: bytes is in [dependencies] and unused\none: proptest is in [dev-dependencies] and unused\n"
    );
    let broken = documents::broken_references(&root).expect("the files are readable");
    let broken: Vec<(usize, &str)> = broken.iter().map(|b| (b.line, b.target.as_str())).collect();
    assert_eq!(broken, [(2, "missing.md"), (2, "one/src/gone.rs")]);
    let unknown = documents::unknown_tests(&root).expect("the files are readable");
    let unknown: Vec<(usize, &str)> = unknown.iter().map(|b| (b.line, b.target.as_str())).collect();
    assert_eq!(unknown, [(3, "a_test_that_was_renamed_lately")]);
    let inline = sources::inline_test_modules(&root).expect("the files are readable");
    assert_eq!(inline, [root.join("crates/one/src/lib.rs")]);
}
