//! The gRPC client used by `currantbank ctl`.

use std::{net::SocketAddr, time::Duration};

use displaydoc::Display;
use volo_grpc::{Code, Request, Status};

use crate::{
    ApplyReply, ApplyRequest, AuditReply, AuditRequest, ListReply, ListRequest,
    StatusReply, StatusRequest,
    admin_gen::admin_gen::currantbank::admin::{AdminClient, AdminClientBuilder},
};

/// Error of a call to an entry.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum AdminError {
    /// the operator's token is missing or unknown; set CURRANTBANK_TOKEN
    Unauthorized,
    /// the entry did not reply ({0}); check the address or use another entry
    Unavailable(String),
    /// the entry rejected the call: {0}
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

/// Client of one operator for one entry.
pub struct OperatorClient {
    client: AdminClient,
    token: String,
}

impl OperatorClient {
    /// Creates a client for the entry at `address` that authenticates with `token`.
    ///
    /// `timeout_ms` bounds connecting and each call.
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

    /// Publishes a change.  Returns after the entry has read it back from the log.
    ///
    /// After `AdminError::Unavailable` the change may or may not have been
    /// applied; repeat it with the same change id.
    pub async fn apply(&self, message: ApplyRequest) -> Result<ApplyReply, AdminError> {
        let request = self.request(message)?;
        Ok(self.client.apply(request).await?.into_inner())
    }

    /// Lists the objects of a kind with their revisions.
    pub async fn list(&self, kind: &str) -> Result<ListReply, AdminError> {
        let request = self.request(ListRequest {
            kind: kind.to_owned().into(),
        })?;
        Ok(self.client.list(request).await?.into_inner())
    }

    /// Returns the state of the log and of all instances known to the entry.
    pub async fn status(&self) -> Result<StatusReply, AdminError> {
        let request = self.request(StatusRequest {})?;
        Ok(self.client.status(request).await?.into_inner())
    }

    /// Lists entries of the audit trail, newest last.
    pub async fn audit(&self, message: AuditRequest) -> Result<AuditReply, AdminError> {
        let request = self.request(message)?;
        Ok(self.client.audit(request).await?.into_inner())
    }
}
