//! Authorization of requests against the newest declarations.
//!
//! A gateway checks a request when it has read it, and again right before it sends each attempt, so that a key or route
//! that was removed while the request waited is not used.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::{credentials, declarations, freshness, route};
use crate::problem;
use crate::time;

/// The route and organisation of an authorized request.
#[derive(Debug, Clone)]
pub struct Grant {
    /// The route that matches the request.
    pub route: Arc<route::Route>,
    /// The organisation that holds the request's key; `None` on routes that require no key.
    pub organisation: Option<Arc<credentials::Organisation>>,
}

/// The parts of a request that decide whether it is authorized.
#[derive(Debug, Clone, Copy)]
pub struct AccessRequest<'a> {
    /// Host, optionally with a port.
    pub host: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// API key, if the request has one.
    pub key: Option<&'a str>,
}

/// Looks up the route and the organisation of a request.
///
/// `declarations` is `None` until the first declarations have been read. `revocation_limit` is the time within which a
/// revoked key must stop being honoured.
///
/// # Errors
///
/// Returns the kind of problem to report to the caller. Declarations that may be out of date only lead to problems that
/// the caller can retry.
pub fn authorize(
    declarations: Option<&declarations::Declarations>,
    freshness: &freshness::Freshness,
    revocation_limit: Duration,
    now: time::Time,
    request: AccessRequest<'_>,
) -> Result<Grant, problem::ProblemKind> {
    let declarations = declarations.ok_or(problem::ProblemKind::NotReady)?;
    let is_fresh = freshness.allows_keys(now, revocation_limit);
    let Some(route) = declarations.routes.find(request.host, request.path) else {
        return Err(if is_fresh {
            problem::ProblemKind::UnknownRoute
        } else {
            problem::ProblemKind::NotReady
        });
    };
    let route = Arc::clone(route);
    let Some(credentials) = declarations.credentials.as_ref().filter(|_| !route.is_public) else {
        return Ok(Grant {
            route,
            organisation: None,
        });
    };
    if !is_fresh {
        return Err(problem::ProblemKind::KeysUnconfirmed);
    }
    let holder = request.key.and_then(|key| credentials.holder(key));
    let organisation = Some(Arc::clone(holder.ok_or(problem::ProblemKind::UnknownKey)?));
    Ok(Grant { route, organisation })
}
