//! The operators' gRPC interface: schema, conversions and client.
//!
//! The schema is `schema/admin.proto`.  `tools/codegen` generates `admin_gen.rs`
//! from it, and the generated file is committed.

#[rustfmt::skip]
#[allow(missing_docs, warnings)]
mod admin_gen;
mod client;
mod convert;

pub use admin_gen::admin_gen::currantbank::admin::{
    Admin, AdminServer, ApplyReply, ApplyRequest, AuditEntry, AuditReply, AuditRequest,
    Cascade, Delete, Instance, ListReply, ListRequest, Listed, Model, Outcome,
    Placement, Reinstate, Rollout, RolloutControl, Service, StatusReply, StatusRequest,
    Step, Team, Version, Withdraw, apply_request,
};
pub use client::{AdminError, OperatorClient};
pub use convert::{ConvertError, change_from_proto, change_to_proto};
