use super::*;

#[test]
fn a_key_file_must_be_accessible_to_its_owner_only() {
    let path = std::env::temp_dir().join(format!("gaugesaddle-peers-{}.key", std::process::id()));
    let read = |bytes: usize, mode: u32| {
        std::fs::write(&path, vec![7; bytes]).unwrap();
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
        read_key(&path).map_err(|e| e.to_string())
    };
    assert_eq!(read(32, 0o600).unwrap().len(), 32);
    assert!(read(32, 0o640).unwrap_err().contains("with mode 0640"));
    assert!(read(31, 0o600).unwrap_err().starts_with("peers.key: expected 32 to 4096 bytes, got 31"));
    assert!(read(5000, 0o400).unwrap_err().contains("got 4097"));
    std::fs::remove_file(&path).unwrap();
    assert!(read_key(&path).unwrap_err().to_string().starts_with("peers.key: expected a readable file"));
}
