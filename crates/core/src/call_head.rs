//! Validation of the head of a caller's request.
//!
//! A request that can be rejected by its head alone is rejected here, before its body is read or an endpoint is chosen.

use std::time::Duration;

use crate::class;
use crate::config::fault;
use crate::config::service;
use crate::config::state;
use crate::name;
use crate::problem;

/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Request header with the name of the calling organisation.
pub const ORGANISATION: &str = "sycamorestile-organisation";
/// Request header with the priority class.
pub const CLASS: &str = "sycamorestile-class";
/// Request header with the deadline, in milliseconds after the receipt of the request.
pub const DEADLINE_MS: &str = "sycamorestile-deadline-ms";
/// Request header with the idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Response header with the outcome of the call.
pub const OUTCOME: &str = "sycamorestile-outcome";

/// Head of a request before validation.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestHead<'a> {
    /// HTTP method in upper case.
    pub method: &'a str,
    /// Path and query as received.
    pub target: &'a str,
    /// Value of the organisation header, if present.
    pub organisation: Option<HeaderValue<'a>>,
    /// Value of the class header, if present.
    pub class: Option<HeaderValue<'a>>,
    /// Value of the deadline header, if present.
    pub deadline_ms: Option<HeaderValue<'a>>,
    /// Value of the idempotency key header, if present.
    pub key: Option<HeaderValue<'a>>,
    /// Length of the body, if the head contains it.
    pub content_length: Option<u64>,
}

/// Value of a header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeaderValue<'a> {
    /// A single value of visible ASCII characters.
    Text(&'a str),
    /// A value with other bytes, or a header that occurs more than once.
    Unreadable,
}

/// Validated head of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// Name of the called service.
    pub service: name::Name,
    /// Kind of the called service.
    pub kind: service::ServiceKind,
    /// Name of the calling organisation.
    pub organisation: name::Name,
    /// Priority class.
    pub class: class::Class,
    /// Time allowed from the receipt of the request to the end of the response.
    pub deadline: Duration,
    /// Idempotency key, if the caller sent one. Always `None` for an idempotent call, which needs no claim.
    pub key: Option<Box<str>>,
    /// HTTP method in upper case.
    pub method: Box<str>,
    /// Path and query without the leading service name.
    pub target: Box<str>,
    /// Whether the called route is declared as idempotent.
    pub idempotent: bool,
    /// Maximum length of the request body, in bytes.
    pub max_body_bytes: u64,
}

impl CallHead {
    /// Validates `request` against the current declarations.
    ///
    /// # Errors
    ///
    /// Returns a [`problem::Problem`] that says how to correct the request.
    pub fn check(request: &RequestHead<'_>, config: &state::ConfigState) -> Result<Self, problem::Problem> {
        let (service_name, target) = split_target(request.target)?;
        let service = config.service(&service_name).ok_or_else(|| {
            problem::Problem::new(
                problem::ProblemKind::UnknownService,
                format!("service {service_name} is not declared"),
            )
        })?;
        let path = target.split('?').next().unwrap_or_default();
        let idempotent = match service.match_route(request.method, path) {
            service::RouteMatch::Declared { idempotent } => idempotent,
            service::RouteMatch::WrongMethod => {
                return Err(problem::Problem::new(
                    problem::ProblemKind::MethodNotAllowed,
                    request.method,
                ));
            }
            service::RouteMatch::NoPath => {
                return Err(problem::Problem::new(problem::ProblemKind::UndeclaredPath, path));
            }
        };
        let organisation = read_organisation(request.organisation)?;
        let class = read_class(request.class)?;
        let deadline = read_deadline(request.deadline_ms)?.unwrap_or_else(|| service.deadline());
        let key = read_key(request.key)?;
        if request.content_length.is_some_and(|n| n > service.max_body_bytes) {
            return Err(body_too_large(service.max_body_bytes));
        }
        Ok(Self {
            service: service_name,
            kind: service.kind,
            organisation,
            class,
            deadline,
            key: key.filter(|_| !idempotent),
            method: request.method.into(),
            target: target.into(),
            idempotent,
            max_body_bytes: service.max_body_bytes,
        })
    }
}

