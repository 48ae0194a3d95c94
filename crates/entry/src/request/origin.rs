//! Where the stream began that a request takes up, and whether it can go on there.

use std::rc::Rc;

use kingcupfield_decisions::id::ServiceId;
use kingcupfield_decisions::software_versions::StreamOrigin;

use super::refusals::unavailable;
use crate::adapter::RequestMeta;
use crate::node::Node;
use crate::refusal::{Refusal, RefusalKind};
use crate::stream_origin;
use crate::table::Route;

/// Finds out where the stream began that a request takes up; `None` if it takes up none.
pub(super) async fn find_origin(
    node: &Rc<Node>,
    meta: &RequestMeta,
    route: &Route,
) -> Result<Option<StreamOrigin>, Refusal> {
    if !route.kind.is_stream() || meta.last_event_id.is_none() {
        return Ok(None);
    }
    let reason = tokio::select! {
        origin = stream_origin::find_out(node, meta, route) => match origin {
            Some(origin) => return Ok(Some(origin)),
            None => "the software version that began the stream is not known",
        },
        () = node.response_deadline_reached() => "this instance shuts down before it is known where the stream began",
    };
    Err(unavailable(reason))
}

/// Refuses a request for which its route has no service.
pub(super) fn no_service(route: &Route, origin: Option<StreamOrigin>) -> Refusal {
    let name = &route.name;
    unavailable(&match origin {
        Some(_) => format!("route {name} no longer leads to the service that began the stream"),
        None => format!("route {name} has no service"),
    })
}

/// Refuses to take up a stream whose software version no replica serves any more.
pub(super) fn check_version_served(
    node: &Node,
    service: &ServiceId,
    origin: Option<StreamOrigin>,
) -> Result<(), Refusal> {
    let dispatch = node.dispatch.borrow();
    if origin.is_none_or(|o| dispatch.serves_version(service, o.version, &[])) {
        return Ok(());
    }
    let reason = format!("no replica of {service} has the software version that began the stream");
    Err(Refusal::new(RefusalKind::Unavailable).with_message(reason))
}
