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

/// Number of segments of a prompt that a line of the log names.
const MAX_LOGGED_SEGMENTS: usize = 64;

/// A caller's request that was read completely and authorized.
pub(crate) struct Call {
    pub(crate) head: header_adapter::CallHead,
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

    /// Returns what of this request may be to blame if its endpoint crashes. They are made anew each time, since those of a large
    /// head take several times its space.
    pub(crate) fn suspects(&self) -> crash_record::OwnedSuspects {
        let owner = owner::Owner::new(self.organisation().map(AsRef::as_ref));
        crash_record::OwnedSuspects::new(&self.head.shared_segments, &self.content, owner)
    }

    /// Returns the shared segments of the prompt for logs, which tell only the number of those beyond [`MAX_LOGGED_SEGMENTS`].
    pub(crate) fn segments_for_log(&self) -> String {
        let mut segments = self.head.shared_segments.iter();
        let mut text: Vec<String> = segments.by_ref().take(MAX_LOGGED_SEGMENTS).map(str::to_owned).collect();
        let further = segments.count();
        if further > 0 {
            text.push(format!("and {further} more"));
        }
        text.join(",")
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
