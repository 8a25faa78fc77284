//! A caller of an entry.

use std::io::{BufRead, BufReader};
use std::time::Duration;

/// A complete response.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) retry_after: Option<u64>,
    pub(crate) body: String,
}

impl Response {
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_else(|e| panic!("{:?} is not JSON: {e}", self.body))
    }
}

/// The result of a stream.
#[derive(Debug, Default)]
pub(crate) struct StreamResult {
    /// Concatenated texts of the token events.
    pub(crate) text: String,
    /// Number of token events.
    pub(crate) tokens: u32,
    /// Whether the end event was received.
    pub(crate) ended: bool,
    /// Payload of the error event, if one was received.
    pub(crate) error: Option<serde_json::Value>,
}

/// A caller of one entry.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    base: String,
    agent: ureq::Agent,
}

/// The connection broke before the complete response was received.
#[derive(Debug)]
pub(crate) struct NoResponse;

impl Caller {
    pub(crate) fn new(addr: &str) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(0)
            .timeout_global(Some(Duration::from_secs(60)))
            .build();
        Self {
            base: format!("http://{addr}"),
            agent: ureq::Agent::new_with_config(config),
        }
    }

    /// Sends a call with exactly the given headers.
    pub(crate) fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response, NoResponse> {
        let mut builder = ureq::http::Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(body.to_owned()).expect("the request is valid");
        let mut response = self.agent.run(request).ok().ok_or(NoResponse)?;
        let header = |name: &str| {
            response
                .headers()
                .get(name)
                .and_then(|v| v.to_str().ok())
                .map(str::to_owned)
        };
        Ok(Response {
            status: response.status().as_u16(),
            outcome: header("sycamorestile-outcome").unwrap_or_default(),
            retry_after: header("retry-after").and_then(|v| v.parse().ok()),
            body: response.body_mut().read_to_string().ok().ok_or(NoResponse)?,
        })
    }

    /// Books `cents` on an account, with an optional idempotency key.
    pub(crate) fn book(&self, account: &str, cents: i64, key: Option<&str>) -> Result<Response, NoResponse> {
        let mut headers = vec![("sycamorestile-organisation", "acme")];
        headers.extend(key.map(|key| ("idempotency-key", key)));
        let body = format!("{{\"account\":\"{account}\",\"cents\":{cents}}}");
        self.call("POST", "/ledger/bookings", &headers, &body)
    }

    /// Returns the number of bookings of an account.
    pub(crate) fn bookings(&self, account: &str) -> u64 {
        let headers = [("sycamorestile-organisation", "acme")];
        let response = self
            .call("GET", &format!("/ledger/accounts/{account}"), &headers, "")
            .expect("the entry responds");
        response.json()["bookings"]
            .as_u64()
            .unwrap_or_else(|| panic!("no number of bookings in {response:?}"))
    }

    /// Streams a response and calls `on_token` after each token with the number of tokens received so far.
    pub(crate) fn stream<F>(&self, prompt: &str, max_tokens: u32, mut on_token: F) -> Result<StreamResult, Response>
    where
        F: FnMut(u32),
    {
        let body = serde_json::json!({ "prompt": prompt, "max_tokens": max_tokens, "stream": true }).to_string();
        let request = ureq::http::Request::post(format!("{}/assistant/v1/completions", self.base))
            .header("sycamorestile-organisation", "acme")
            .body(body)
            .expect("the request is valid");
        let mut response = self.agent.run(request).expect("the entry responds");
        if response.status().as_u16() != 200 {
            let outcome = response
                .headers()
                .get("sycamorestile-outcome")
                .and_then(|v| v.to_str().ok());
            return Err(Response {
                status: response.status().as_u16(),
                outcome: outcome.unwrap_or_default().to_owned(),
                retry_after: None,
                body: response.body_mut().read_to_string().unwrap_or_default(),
            });
        }
        let mut streamed = StreamResult::default();
        let mut event = String::new();
        for line in BufReader::new(response.body_mut().as_reader()).lines() {
            let Ok(line) = line else { break };
            if let Some(name) = line.strip_prefix("event: ") {
                name.clone_into(&mut event);
            } else if let Some(data) = line.strip_prefix("data: ") {
                let before = streamed.tokens;
                streamed.record_event(&event, data);
                if streamed.tokens > before {
                    on_token(streamed.tokens);
                }
            } else if line.is_empty() {
                event.clear();
            }
        }
        Ok(streamed)
    }
}

impl StreamResult {
    fn record_event(&mut self, event: &str, data: &str) {
        let value: serde_json::Value = serde_json::from_str(data).expect("the payload of an event is JSON");
        match event {
            "end" => self.ended = true,
            "error" => self.error = Some(value),
            _ => {
                assert_eq!(
                    value["index"].as_u64(),
                    Some(u64::from(self.tokens)),
                    "each token is received once and in order"
                );
                self.text
                    .push_str(value["text"].as_str().expect("a token event has a text"));
                self.tokens += 1;
            }
        }
    }
}
