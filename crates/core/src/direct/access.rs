//! Whether a request may be sent on, by the newest declarations.
//!
//! Asked when a request was read and again before each send, after the last wait: a key or route that was removed
//! meanwhile must not be used.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::{credentials, declarations, freshness, route};
use crate::problem;
use crate::time;

/// What a request may use.
#[derive(Debug, Clone)]
pub struct Grant {
    /// Its route.
    pub route: Arc<route::Route>,
    /// Who holds its key; `None` on routes that need none.
    pub organisation: Option<Arc<credentials::Organisation>>,
}

/// What a request asks for.
#[derive(Debug, Clone, Copy)]
pub struct AccessRequest<'a> {
    /// Host, perhaps with a port.
    pub host: &'a str,
    /// Path without a query.
    pub path: &'a str,
    /// API key.
    pub key: Option<&'a str>,
}

/// Looks up route and key. `declarations` is `None` until the first declarations are read; `revocation_limit` is the time within which
/// a revoked key must stop.
///
/// # Errors
///
/// The kind of problem that the caller is told. Declarations that may be out of date never lead to a final refusal.
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
