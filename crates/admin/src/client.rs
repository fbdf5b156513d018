//! The client that `currantbank ctl` uses.

use std::{net::SocketAddr, time::Duration};

use displaydoc::Display;
use volo_grpc::{Code, Request, Status};

use crate::{
    ApplyReply, ApplyRequest, AuditReply, AuditRequest, ListReply, ListRequest,
    StatusReply, StatusRequest,
    admin_gen::admin_gen::currantbank::admin::{AdminClient, AdminClientBuilder},
};

/// Why a call failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum AdminError {
    /// the operator's token is missing or unknown; set CURRANTBANK_TOKEN
    Unauthorized,
    /// the entry does not answer ({0}); check the address, or name another entry
    Unavailable(String),
    /// the entry refused the call: {0}
    Refused(String),
}

impl std::error::Error for AdminError {}

impl From<Status> for AdminError {
    fn from(status: Status) -> Self {
        match status.code() {
            Code::Unauthenticated => AdminError::Unauthorized,
            Code::Unavailable
            | Code::DeadlineExceeded
            | Code::Unknown
            | Code::Internal => AdminError::Unavailable(status.message().to_owned()),
            _ => AdminError::Refused(status.message().to_owned()),
        }
    }
}

/// Calls of one operator to one entry.
pub struct OperatorClient {
    client: AdminClient,
    token: String,
}

impl OperatorClient {
    /// Calls to the entry at `address` with an operator's token.
    pub fn new(address: SocketAddr, token: &str, timeout_ms: u64) -> Self {
        let client = AdminClientBuilder::new("currantbank.admin.Admin")
            .address(address)
            .connect_timeout(Duration::from_millis(timeout_ms))
            .rpc_timeout(Some(Duration::from_millis(timeout_ms)))
            .build();
        OperatorClient {
            client,
            token: token.to_owned(),
        }
    }

    fn request<T>(&self, message: T) -> Result<Request<T>, AdminError> {
        let mut request = Request::new(message);
        let value = format!("Bearer {}", self.token);
        let value = value.parse().map_err(|_| AdminError::Unauthorized)?;
        request.metadata_mut().insert("authorization", value);
        Ok(request)
    }

    /// Publishes one change.
    pub async fn apply(&self, message: ApplyRequest) -> Result<ApplyReply, AdminError> {
        let request = self.request(message)?;
        Ok(self.client.apply(request).await?.into_inner())
    }

    /// Lists the objects of a kind.
    pub async fn list(&self, kind: &str) -> Result<ListReply, AdminError> {
        let request = self.request(ListRequest {
            kind: kind.to_owned().into(),
        })?;
        Ok(self.client.list(request).await?.into_inner())
    }

    /// Tells which instances have which configuration in force.
    pub async fn status(&self) -> Result<StatusReply, AdminError> {
        let request = self.request(StatusRequest {})?;
        Ok(self.client.status(request).await?.into_inner())
    }

    /// Lists the audit trail.
    pub async fn audit(&self, message: AuditRequest) -> Result<AuditReply, AdminError> {
        let request = self.request(message)?;
        Ok(self.client.audit(request).await?.into_inner())
    }
}
