//! Regenerates the committed code of the schema files.
//!
//! Run from the repository's root, with the `capnp` program installed:
//! `cargo run --manifest-path tools/codegen/Cargo.toml`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    capnpc::CompilerCommand::new()
        .src_prefix("crates/wire/schema")
        .file("crates/wire/schema/wire.capnp")
        .output_path("crates/wire/src")
        .run()?;
    volo_build::Builder::protobuf()
        .add_service("crates/admin/schema/admin.proto")
        .include_dirs(vec![".".into()])
        .out_dir("crates/admin/src")
        .filename("admin_gen.rs".into())
        .write()?;
    Ok(())
}
