//! The life of one request: received, admitted, placed, sent, answered.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use kingcupfield_decisions::dispatch::{Job, Outcome};
use kingcupfield_decisions::id::{ServiceId, UpstreamId};
use kingcupfield_decisions::regions::Regions;
use rand::RngExt as _;
use tokio::time::Instant;

use crate::account::{self, Unanswered};
use crate::admission::{COME_BACK_SOON, charge, ends_in_time, pick_service, read_body, resolve};
use crate::credit::{self, Charged};
use crate::exchange::{self, Answer, Failure};
use crate::kind::{Kind, Ran, Refusal};
use crate::metrics::Timing;
use crate::node::{Node, Place, Stage, Target};
use crate::over::{Over, time_over};
use crate::port::{Call, Onward};
use crate::relay::{self, Body};
use crate::table::{Organisation, Route, Table, regions};

/// Callers leave a stream, also before its first event, after two seconds, four times the objective
/// or eight times the longest pause, whichever is longest.
const PATIENCE: Duration = Duration::from_secs(2);
const PATIENCE_OBJECTIVES: f64 = 4.0;
const PATIENCE_PAUSES: f64 = 8.0;

/// A request that got no place is given up at this part of its caller's patience: the other half is
/// left for the one time that a caller comes back, when the burst has passed, and less waits in vain
/// meanwhile.
const GIVE_UP_AT: f64 = 0.5;

/// Longest time that a request waits for the first table: a start reads it in two tenths of a second,
/// where the store or a peer answers. Also as a part of the caller's time.
const FOR_TABLE: Duration = Duration::from_millis(600);
const FOR_TABLE_PART: f64 = 0.25;

/// The rest of a stream that broke off is given up while its caller still waits, so that the end of
/// the stream arrives.
const BEFORE_PATIENCE_ENDS: f64 = 0.8;

/// Advice on when to come back: bursts last two to five seconds. Callers take a third of the time
/// that they have left at most.
const COME_BACK_S: std::ops::Range<f64> = 2.0..5.0;

/// How often a request that may be repeated looks whether its replica still brings anything to
/// anybody; a seventh of the shortest objective of the users' streams.
const RESCUE_CHECK: Duration = Duration::from_millis(150);

/// A connection that ends this soon after a request was written, beside the time to open it and to
/// hear of its end, is that of a replica which runs nothing: it fails each request at once, looks idle and draws more. Usual
/// first answers take 60 ms and more.
const AT_ONCE: Duration = Duration::from_millis(25);

/// A request of a plain service that may be repeated waits for this part of its objective before
/// another replica is tried: the rest is enough for a usual answer.
const PLAIN_RESCUE: f64 = 0.6;

/// One request and what was decided of it.
#[derive(Debug)]
pub struct Life {
    /// The caller's attempt.
    pub call: Call,
    /// Head of the request.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
    /// When it had come in.
    pub received: Instant,
    /// Time for which the machine had been suspended by then.
    pub suspended: Duration,
    /// The route in force when it was admitted.
    pub route: Rc<Route>,
    /// Who sent it.
    pub organisation: Option<Rc<Organisation>>,
    /// The service that it goes to.
    pub service: ServiceId,
    /// Replicas that were tried.
    pub tried: Vec<UpstreamId>,
    /// Replicas that may have run it.
    pub runs: u32,
    /// How long it waited for its last place.
    pub waited: Duration,
    /// What it was charged.
    pub charge: Charged,
}

/// Answers one request of a caller.
pub async fn serve(node: Rc<Node>, req: Request<Incoming>) -> Response<Body> {
    node.active.set(node.active.get() + 1);
    node.taken.set(node.taken.get() + 1);
    let active = Active(Rc::clone(&node));
    let received = Instant::now();
    let (head, body) = req.into_parts();
    let call = node.dialect.call(&head);
    let body = tokio::select! {
        body = read_body(&node, body) => body,
        () = node.last_answers() => Err(unavailable("this instance ends before the body came in")),
    };
    let result = match body {
        Ok(body) => admitted(&node, received, head, call.clone(), body, active).await,
        Err(refusal) => Err(refusal),
    };
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => refuse(&node, &call, received, &refusal),
    };
    if node.stage() != Stage::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Counts a request for as long as it is answered.
#[derive(Debug)]
pub struct Active(Rc<Node>);

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

