//! Requests whose endpoint closed the connection before the end of its answer.

use log::info;

use crate::{attempt::InFlight, caller_request::CallerRequest, dispatch::id_str};

/// Maximum number of prompt parts in a log line.
const LOGGED_PARTS_MAX: usize = 16;

impl InFlight {
    /// Records that the endpoint closed the connection before the end of its answer to
    /// `req`, which may mean that it crashed. The line says what the request held, so
    /// that requests that were cut off together can be compared.
    pub fn record_cut(&self, req: &CallerRequest, reason: &str) {
        let endpoint = &self.pick.endpoint;
        let sent_ms = self.since_start_ms();
        self.gateway().stats.count("request_cut", &endpoint.service);
        info!(
            "event=request_cut request={} service={} endpoint={} born_ms={} version={} reason={reason} parts={} sent_ms={sent_ms}",
            id_str(&req.id),
            endpoint.service,
            endpoint.id,
            endpoint.born_ms,
            endpoint.version,
            parts_text(req),
        );
        self.gateway().report_cut(self);
    }
}

/// Formats the ids of the parts of a prompt that other requests may share.
fn parts_text(req: &CallerRequest) -> String {
    let shared = req.prompt.shared_parts().iter().take(LOGGED_PARTS_MAX);
    let ids: Vec<String> = shared.map(|part| format!("{:x}", part.id)).collect();
    ids.join(",")
}