/// Returns the problem for a request body longer than `limit` bytes.
pub fn body_too_large(limit: u64) -> problem::Problem {
    problem::Problem::new(
        problem::ProblemKind::BodyTooLarge,
        format!("the body may have at most {limit} bytes"),
    )
}

fn split_target(target: &str) -> Result<(name::Name, &str), problem::Problem> {
    let unknown = |text: &str| {
        problem::Problem::new(
            problem::ProblemKind::UnknownService,
            format!("the path {text:?} does not start with the name of a service"),
        )
    };
    let rest = target.strip_prefix('/').ok_or_else(|| unknown(target))?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (first, below) = rest.split_at(end);
    let name = name::Name::new(first)
        .map_err(|e| problem::Problem::new(problem::ProblemKind::UnknownService, e.to_string()))?;
    Ok((name, if below.is_empty() { "/" } else { below }))
}

fn header_text<'a>(value: Option<HeaderValue<'a>>, name: &str) -> Result<Option<&'a str>, problem::Problem> {
    match value {
        None => Ok(None),
        Some(HeaderValue::Text(value)) => Ok(Some(value)),
        Some(HeaderValue::Unreadable) => {
            let detail = format!("send the {name} header once, with visible ASCII characters only");
            Err(problem::Problem::new(problem::ProblemKind::BadHeader, detail))
        }
    }
}

fn read_organisation(value: Option<HeaderValue<'_>>) -> Result<name::Name, problem::Problem> {
    let value = header_text(value, ORGANISATION)?.ok_or_else(|| {
        problem::Problem::new(
            problem::ProblemKind::MissingOrganisation,
            "set the header to the name of the calling organisation",
        )
    })?;
    name::Name::new(value)
        .map_err(|e| problem::Problem::new(problem::ProblemKind::BadHeader, format!("{ORGANISATION}: {e}")))
}

fn read_class(value: Option<HeaderValue<'_>>) -> Result<class::Class, problem::Problem> {
    let Some(value) = header_text(value, CLASS)? else {
        return Ok(class::Class::default());
    };
    class::Class::parse(value)
        .map_err(|e| problem::Problem::new(problem::ProblemKind::BadHeader, format!("{CLASS}: {e}")))
}

fn read_deadline(value: Option<HeaderValue<'_>>) -> Result<Option<Duration>, problem::Problem> {
    let bad = || {
        let max = fault::MAX_DEADLINE_MS;
        let detail = format!("{DEADLINE_MS}: use a whole number of milliseconds from 1 to {max}");
        problem::Problem::new(problem::ProblemKind::BadDeadline, detail)
    };
    match value {
        None => Ok(None),
        Some(HeaderValue::Unreadable) => Err(bad()),
        Some(HeaderValue::Text(value)) => {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let millis: Option<u64> = value.parse().ok().filter(|_| digits);
            let millis = millis.filter(|ms| (1..=fault::MAX_DEADLINE_MS).contains(ms));
            millis.map(|ms| Some(Duration::from_millis(ms))).ok_or_else(bad)
        }
    }
}

fn read_key(value: Option<HeaderValue<'_>>) -> Result<Option<Box<str>>, problem::Problem> {
    let Some(value) = header_text(value, IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    let is_valid = !value.is_empty() && value.len() <= MAX_KEY_BYTES && value.bytes().all(|b| b.is_ascii_graphic());
    if is_valid {
        Ok(Some(value.into()))
    } else {
        let detail = format!("{IDEMPOTENCY_KEY}: use 1 to {MAX_KEY_BYTES} visible characters without spaces");
        Err(problem::Problem::new(problem::ProblemKind::BadHeader, detail))
    }
}
