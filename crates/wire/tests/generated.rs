//! Compares src/generated.rs with the code generated from proto/ibisspool.proto.

use std::path::Path;

/// Environment variable that, set to any value, makes the test write src/generated.rs first.
const UPDATE_VARIABLE: &str = "IBISSPOOL_UPDATE_GENERATED";

fn generate_code(out_dir: &Path) -> String {
    let proto = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
    let files = protox::compile(["ibisspool.proto"], [&proto]).expect("the proto file compiles");
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir(out_dir)
        .compile_fds(files)
        .expect("the code is generated");
    std::fs::read_to_string(out_dir.join("ibisspool.v1.rs")).expect("the code was written")
}

#[test]
fn committed_code_equals_code_generated_from_proto() {
    let out_dir = std::env::temp_dir().join(format!("ibisspool-generated-{}", std::process::id()));
    std::fs::create_dir_all(&out_dir).expect("the temporary directory can be created");
    let committed_path = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated.rs");

    let generated = generate_code(&out_dir);

    std::fs::remove_dir_all(&out_dir).expect("the temporary directory can be removed");
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        std::fs::write(&committed_path, &generated).expect("the code can be written");
    }
    let committed = std::fs::read_to_string(&committed_path).expect("the code is committed");
    assert!(
        committed == generated,
        "src/generated.rs differs from proto/ibisspool.proto; run this test with {UPDATE_VARIABLE}=1"
    );
}
