//! Paths of the programs of this workspace.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The path of a program of this workspace that was built with the same profile as the running one: in the same
/// folder or, for a test, in its parent folder.
///
/// # Panics
/// The program has not been built. `cargo test` builds it for the tests of its own package; `cargo run` does not.
pub fn path(name: &str) -> PathBuf {
    let found = expected_path(name);
    assert!(found.is_file(), "{}: not built; run `cargo build` with the same profile first", found.display());
    found
}

fn expected_path(name: &str) -> PathBuf {
    let current = std::env::current_exe().expect("the path of the running program");
    let mut folder = current.parent().unwrap_or(Path::new("."));
    if folder.file_name().is_some_and(|n| n == "deps" || n == "examples") {
        folder = folder.parent().unwrap_or(folder);
    }
    folder.join(format!("{name}{}", std::env::consts::EXE_SUFFIX))
}

/// The path of a program, built by cargo first if the running program was itself started by `cargo run`. Cargo selects
/// other library features for one package alone than for two together, so building both in advance avoids a second
/// build.
///
/// # Errors
/// Cargo cannot be run, or the build fails.
pub fn build(name: &str) -> std::io::Result<PathBuf> {
    static BUILT: std::sync::Once = std::sync::Once::new();
    if std::env::var_os("CARGO").is_some() {
        let both = "cargo build --release -p gaugesaddle -p gaugesaddle-testbed";
        BUILT.call_once(|| eprintln!("building {name}; to build only once, run first: {both}"));
    }
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--locked", "--package", name]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        if let Some(root) = std::env::var_os("CARGO_MANIFEST_DIR") {
            build.current_dir(root);
        }
        if !build.status()?.success() {
            return Err(std::io::Error::other(format!("cargo could not build {name}")));
        }
    }
    Ok(path(name))
}

/// The long options, value names and subcommands in a help text, sorted and separated by spaces.
pub fn interface(help: &str) -> String {
    let is_part = |c: char| c.is_ascii_alphanumeric() || "-<>_=".contains(c);
    let words = help.split(|c| !is_part(c)).filter(|word| {
        word.starts_with("--") && word.len() > 2 || word.starts_with('<') && word.ends_with('>')
    });
    let commands = help.lines().skip_while(|line| *line != "Commands:").skip(1);
    let commands = commands.take_while(|line| !line.is_empty()).filter_map(|l| l.split_whitespace().next());
    words.chain(commands).collect::<BTreeSet<_>>().into_iter().collect::<Vec<_>>().join(" ")
}
