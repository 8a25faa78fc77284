//! One caller's request, from its head to its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use slog::info;
use sycamorestile_core::direct::access;
use sycamorestile_core::problem;
use sycamorestile_core::time::Time;
use sycamorestile_table::boot_clock;
use tokio::time;

use crate::cx;
use crate::drive;
use crate::header_adapter;
use crate::idle_watch;
use crate::pages;
use crate::refuse;
use crate::stream;

/// Wait that a refusal names when the cause passes by itself: keys are confirmed again, endpoints come back.
const SOON: Duration = Duration::from_millis(700);
/// Wait that a leaving instance names: another instance takes the request at once.
const ELSEWHERE: Duration = Duration::from_millis(50);
/// Time for which the rest of an oversized body is read, so that its sender reads the answer instead of a reset.
const LINGER: Duration = Duration::from_secs(2);
/// Bytes of an oversized body that are read and dropped.
const LINGER_BYTES: usize = 64 << 20;

/// A request that was read whole.
pub(crate) struct Call {
    pub(crate) head: header_adapter::CallHead,
    pub(crate) grant: access::Grant,
    pub(crate) method: Method,
    /// Path and query as they came.
    pub(crate) target: String,
    pub(crate) host: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) started: Time,
    /// When the caller or the route gives up.
    pub(crate) deadline: Time,
}

impl Call {
    /// The caller's name for this attempt, for logs.
    pub(crate) fn id(&self) -> &str {
        self.head.attempt.as_deref().unwrap_or("-")
    }

    /// Path without its query.
    pub(crate) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// What it may use by the newest declarations.
    pub(crate) fn ask(&self, cx: &cx::Cx) -> Result<access::Grant, problem::ProblemKind> {
        ask(cx, &self.host, self.path(), self.head.key.as_deref())
    }

    /// Name of the route's kind, for logs and metrics.
    pub(crate) fn kind(&self) -> &'static str {
        use sycamorestile_core::direct::route::RouteKind;
        match self.grant.route.kind {
            RouteKind::Safe => "safe",
            RouteKind::Unsafe => "unsafe",
            RouteKind::Stream { .. } => "stream",
        }
    }

    pub(crate) fn organisation(&self) -> Option<&Arc<str>> {
        self.grant.organisation.as_ref().map(|o| &o.name)
    }
}

/// Answers one request.
pub(crate) async fn handle(
    cx: Rc<cx::Cx>,
    watch: idle_watch::IdleWatch,
    req: Request<Incoming>,
) -> Response<stream::AnswerBody> {
    let (in_flight, busy) = (cx::InFlight::begin(&cx), watch.begin());
    let response = answer(&cx, req).await;
    response.map(|body| body.holding(in_flight, busy))
}

/// Answers one request of the pages address.
pub(crate) async fn handle_page(
    cx: Rc<cx::Cx>,
    watch: idle_watch::IdleWatch,
    req: Request<Incoming>,
) -> Response<stream::AnswerBody> {
    let _busy = watch.begin();
    pages::answer(&cx, &req)
}

async fn answer(cx: &Rc<cx::Cx>, req: Request<Incoming>) -> Response<stream::AnswerBody> {
    let started = boot_clock::now();
    match read(cx, req, started).await {
        Ok(call) => drive::drive(cx, call).await,
        Err(refused) => {
            let problem = refused.problem;
            let status = problem.kind.status();
            cx.metrics.outcome(status, problem.kind.slug());
            let snapshot = cx.snapshot();
            info!(cx.log, "request refused";
                "request" => refused.id.as_deref(), "reason" => problem.kind.slug(), "detail" => &problem.detail,
                "status" => status, "path" => refused.path,
                "version" => snapshot.declared.as_ref().map(|d| d.version),
                "age_ms" => snapshot.freshness.age(started).map(|a| a.as_millis() as u64));
            refuse::response(cx, &problem)
        }
    }
}

struct Refused {
    id: Option<Arc<str>>,
    path: String,
    problem: problem::Problem,
}

