//! Regenerates the committed code from the schema files.
//!
//! Run it from the root of the repository.  It needs the `capnp` compiler:
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
