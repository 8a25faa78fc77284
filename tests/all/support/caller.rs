//! A caller.

use std::io::{BufRead, BufReader};
use std::time::Duration;

/// A whole response.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) retry_after: Option<u64>,
    pub(crate) body: String,
}

impl Response {
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_else(|e| panic!("{:?} is no JSON: {e}", self.body))
    }
}

/// What came of a stream.
#[derive(Debug, Default)]
pub(crate) struct StreamResult {
    /// Texts of the events in order.
    pub(crate) text: String,
    /// Number of token events.
    pub(crate) tokens: u32,
    /// The explicit end event came.
    pub(crate) ended: bool,
    /// Body of the error event, if one came.
    pub(crate) error: Option<serde_json::Value>,
}

/// A caller of one entry.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    base: String,
    agent: ureq::Agent,
}

/// A call that got no response: the connection broke.
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

    /// Sends a call with the given headers besides the organisation.
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
        let request = builder.body(body.to_owned()).expect("a valid request");
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

    /// Books `cents` under a key, or without one.
    pub(crate) fn book(&self, account: &str, cents: i64, key: Option<&str>) -> Result<Response, NoResponse> {
        let mut headers = vec![("sycamorestile-organisation", "acme")];
        headers.extend(key.map(|key| ("idempotency-key", key)));
        let body = format!("{{\"account\":\"{account}\",\"cents\":{cents}}}");
        self.call("POST", "/ledger/bookings", &headers, &body)
    }

    /// Number of bookings of an account.
    pub(crate) fn bookings(&self, account: &str) -> u64 {
        let headers = [("sycamorestile-organisation", "acme")];
        let response = self
            .call("GET", &format!("/ledger/accounts/{account}"), &headers, "")
            .expect("a response");
        response.json()["bookings"]
            .as_u64()
            .unwrap_or_else(|| panic!("no bookings in {response:?}"))
    }

    /// Streams a response; `each` is told the number of tokens so far.
    pub(crate) fn stream<F>(&self, prompt: &str, max_tokens: u32, mut on_token: F) -> Result<StreamResult, Response>
    where
        F: FnMut(u32),
    {
        let body = serde_json::json!({ "prompt": prompt, "max_tokens": max_tokens, "stream": true }).to_string();
        let request = ureq::http::Request::post(format!("{}/assistant/v1/completions", self.base))
            .header("sycamorestile-organisation", "acme")
            .body(body)
            .expect("a valid request");
        let mut response = self.agent.run(request).expect("a response");
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
        let value: serde_json::Value = serde_json::from_str(data).expect("events carry JSON");
        match event {
            "end" => self.ended = true,
            "error" => self.error = Some(value),
            _ => {
                assert_eq!(
                    value["index"].as_u64(),
                    Some(u64::from(self.tokens)),
                    "tokens come in order, each once"
                );
                self.text.push_str(value["text"].as_str().expect("tokens carry text"));
                self.tokens += 1;
            }
        }
    }
}