async fn read(cx: &cx::Cx, req: Request<Incoming>, started: Time) -> Result<Call, Refused> {
    let (parts, body) = req.into_parts();
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str)
        .to_owned();
    let path = parts.uri.path().to_owned();
    let named = parts.headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let host = named.or(parts.uri.host()).unwrap_or_default().to_owned();
    let head = (cx.header_adapter.read_call)(&parts.headers).map_err(|fault| Refused {
        id: None,
        path: path.clone(),
        problem: problem::Problem::new(problem::ProblemKind::BadHeader, fault.to_string()),
    })?;
    let refused = |kind: problem::ProblemKind| Refused {
        id: head.attempt.clone(),
        path: path.clone(),
        problem: problem_of(cx, kind),
    };
    let grant = match ask(cx, &host, &path, head.key.as_deref()) {
        Ok(grant) => grant,
        Err(kind) => {
            linger(body);
            return Err(refused(kind));
        }
    };
    let patience = head
        .deadline
        .map_or(grant.route.timeout, |d| d.min(grant.route.timeout));
    let deadline = started + patience;
    if !cx.takes(patience) {
        linger(body);
        return Err(refused(problem::ProblemKind::Leaving));
    }
    let limit = cx
        .snapshot()
        .declared
        .as_ref()
        .map(|d| d.limits.body_bytes)
        .unwrap_or_default();
    let declared_length = parts.headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok());
    if declared_length
        .and_then(|l| l.parse::<usize>().ok())
        .is_some_and(|length| length > limit)
    {
        linger(body);
        return Err(refused(problem::ProblemKind::BodyTooLarge));
    }
    let body = read_body(body, limit, patience).await.map_err(refused)?;
    Ok(Call {
        head,
        grant,
        method: parts.method,
        target,
        host,
        headers: parts.headers,
        body,
        started,
        deadline,
    })
}

async fn read_body(mut body: Incoming, limit: usize, patience: Duration) -> Result<Bytes, problem::ProblemKind> {
    let mut whole = bytes::BytesMut::new();
    let reading = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_broken| problem::ProblemKind::BadBody)?;
            whole.extend_from_slice(frame.data_ref().map_or(&[][..], |d| d.as_ref()));
            if whole.len() > limit {
                return Err(problem::ProblemKind::BodyTooLarge);
            }
        }
        Ok(())
    };
    let read = time::timeout(patience, reading).await;
    match read {
        Ok(Ok(())) => Ok(whole.freeze()),
        Ok(Err(kind)) => {
            linger(body);
            Err(kind)
        }
        Err(_) => Err(problem::ProblemKind::DeadlineBeforeStart),
    }
}

/// Reads and drops the rest of a body in the background.
fn linger(body: Incoming) {
    if hyper::body::Body::is_end_stream(&body) {
        return;
    }
    tokio::task::spawn_local(async move {
        let mut rest = Limited::new(body, LINGER_BYTES);
        let dropped = async { while let Some(Ok(_)) = rest.frame().await {} };
        // After this time the sender has had its answer for long enough.
        let _read = time::timeout(LINGER, dropped).await;
    });
}

fn ask(cx: &cx::Cx, host: &str, path: &str, key: Option<&str>) -> Result<access::Grant, problem::ProblemKind> {
    let snapshot = cx.snapshot();
    let ask = access::AccessRequest { host, path, key };
    access::authorize(
        snapshot.declared.as_deref(),
        &snapshot.freshness,
        pages::key_bound(cx),
        boot_clock::now(),
        ask,
    )
}

/// The problem of `kind`, with a wait where one is due.
pub(crate) fn problem_of(cx: &cx::Cx, kind: problem::ProblemKind) -> problem::Problem {
    if kind == problem::ProblemKind::Leaving {
        refuse::later(cx, kind, kind.title(), ELSEWHERE)
    } else if kind.is_transient() {
        refuse::later(cx, kind, kind.title(), SOON)
    } else {
        problem::Problem::new(kind, kind.title())
    }
}