async fn admitted(
    node: &Rc<Node>,
    received: Instant,
    head: Parts,
    call: Call,
    body: Bytes,
    active: Active,
) -> Result<Response<Body>, Refusal> {
    let table = wait_for_table(node, &call).await?;
    let (route, organisation) = resolve(&table, &head, &call)?;
    if call.id.is_empty() {
        return Err(Refusal::new(Kind::BadRequest).with_message("the request has no id"));
    }
    let service =
        pick_service(&route).ok_or_else(|| unavailable("the route leads to no service"))?;
    check_end(node, &service, &call)?;
    check_regions(&route, organisation.as_deref())?;
    let charge = charge(node, organisation.as_deref(), &route, &service, &call).await?;
    node.repeats
        .borrow_mut()
        .on_request(Instant::now(), &service);
    let life = Life {
        call,
        head,
        body,
        received,
        suspended: node.clock.suspended(),
        route,
        organisation,
        service,
        tried: Vec::new(),
        runs: 0,
        waited: Duration::ZERO,
        charge,
    };
    life.run(Rc::clone(node), active).await
}

/// The table; a request that comes while the instance starts waits a moment for it.
async fn wait_for_table(node: &Node, call: &Call) -> Result<Rc<Table>, Refusal> {
    let mut version = node.version.subscribe();
    let patience = call.deadline.unwrap_or(FOR_TABLE).mul_f64(FOR_TABLE_PART);
    let mut over = std::pin::pin!(tokio::time::sleep(FOR_TABLE.min(patience)));
    loop {
        if let Some(table) = node.table() {
            return Ok(table);
        }
        tokio::select! {
            _ = version.changed() => {}
            () = &mut over => return Err(unavailable("no table is known yet")),
            () = node.last_answers() => return Err(unavailable("this instance ends and knows no table")),
        }
    }
}

/// Refuses a request that may be served nowhere, as its route and its organisation name different regions.
fn check_regions(route: &Route, organisation: Option<&Organisation>) -> Result<(), Refusal> {
    if !regions(route, organisation).is_none() {
        return Ok(());
    }
    let reason = format!(
        "no region in common: route {} allows {}, organisation {} allows {}",
        route.name,
        route.regions,
        organisation.map_or("-", |o| &*o.name),
        organisation.map_or_else(Regions::all, |o| o.regions.clone()),
    );
    Err(Refusal::new(Kind::Shed)
        .with_message(reason)
        .with_retry_after(come_back()))
}

/// Advice on when to come back after a refusal for want of room.
fn come_back() -> Duration {
    Duration::from_secs_f64(rand::rng().random_range(COME_BACK_S))
}

/// Refuses a request that could not end before the process does.
fn check_end(node: &Node, service: &ServiceId, call: &Call) -> Result<(), Refusal> {
    if ends_in_time(node, service, call) {
        return Ok(());
    }
    Err(unavailable("this instance ends before the request could"))
}

/// Another instance, or this one a moment later, can serve the request.
fn unavailable(reason: &str) -> Refusal {
    Refusal::new(Kind::Unavailable)
        .with_message(reason)
        .with_retry_after(COME_BACK_SOON)
}

/// Makes the answer of a refusal and tells the log of it.
fn refuse(node: &Node, call: &Call, received: Instant, refusal: &Refusal) -> Response<Body> {
    account::refused(node, call, received, refusal);
    let (status, fields) = node.dialect.refusal(Some(&call.id), refusal);
    let mut response = Response::new(Body::whole(Bytes::new()));
    *response.status_mut() = status;
    *response.headers_mut() = fields;
    response
}

/// What to do after one send.
enum Next {
    Answer(Box<Response<Body>>),
    Again,
    Refuse(Refusal),
}

impl Life {
    async fn run(mut self, node: Rc<Node>, active: Active) -> Result<Response<Body>, Refusal> {
        let mut unanswered = Unanswered::new(&node, &self.call.id, self.received);
        let result = self.run_watched(&node, active, &mut unanswered).await;
        unanswered.end();
        result
    }

    async fn run_watched(
        &mut self,
        node: &Rc<Node>,
        active: Active,
        unanswered: &mut Unanswered,
    ) -> Result<Response<Body>, Refusal> {
        let mut active = Some(active);
        loop {
            unanswered.replica = None;
            let placed = tokio::select! {
                placed = node.place(self.job(node)) => placed.map_err(|_| Over::Route),
                over = time_over(node, &self.route, self.received) => Err(over),
                () = self.bound_elsewhere(node) => {
                    self.recheck(node)?;
                    continue;
                }
            };
            let place = match placed {
                Ok(place) => place,
                Err(Over::Route) => return Err(self.give_up(node)),
                Err(Over::Process) => return Err(self.ends_with_process(node)),
            };
            self.waited = self.received.elapsed();
            node.metrics.observe(Timing::Wait, self.waited);
            self.recheck(node)?;
            let Some(target) = self.target(node, &place) else {
                continue;
            };
            account::sent(node, self, &place);
            unanswered.replica = Some(place.upstream.clone());
            match self.send(node, &target, place, &mut active).await {
                Next::Answer(response) => return Ok(*response),
                Next::Refuse(refusal) => return Err(refusal),
                Next::Again => {}
            }
        }
    }

