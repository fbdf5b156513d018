//! HTTP client of the log's streams and the instance list.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use serde::{Deserialize, de::DeserializeOwned};
use volo_http::{
    body::{Body, BodyConversion},
    client::{Client, ClientBuilder},
    response::Response,
};

use crate::{InstanceList, StoreError};

/// Maximum number of idle connections kept open to each platform service.
const IDLE_CONNECTIONS_MAX: usize = 8;

/// A record and its offset.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Record {
    /// Offset in its stream.
    pub offset: u64,
    /// Body of the record, as appended.
    pub body: String,
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Page {
    /// Offset of the first record that the stream still holds.
    pub first: u64,
    /// End of the stream: the offset that the next appended record will get.
    #[serde(rename = "next")]
    pub end: u64,
    /// The records, in offset order.
    pub records: Vec<Record>,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Deserialize)]
struct TrimmedResponse {
    first: u64,
}

/// Client of the platform's log and instance list; cheap to clone.
#[derive(Clone)]
pub struct Store {
    client: Client,
    log_addr: SocketAddr,
    live_addr: SocketAddr,
    timeout_ms: u64,
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Store")
            .field("log", &self.log_addr)
            .finish_non_exhaustive()
    }
}

impl Store {
    /// Creates a client of the log at `log_addr` and the instance list at
    /// `live_addr`.
    pub fn new(log_addr: SocketAddr, live_addr: SocketAddr, timeout_ms: u64) -> Self {
        let mut builder = ClientBuilder::new();
        builder.set_max_idle_per_host(IDLE_CONNECTIONS_MAX);
        let client = builder.build().expect("a client without TLS always builds");
        Store {
            client,
            log_addr,
            live_addr,
            timeout_ms,
        }
    }

    /// Appends one record and returns its offset.
    ///
    /// After an error for which [`StoreError::outcome_unknown`] is true, the record
    /// may have been appended.
    pub async fn append(&self, stream: &str, body: &str) -> Result<u64, StoreError> {
        let uri = format!("http://{}/v1/streams/{stream}/records", self.log_addr);
        let request = self
            .client
            .post(uri)
            .body(Body::from(Bytes::from(body.to_owned())));
        let response = self.with_timeout(0, request.send()).await?;
        let appended: AppendResponse = self.decode_response(response).await?;
        Ok(appended.offset)
    }

    /// Reads up to `max` records starting at offset `from`.
    ///
    /// If there are none yet, waits up to `wait_ms` for the first one.  Fails with
    /// [`StoreError::Trimmed`] if the stream no longer holds `from`.  The timeout is
    /// the client's plus `wait_ms`.
    pub async fn read(
        &self,
        stream: &str,
        from: u64,
        max: usize,
        wait_ms: u64,
    ) -> Result<Page, StoreError> {
        let uri = format!(
            "http://{}/v1/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}",
            self.log_addr
        );
        let response = self
            .with_timeout(wait_ms, self.client.get(uri).send())
            .await?;
        self.decode_response(response).await
    }

    /// Reads the platform's list of live and leaving instances, which may lag
    /// behind their actual state.
    pub async fn instances(&self) -> Result<InstanceList, StoreError> {
        let uri = format!("http://{}/v1/instances", self.live_addr);
        let response = self.with_timeout(0, self.client.get(uri).send()).await?;
        self.decode_response(response).await
    }

    /// Awaits a response for `timeout_ms` plus `extra_ms`.
    async fn with_timeout<F>(
        &self,
        extra_ms: u64,
        call: F,
    ) -> Result<Response, StoreError>
    where
        F: Future<Output = Result<Response, volo_http::error::ClientError>>,
    {
        let limit = Duration::from_millis(self.timeout_ms + extra_ms);
        match tokio::time::timeout(limit, call).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(err)) => Err(StoreError::Connection(err.to_string())),
            Err(_) => Err(StoreError::Timeout(self.timeout_ms + extra_ms)),
        }
    }

    async fn decode_response<T>(&self, response: Response) -> Result<T, StoreError>
    where
        T: DeserializeOwned,
    {
        let status = response.status();
        let limit = Duration::from_millis(self.timeout_ms);
        let body = tokio::time::timeout(limit, response.into_body().into_vec())
            .await
            .map_err(|_| StoreError::Timeout(self.timeout_ms))?
            .map_err(|err| StoreError::Connection(err.to_string()))?;
        match status {
            StatusCode::OK => serde_json::from_slice(&body)
                .map_err(|err| StoreError::Unexpected(err.to_string())),
            StatusCode::GONE => {
                let trimmed: TrimmedResponse = serde_json::from_slice(&body)
                    .map_err(|err| StoreError::Unexpected(err.to_string()))?;
                Err(StoreError::Trimmed {
                    first: trimmed.first,
                })
            }
            StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable),
            other => Err(StoreError::Unexpected(other.to_string())),
        }
    }
}
