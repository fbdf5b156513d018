//! Client of the rating service.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use volo_http::{
    body::{Body, BodyConversion},
    response::Response,
};

use crate::Entry;

#[derive(Serialize)]
struct RatingRequestBody<'a> {
    team: &'a str,
    model: &'a str,
    version: &'a str,
    prompt: &'a str,
    answer: &'a str,
}

#[derive(Deserialize)]
struct RatingResponseBody {
    rating: f64,
}

/// A response to be rated, with its prompt.
#[derive(Clone, Debug, Default)]
pub(crate) struct RatingInput {
    pub team: String,
    pub model: String,
    pub version: String,
    pub prompt: String,
    pub answer: String,
}

impl Entry {
    /// Requests the rating of a response, from 0 to 1. Returns `None` if no
    /// rating service is configured, or if it fails or times out.
    pub(crate) async fn request_rating(&self, input: &RatingInput) -> Option<f64> {
        let address = self.node.settings.entry.rater_address?;
        let body = RatingRequestBody {
            team: &input.team,
            model: &input.model,
            version: &input.version,
            prompt: &input.prompt,
            answer: &input.answer,
        };
        let body = serde_json::to_vec(&body).ok()?;
        let request = self
            .rater_client
            .post(format!("http://{address}/v1/rate"))
            .body(Body::from(Bytes::from(body)));
        let call = async {
            let response: Response = request.send().await.ok()?;
            if !response.status().is_success() {
                return None;
            }
            let body = response.into_body().into_vec().await.ok()?;
            let rating: RatingResponseBody = serde_json::from_slice(&body).ok()?;
            Some(rating.rating)
        };
        let timeout = Duration::from_millis(self.node.settings.entry.rater_timeout_ms);
        tokio::time::timeout(timeout, call).await.ok()?
    }
}
