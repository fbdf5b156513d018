//! The service that rates answers.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use volo_http::{
    body::{Body, BodyConversion},
    response::Response,
};

use crate::Entry;

#[derive(Serialize)]
struct RateBody<'a> {
    team: &'a str,
    model: &'a str,
    version: &'a str,
    prompt: &'a str,
    answer: &'a str,
}

#[derive(Deserialize)]
struct RatedBody {
    rating: f64,
}

/// An answer to rate.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rated {
    pub team: String,
    pub model: String,
    pub version: String,
    pub prompt: String,
    pub answer: String,
}

impl Entry {
    /// Asks for an answer's rating, 0 to 1; `None` if there is no rater or it
    /// does not answer in time.
    pub(crate) async fn rate(&self, rated: &Rated) -> Option<f64> {
        let address = self.node.settings.entry.rater_address?;
        let body = RateBody {
            team: &rated.team,
            model: &rated.model,
            version: &rated.version,
            prompt: &rated.prompt,
            answer: &rated.answer,
        };
        let body = serde_json::to_vec(&body).ok()?;
        let request = self
            .client
            .post(format!("http://{address}/v1/rate"))
            .body(Body::from(Bytes::from(body)));
        let call = async {
            let response: Response = request.send().await.ok()?;
            if !response.status().is_success() {
                return None;
            }
            let body = response.into_body().into_vec().await.ok()?;
            let answer: RatedBody = serde_json::from_slice(&body).ok()?;
            Some(answer.rating)
        };
        let limit = Duration::from_millis(self.node.settings.entry.rater_timeout_ms);
        tokio::time::timeout(limit, call).await.ok()?
    }
}