    /// The replica of a place, unless it has gone or the request may no longer be served there.
    fn target(&self, node: &Node, place: &Place) -> Option<Rc<Target>> {
        let target = node.target(&place.upstream)?;
        let region = node.region_of(&target.published.zone);
        self.regions().allows(&region).then_some(target)
    }

    /// Where it may be served.
    fn regions(&self) -> Regions {
        regions(&self.route, self.organisation.as_deref())
    }

    /// Ends when a newer table binds the request to other regions than those it waits for.
    async fn bound_elsewhere(&self, node: &Node) {
        let mut version = node.version.subscribe();
        while version.changed().await.is_ok() {
            let table = node.table();
            let found = table.and_then(|t| resolve(&t, &self.head, &self.call).ok());
            let now = found.map(|(route, organisation)| regions(&route, organisation.as_deref()));
            if now.is_some_and(|now| now != self.regions()) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// When its whole answer must have come: its caller leaves then, or the process ends.
    fn ends_by(&self, node: &Node) -> Instant {
        let deadline = Instant::now() + self.left(node);
        node.answers_by
            .get()
            .map_or(deadline, |end| end.min(deadline))
    }

    fn job(&self, node: &Node) -> Job {
        let stream = self.route.kind.is_stream();
        let objective = self.route.objective;
        let patience = if stream {
            PATIENCE
                .max(objective.mul_f64(PATIENCE_OBJECTIVES))
                .max(self.route.longest_pause.mul_f64(PATIENCE_PAUSES))
        } else {
            self.route.timeout
        };
        let waits = patience.min(self.call.deadline.unwrap_or(patience));
        let own_rank = self.organisation.as_ref().and_then(|o| o.rank);
        Job {
            id: node.new_job(),
            rank: (own_rank.unwrap_or(self.route.rank), self.route.rank),
            received: self.received,
            due: self.received + objective,
            deadline: self.ends_by(node),
            give_up: self.received + waits.mul_f64(GIVE_UP_AT),
            service: self.service.clone(),
            regions: self.regions(),
            prompt: f64::from(self.call.prompt_tokens.unwrap_or(0)),
            output: self.call.output(),
            longest_pause: if stream {
                self.route.longest_pause
            } else {
                Duration::ZERO
            },
            tried: self.tried.clone(),
            salt: rand::rng().random(),
        }
    }

    /// A request that waited is sent by what holds now: its key or route may be gone, and the process
    /// may end before the request could.
    fn recheck(&mut self, node: &Node) -> Result<(), Refusal> {
        let result = self.check_again(node);
        if result.is_err() && self.runs == 0 {
            self.uncharge(node);
        }
        result
    }

    fn check_again(&mut self, node: &Node) -> Result<(), Refusal> {
        let Some(table) = node.table() else {
            return Ok(());
        };
        let (route, organisation) = resolve(&table, &self.head, &self.call)?;
        check_regions(&route, organisation.as_deref())?;
        if self.runs == 0 {
            if !route.targets.iter().any(|(s, _)| *s == self.service) {
                return Err(unavailable("the route leads to other services now"));
            }
            check_end(node, &self.service, &self.call)?;
        }
        self.route = route;
        self.organisation = organisation;
        Ok(())
    }

    /// The final answer to a request that got no place in time.
    fn give_up(&self, node: &Node) -> Refusal {
        if self.runs > 0 {
            return Refusal::new(Kind::UpstreamBroke);
        }
        self.uncharge(node);
        let regions = self.regions();
        let standing = node
            .dispatch
            .borrow()
            .standing(Instant::now(), &self.service, &regions);
        let reason = format!(
            "no room for {} in {} ms in regions {regions}, asked in {}: {} replicas usable, {} of them elsewhere, {} cold, {} left alone, {} full, {} requests waiting, emptied zones [{}]",
            self.service,
            self.received.elapsed().as_millis(),
            node.settings().region,
            standing.usable,
            standing.not_allowed,
            standing.closed,
            standing.left_alone,
            standing.full,
            standing.waiting,
            node.emptied.borrow().all().join(","),
        );
        Refusal::new(Kind::Shed)
            .with_message(reason)
            .with_retry_after(come_back())
    }

    fn uncharge(&self, node: &Node) {
        if let Some(organisation) = &self.organisation {
            credit::give_back(node, organisation, &self.charge);
        }
    }

    /// Time that the caller still waits, counting the time that the machine stood still.
    pub fn left(&self, node: &Node) -> Duration {
        let slept = node.clock.suspended().saturating_sub(self.suspended);
        let passed = self.received.elapsed() + slept;
        let deadline = self.call.deadline.unwrap_or(self.route.timeout);
        deadline.min(self.route.timeout).saturating_sub(passed)
    }

    /// Head fields for the replica.
    pub fn onward(&self, node: &Node, target: &Target, last_event: Option<&str>) -> HeaderMap {
        let onward = Onward {
            replica: &target.published.id,
            left: Some(self.left(node)),
            organisation: self.organisation.as_ref().map(|o| &*o.name),
            last_event,
        };
        node.dialect.onward(&self.head, &onward)
    }

    /// Whether one more replica may be tried after one that may have run the request.
    pub fn may_repeat(&self, node: &Node) -> bool {
        self.route.kind.repeatable()
            && self.runs < self.route.attempts
            && self.left(node) > Duration::from_millis(100)
            && self.take_repeat(node)
    }

    fn take_repeat(&self, node: &Node) -> bool {
        let instances = node.peers.borrow().known();
        node.repeats
            .borrow_mut()
            .take(Instant::now(), &self.service, instances)
    }

    async fn send(
        &mut self,
        node: &Rc<Node>,
        target: &Rc<Target>,
        place: Place,
        active: &mut Option<Active>,
    ) -> Next {
        if self.left(node).is_zero() {
            place.end(Outcome::Unknown);
            return Next::Refuse(self.too_late());
        }
        let at_once = AT_ONCE + node.travel(&target.published.zone) * 2;
        let began = Instant::now();
        let fields = self.onward(node, target, None);
        self.tried.push(place.upstream.clone());
        self.runs += 1;
        let sent = exchange::send(
            target,
            &*node.dialect,
            &self.call.id,
            &self.head,
            fields,
            self.body.clone(),
            self.route.kind.repeatable(),
        );
        let sent = tokio::select! {
            sent = sent => sent.map_err(|e| match e {
                Failure::Broken if began.elapsed() < at_once => Failure::Dropped,
                e => e,
            }),
            over = time_over(node, &self.route, self.received) => {
                place.end(Outcome::Unknown);
                return Next::Refuse(self.is_over(node, over));
            }
            () = self.rescue(node, &place) => Err(Failure::Abandoned),
        };
        match sent {
            Ok(answer) => self.answered(node, target, place, answer, active).await,
            Err(failure) => self.failed(node, place, failure),
        }
    }

    /// Ends when the request had better be sent to another replica, with a repeat taken for it; never
    /// if it may not. A request that is given up with nothing in its place helps nobody.
    async fn rescue(&self, node: &Node, place: &Place) {
        if !self.route.kind.repeatable() || self.runs >= self.route.attempts {
            return std::future::pending().await;
        }
        let sent = Instant::now();
        loop {
            tokio::time::sleep(RESCUE_CHECK).await;
            let plain = !self.route.kind.is_stream();
            let slow = sent.elapsed() > self.route.objective.mul_f64(PLAIN_RESCUE);
            if (place.is_silent() || (plain && slow)) && self.may_repeat(node) {
                return;
            }
        }
    }

    fn failed(&mut self, node: &Node, place: Place, failure: Failure) -> Next {
        account::send_failed(node, self, &place.upstream, failure);
        place.end(failure.outcome());
        if failure.may_have_run() {
            return if failure == Failure::Abandoned || self.may_repeat(node) {
                Next::Again
            } else {
                Next::Refuse(self.broke(failure))
            };
        }
        self.runs -= 1;
        // A connection that could not be made reached no replica, so it draws on no budget.
        if failure == Failure::NotSent || self.take_repeat(node) {
            Next::Again
        } else {
            Next::Refuse(self.give_up(node))
        }
    }

    async fn answered(
        &mut self,
        node: &Rc<Node>,
        target: &Rc<Target>,
        place: Place,
        answer: Answer,
        active: &mut Option<Active>,
    ) -> Next {
        if self.route.kind.is_stream() && answer.head.status.is_success() {
            node.metrics.observe(Timing::First, self.received.elapsed());
            let life = self.take();
            let active = active.take();
            let response = relay::start(
                Rc::clone(node),
                life,
                Rc::clone(target),
                place,
                answer,
                active,
            );
            return Next::Answer(Box::new(response));
        }
        self.answered_whole(node, target, place, answer).await
    }

    /// Passes an answer on that is held until all of it is there.
    async fn answered_whole(
        &mut self,
        node: &Rc<Node>,
        target: &Rc<Target>,
        place: Place,
        answer: Answer,
    ) -> Next {
        let Answer {
            head,
            body,
            connection,
        } = answer;
        let body = tokio::select! {
            body = exchange::whole(body) => body,
            over = time_over(node, &self.route, self.received) => {
                return Next::Refuse(self.is_over(node, over));
            }
        };
        let Ok(body) = body else {
            return self.failed(node, place, Failure::Broken);
        };
        target.pool.keep(Instant::now(), connection, &head.headers);
        let failed = head.status.is_server_error();
        place.end(if failed {
            Outcome::Failed
        } else {
            Outcome::Served
        });
        if failed && self.may_repeat(node) {
            return Next::Again;
        }
        let first = self.received.elapsed();
        let status = head.status.as_u16();
        account::answered(
            node,
            self,
            &target.published.id,
            status,
            first,
            Duration::ZERO,
        );
        let mut response = Response::new(Body::whole(body));
        *response.status_mut() = head.status;
        *response.headers_mut() = node.dialect.answer(&head);
        Next::Answer(Box::new(response))
    }

    /// Moves this request's life into a relay.
    fn take(&mut self) -> Life {
        Life {
            call: std::mem::take(&mut self.call),
            head: self.head.clone(),
            body: self.body.clone(),
            received: self.received,
            suspended: self.suspended,
            route: Rc::clone(&self.route),
            organisation: self.organisation.clone(),
            service: self.service.clone(),
            tried: std::mem::take(&mut self.tried),
            runs: self.runs,
            waited: self.waited,
            charge: self.charge,
        }
    }

    fn is_over(&self, node: &Node, over: Over) -> Refusal {
        match over {
            Over::Route => self.too_late(),
            Over::Process => self.ends_with_process(node),
        }
    }

    /// The process ends before the request could. Another instance can answer what was not sent.
    fn ends_with_process(&self, node: &Node) -> Refusal {
        if self.runs > 0 {
            return Refusal::new(Kind::Deadline)
                .with_ran(Ran::Unknown)
                .with_message("this instance ends before the replica has answered");
        }
        self.uncharge(node);
        unavailable("this instance ends before the request had a place")
    }

    fn too_late(&self) -> Refusal {
        let ran = if self.runs > 0 { Ran::Unknown } else { Ran::No };
        let reason = format!(
            "the route's {} ms or the caller's {} are over after {} ms",
            self.route.timeout.as_millis(),
            self.call
                .deadline
                .map_or_else(|| "-".to_owned(), |d| d.as_millis().to_string()),
            self.received.elapsed().as_millis(),
        );
        Refusal::new(Kind::Deadline)
            .with_ran(ran)
            .with_message(reason)
    }

    /// The replica may have run the request, and no other one may try.
    fn broke(&self, failure: Failure) -> Refusal {
        let why = if !self.route.kind.repeatable() {
            "the route allows one run"
        } else if self.runs >= self.route.attempts {
            "all runs of the route are used"
        } else {
            "no time or no budget for another run"
        };
        Refusal::new(Kind::UpstreamBroke)
            .with_ran(Ran::Unknown)
            .with_message(format!("{}; {why}", failure.as_str()))
    }

    /// A place for the rest of a stream that broke off, by what holds now.
    pub async fn place_again(&mut self, node: &Rc<Node>) -> Option<(Place, Rc<Target>)> {
        self.follow_table(node);
        let now = Instant::now();
        let mut job = self.job(node);
        job.rank = (0, 0);
        job.due = now + self.route.longest_pause;
        job.give_up = now + PATIENCE.mul_f64(BEFORE_PATIENCE_ENDS);
        let place = node.place(job).await.ok()?;
        self.follow_table(node);
        let target = self.target(node, &place)?;
        Some((place, target))
    }

    /// Goes by the newest table. A stream whose route or key is no longer there ends by the rules
    /// under which it began.
    fn follow_table(&mut self, node: &Node) {
        let _ = self.check_again(node);
    }
}

/// An answer without content.
pub fn empty(status: http::StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
