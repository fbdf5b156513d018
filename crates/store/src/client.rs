//! Appends to and reads from the log's streams.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use serde::{Deserialize, de::DeserializeOwned};
use volo_http::{
    body::{Body, BodyConversion},
    client::{Client, ClientBuilder},
    response::Response,
};

use crate::{LiveList, StoreError};

/// Connections that wait unused, to each of the platform's services.
const IDLE_CONNECTIONS: usize = 8;

/// A record and its offset.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Record {
    /// Offset in its stream.
    pub offset: u64,
    /// What was appended.
    pub body: String,
}

/// Records of a stream from an offset on.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Page {
    /// First offset that the stream still holds.
    pub first: u64,
    /// Offset that the next append gets.
    pub next: u64,
    /// The records, in offset order.
    pub records: Vec<Record>,
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

#[derive(Deserialize)]
struct TrimmedBody {
    first: u64,
}

/// A handle on the platform's services; cheap to clone.
#[derive(Clone)]
pub struct Store {
    client: Client,
    log: SocketAddr,
    live: SocketAddr,
    timeout_ms: u64,
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Store")
            .field("log", &self.log)
            .finish_non_exhaustive()
    }
}

impl Store {
    /// A client of the log at `log` and the live list at `live`.
    pub fn new(log: SocketAddr, live: SocketAddr, timeout_ms: u64) -> Self {
        let mut builder = ClientBuilder::new();
        builder.set_max_idle_per_host(IDLE_CONNECTIONS);
        let client = builder.build().expect("a client without TLS always builds");
        Store {
            client,
            log,
            live,
            timeout_ms,
        }
    }

    /// Appends one record; returns its offset.
    pub async fn append(&self, stream: &str, body: &str) -> Result<u64, StoreError> {
        let uri = format!("http://{}/v1/streams/{stream}/records", self.log);
        let request = self
            .client
            .post(uri)
            .body(Body::from(Bytes::from(body.to_owned())));
        let response = self.within(0, request.send()).await?;
        let appended: Appended = self.parse(response).await?;
        Ok(appended.offset)
    }

    /// Reads up to `max` records from `from` on, and waits up to `wait_ms`
    /// for the first.
    pub async fn read(
        &self,
        stream: &str,
        from: u64,
        max: usize,
        wait_ms: u64,
    ) -> Result<Page, StoreError> {
        let uri = format!(
            "http://{}/v1/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}",
            self.log
        );
        let response = self.within(wait_ms, self.client.get(uri).send()).await?;
        self.parse(response).await
    }

    /// The platform's list of live and leaving instances, which lags.
    pub async fn instances(&self) -> Result<LiveList, StoreError> {
        let uri = format!("http://{}/v1/instances", self.live);
        let response = self.within(0, self.client.get(uri).send()).await?;
        self.parse(response).await
    }

    async fn within<F>(&self, extra_ms: u64, call: F) -> Result<Response, StoreError>
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

    async fn parse<T>(&self, response: Response) -> Result<T, StoreError>
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
                let trimmed: TrimmedBody = serde_json::from_slice(&body)
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
