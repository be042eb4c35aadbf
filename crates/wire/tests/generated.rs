//! The committed generated code matches its source.

use std::path::Path;

/// Set to any value to write the generated code instead of comparing it.
const UPDATE: &str = "IBISSPOOL_UPDATE_GENERATED";

fn generate(out: &Path) -> String {
    let proto = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
    let files = protox::compile(["ibisspool.proto"], [&proto]).expect("the source compiles");
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir(out)
        .compile_fds(files)
        .expect("the code is generated");
    std::fs::read_to_string(out.join("ibisspool.v1.rs")).expect("the code was written")
}

#[test]
fn committed_code_matches_its_source() {
    let out = std::env::temp_dir().join(format!("ibisspool-generated-{}", std::process::id()));
    std::fs::create_dir_all(&out).expect("the folder can be made");
    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated.rs");

    let fresh = generate(&out);

    std::fs::remove_dir_all(&out).expect("the folder can be removed");
    if std::env::var_os(UPDATE).is_some() {
        std::fs::write(&committed, &fresh).expect("the code can be written");
    }
    let known = std::fs::read_to_string(&committed).expect("the code is committed");
    assert!(
        known == fresh,
        "src/generated.rs differs from proto/ibisspool.proto; run this test with {UPDATE}=1"
    );
}
