//! A caller's request that may be sent to endpoints.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method};
use sycamorestile_core::direct::{access, crash_record, owner};
use sycamorestile_core::problem;
use sycamorestile_core::time::Time;
use sycamorestile_table::boot_clock;

use crate::context;
use crate::header_adapter;
use crate::monitoring;
use crate::reservation;

/// A caller's request that was read completely and authorized.
pub(crate) struct Call {
    pub(crate) head: header_adapter::CallHead,
    /// Number of shared segments that the head names and that are not judged.
    pub(crate) unjudged_segments: usize,
    pub(crate) grant: access::Grant,
    pub(crate) method: Method,
    /// The path and query, unchanged.
    pub(crate) target: String,
    pub(crate) host: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The body's part of what all bodies may take.
    pub(crate) _body_room: reservation::Reservation,
    /// Identifies the request by its content.
    pub(crate) content: Arc<str>,
    pub(crate) started: Time,
    /// The earlier of the caller's deadline and the route's timeout.
    pub(crate) deadline: Time,
}

impl Call {
    /// Returns the caller's identifier for this attempt, or `-` if it has none, for logs.
    pub(crate) fn id(&self) -> &str {
        self.head.attempt.as_deref().unwrap_or("-")
    }

    /// Returns the path without the query.
    pub(crate) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Authorizes the request again with the newest declarations.
    pub(crate) fn authorize(&self, cx: &context::GatewayContext) -> Result<access::Grant, problem::ProblemKind> {
        authorize(cx, &self.host, self.path(), self.head.key.as_deref())
    }

    /// Returns the name of the route's kind, for logs and metrics.
    pub(crate) fn kind(&self) -> &'static str {
        use sycamorestile_core::direct::route::RouteKind;
        match self.grant.route.kind {
            RouteKind::Safe => "safe",
            RouteKind::Unsafe => "unsafe",
            RouteKind::Stream { .. } => "stream",
        }
    }

    /// Returns what of this request may be to blame if its endpoint crashes.
    pub(crate) fn suspects(&self) -> crash_record::Suspects<'_> {
        crash_record::Suspects {
            segments: &self.head.shared_segments,
            content: &self.content,
            owner: owner::Owner::new(self.organisation().map(AsRef::as_ref)),
        }
    }

    /// Returns the name of the organisation that owns the caller's key.
    pub(crate) fn organisation(&self) -> Option<&Arc<str>> {
        self.grant.organisation.as_ref().map(|o| &o.name)
    }
}

/// Authorizes a request with the newest declarations.
pub(crate) fn authorize(
    cx: &context::GatewayContext,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Result<access::Grant, problem::ProblemKind> {
    let snapshot = cx.snapshot();
    let request = access::AccessRequest { host, path, key };
    access::authorize(
        snapshot.declared.as_deref(),
        &snapshot.freshness,
        monitoring::max_key_age(cx),
        boot_clock::now(),
        request,
    )
}
