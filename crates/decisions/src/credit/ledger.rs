//! Credit accounts of all organisations at one instance, and its requests to credit coordinators.

use std::time::Duration;

use tokio::time::Instant;

use super::account::{Account, Outcome, Waiting};
use super::accrual::{Accrual, Limit, Tolerance};
use super::batches::Batch;
use super::fleet_view::FleetView;
use super::running_time::RunningTime;
use super::sources::AccountContext;
use super::{Charge, Credit, GRANT_VALIDITY, Message, MessageNumber, Verdict};
use crate::id::{InstanceAddress, NameHash};

/// Time after which an unanswered coordinator, or the one that replaced it, is asked again.
const RESEND_AFTER: Duration = Duration::from_millis(100);

/// Longest time that a request waits at a coordinator, even if it asks for more.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Number of messages to one coordinator about a request before it is suspected.
const TRIES_PER_COORDINATOR: u32 = 2;

/// A coordinator that did not answer is not chosen for this long, or until a message from it
/// arrives.
const SUSPECT_FOR: Duration = Duration::from_secs(3);

/// An incarnation numbers its messages from `incarnation << SEQUENCE_BITS`.
const SEQUENCE_BITS: u32 = 32;

/// A request of this instance that waits for the verdict of a remote coordinator.
#[derive(Debug, Clone)]
struct Pending {
    number: MessageNumber,
    organisation: NameHash,
    charge: Charge,
    /// When the request was made.
    asked_first: Instant,
    /// Send times of its messages, in order.
    sent: Vec<Instant>,
    coordinator: InstanceAddress,
    /// Number of messages to the current coordinator since it last answered.
    unanswered_tries: u32,
    /// When the coordinator last confirmed that the request is queued; first, when the request was
    /// made.
    last_answer: Instant,
}

impl Pending {
    /// Whether no verdict can arrive in time any more.
    fn has_expired(&self, now: Instant) -> bool {
        now >= self.last_answer + GRANT_VALIDITY
            || now >= self.asked_first + self.charge.max_wait + GRANT_VALIDITY
    }

    /// Whether a grant for message number `tries` may still be used.
    fn is_grant_valid(&self, now: Instant, tries: u32) -> bool {
        let index = (tries as usize).checked_sub(1);
        let sent = index.and_then(|i| self.sent.get(i));
        sent.is_some_and(|sent| now < *sent + GRANT_VALIDITY)
    }
}

/// A verdict that was sent to another instance, kept to answer resent messages.
#[derive(Debug, Clone)]
struct Answered {
    member: InstanceAddress,
    number: MessageNumber,
    /// Highest `tries` of the messages received for the request.
    tries: u32,
    verdict: Verdict,
    /// When the verdict was first sent.
    at: Instant,
}

/// Credit of all organisations at one instance.
///
/// The caller fetches messages to send with [`Ledger::take_messages`] and verdicts with
/// [`Ledger::take_verdicts`].
#[derive(Debug, Clone)]
pub struct Ledger {
    /// Address of this instance.
    own: InstanceAddress,
    /// Span over which the operator counts usage.
    span: Duration,
    /// How far usage may exceed a limit within the span.
    tolerance: Tolerance,
    fleet: FleetView,
    running_time: RunningTime,
    /// When this instance first knew another one.
    others_known_since: Option<Instant>,
    /// Sorted by organisation.
    accounts: Vec<Account>,
    /// Requests of this instance that wait for a remote coordinator.
    pending: Vec<Pending>,
    /// Verdicts sent to other instances, kept for at least [`GRANT_VALIDITY`].
    answered: Vec<Answered>,
    /// Coordinators that did not answer, and until when they are not chosen.
    suspects: Vec<(InstanceAddress, Instant)>,
    /// Number of the last request or collection.
    last_number: MessageNumber,
    messages: Vec<(InstanceAddress, Message)>,
    verdicts: Vec<(MessageNumber, Verdict)>,
}

impl Ledger {
    /// Creates a ledger without credit; `incarnation` distinguishes its messages from those of
    /// earlier incarnations.
    pub fn new(own: InstanceAddress, incarnation: u64) -> Self {
        Self {
            own,
            span: Duration::from_secs(1),
            tolerance: Tolerance::default(),
            fleet: FleetView::default(),
            running_time: RunningTime::default(),
            others_known_since: None,
            accounts: Vec::new(),
            pending: Vec::new(),
            answered: Vec::new(),
            suspects: Vec::new(),
            last_number: incarnation << SEQUENCE_BITS,
            messages: Vec::new(),
            verdicts: Vec::new(),
        }
    }

    /// Sets the span over which the operator counts usage, and the tolerance within it.
    pub fn set_bounds(&mut self, span: Duration, tolerance: Tolerance) {
        self.span = span;
        self.tolerance = tolerance;
    }

    /// Updates the view of the fleet.
    pub fn set_fleet(&mut self, now: Instant, fleet: &FleetView) {
        self.running_time
            .observe(now, fleet.zone_size(), fleet.accrues_since);
        let knows_others = fleet.zones.iter().any(|z| !z.members.is_empty());
        if self.others_known_since.is_none() && knows_others {
            self.others_known_since = Some(now);
        }
        self.suspects.retain(|(_, until)| *until > now);
        if self.fleet != *fleet {
            for account in &mut self.accounts {
                account.sources.retain_reachable(fleet);
            }
            self.fleet.clone_from(fleet);
        }
    }

    /// Whether this instance accrues credit.
    pub fn accrues(&self) -> bool {
        self.fleet.accrues_since.is_some()
    }

    /// Asks for credit for a request. The verdict carries the returned number.
    pub fn request(
        &mut self,
        now: Instant,
        organisation: NameHash,
        limit: Limit,
        charge: Charge,
    ) -> MessageNumber {
        let number = self.next_number();
        let index = self.account_index(now, organisation);
        self.accounts[index].set_limit(limit, self.span, self.tolerance);
        let coordinator = self.coordinator(now, organisation);
        if coordinator == self.own {
            self.accounts[index].add_waiting(now, self.own, number, charge);
            self.serve(now, organisation);
            return number;
        }
        // Reuses credit that was refunded for requests that did not run.
        if let Some(batch) = self.accounts[index].batches.withdraw(now, charge.cost) {
            let left_ms = batch.left_ms(now);
            self.verdicts.push((number, Verdict::Granted { left_ms }));
            return number;
        }
        let pending = Pending {
            number,
            organisation,
            charge,
            asked_first: now,
            sent: vec![now],
            coordinator,
            unanswered_tries: 1,
            last_answer: now,
        };
        self.ask(now, &pending);
        self.pending.push(pending);
        number
    }

    /// Handles a message from another instance. `limit` is the limit of the organisation named in
    /// the message, if the table has one.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: InstanceAddress,
        message: Message,
        limit: Option<Limit>,
    ) {
        self.suspects.retain(|(m, _)| *m != from);
        match message {
            Message::Ask {
                number,
                organisation,
                cost,
                class,
                patience_ms,
                tries,
            } => {
                let charge = Charge {
                    cost,
                    priority_class: class,
                    max_wait: Duration::from_millis(u64::from(patience_ms)).min(MAX_WAIT),
                };
                self.on_ask(now, (from, number, tries), organisation, charge, limit);
            }
            Message::Held { number } => self.on_held(now, number),
            Message::Verdict {
                number,
                tries,
                verdict,
            } => self.on_verdict(now, number, tries, verdict),
            Message::Collect {
                number,
                organisation,
            } => self.on_collect(now, from, number, organisation),
            Message::Credit(credit) => self.on_credit(now, from, &credit),
        }
    }

    fn on_ask(
        &mut self,
        now: Instant,
        (from, number, tries): (InstanceAddress, MessageNumber, u32),
        organisation: NameHash,
        charge: Charge,
        limit: Option<Limit>,
    ) {
        self.answered.retain(|a| a.at + GRANT_VALIDITY > now);
        let same = |a: &&Answered| a.member == from && a.number == number;
        if let Some(answered) = self.answered.iter().find(same) {
            let message = Message::Verdict {
                number,
                tries: answered.tries,
                verdict: answered.verdict,
            };
            self.messages.push((from, message));
            return;
        }
        // Without a table this instance cannot act as coordinator; the sender asks another one.
        let Some(limit) = limit else {
            return;
        };
        if !charge.cost.is_finite() || charge.cost < 0.0 {
            return;
        }
        let index = self.account_index(now, organisation);
        let account = &mut self.accounts[index];
        account.set_limit(limit, self.span, self.tolerance);
        let waits = |w: &Waiting| w.member == from && w.number == number;
        if !account.waiting.iter().any(waits) {
            account.add_waiting(now, from, number, charge);
        }
        for waiting in account.waiting.iter_mut().filter(|w| waits(w)) {
            waiting.tries = waiting.tries.max(tries);
        }
        self.serve(now, organisation);
        let is_waiting = self.accounts[index].waiting.iter().any(waits);
        if is_waiting {
            self.messages.push((from, Message::Held { number }));
        }
    }

    fn on_held(&mut self, now: Instant, number: MessageNumber) {
        if let Some(pending) = self.pending.iter_mut().find(|p| p.number == number) {
            pending.unanswered_tries = 0;
            pending.last_answer = now;
        }
    }

    fn on_collect(
        &mut self,
        now: Instant,
        from: InstanceAddress,
        number: MessageNumber,
        organisation: NameHash,
    ) {
        let index = self.account_index(now, organisation);
        let is_coordinator = self.coordinator(now, organisation) == self.own;
        let cx = context(
            &self.fleet,
            &self.running_time,
            self.others_known_since.unwrap_or(now),
        );
        let credit = self.accounts[index].give_away(now, &cx, number, is_coordinator);
        self.messages.push((from, Message::Credit(credit)));
    }

    fn on_credit(&mut self, now: Instant, from: InstanceAddress, credit: &Credit) {
        let index = self.account_index(now, credit.organisation);
        let cx = context(
            &self.fleet,
            &self.running_time,
            self.others_known_since.unwrap_or(now),
        );
        if self.accounts[index].on_credit(now, &cx, from, credit) {
            self.serve(now, credit.organisation);
        }
    }

    fn on_verdict(&mut self, now: Instant, number: MessageNumber, tries: u32, verdict: Verdict) {
        let Some(index) = self.pending.iter().position(|p| p.number == number) else {
            return;
        };
        let pending = self.pending.swap_remove(index);
        let verdict = if pending.is_grant_valid(now, tries) {
            verdict
        } else {
            Verdict::Unanswered
        };
        self.verdicts.push((number, verdict));
    }

    /// Decides on waiting requests and resends unanswered messages. To be called every few
    /// milliseconds while the ledger is not idle.
    pub fn on_tick(&mut self, now: Instant) {
        let waits = |a: &Account| !a.waiting.is_empty();
        let waiting: Vec<NameHash> = self
            .accounts
            .iter()
            .filter(|a| waits(a))
            .map(|a| a.name)
            .collect();
        for organisation in waiting {
            self.serve(now, organisation);
        }
        for mut pending in std::mem::take(&mut self.pending) {
            if pending.has_expired(now) {
                self.verdicts.push((pending.number, Verdict::Unanswered));
                continue;
            }
            if pending
                .sent
                .last()
                .is_some_and(|sent| now < *sent + RESEND_AFTER)
            {
                self.pending.push(pending);
                continue;
            }
            pending.sent.push(now);
            pending.unanswered_tries += 1;
            if pending.unanswered_tries > TRIES_PER_COORDINATOR {
                self.suspects.push((pending.coordinator, now + SUSPECT_FOR));
            }
            pending.coordinator = self.coordinator(now, pending.organisation);
            if pending.coordinator == self.own {
                self.decide_locally(now, &pending);
            } else {
                self.ask(now, &pending);
                self.pending.push(pending);
            }
        }
    }

    /// Decides locally on a request that was sent to another coordinator before.
    fn decide_locally(&mut self, now: Instant, pending: &Pending) {
        let index = self.account_index(now, pending.organisation);
        self.accounts[index].add_waiting(now, self.own, pending.number, pending.charge);
        self.serve(now, pending.organisation);
    }

    /// Whether no request waits for a verdict, here or at a coordinator.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.accounts.iter().all(|a| a.waiting.is_empty())
    }

    /// Refunds the credit of a request that did not run.
    pub fn refund(&mut self, now: Instant, organisation: NameHash, batch: Batch) {
        let index = self.account_index(now, organisation);
        self.accounts[index].batches.add(now, batch);
    }

    /// Removes and returns the messages to send, with their receivers.
    pub fn take_messages(&mut self) -> Vec<(InstanceAddress, Message)> {
        std::mem::take(&mut self.messages)
    }

    /// Removes and returns the verdicts on requests of this instance.
    pub fn take_verdicts(&mut self) -> Vec<(MessageNumber, Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// The instance that coordinates an organisation's credit.
    pub fn coordinator(&self, now: Instant, organisation: NameHash) -> InstanceAddress {
        let usable = |m: InstanceAddress| {
            !self
                .suspects
                .iter()
                .any(|(s, until)| *s == m && *until > now)
        };
        self.fleet.coordinator(organisation, self.own, usable)
    }

    /// Fleet-wide accrual of an organisation, by the limit that was last applied.
    pub fn accrual(&self, organisation: NameHash) -> Option<Accrual> {
        let index = self.position(organisation).ok()?;
        Some(self.accounts[index].accrual())
    }

    /// Sends a request to its coordinator.
    fn ask(&mut self, now: Instant, pending: &Pending) {
        let waited = now.saturating_duration_since(pending.asked_first);
        let patience = pending.charge.max_wait.saturating_sub(waited);
        let message = Message::Ask {
            number: pending.number,
            organisation: pending.organisation,
            cost: pending.charge.cost,
            class: pending.charge.priority_class,
            patience_ms: patience.as_millis() as u32,
            tries: pending.sent.len() as u32,
        };
        self.messages.push((pending.coordinator, message));
    }

    /// Decides on the waiting requests of an organisation and sends the resulting verdicts and
    /// collections.
    fn serve(&mut self, now: Instant, organisation: NameHash) {
        let index = self.account_index(now, organisation);
        let cx = context(
            &self.fleet,
            &self.running_time,
            self.others_known_since.unwrap_or(now),
        );
        let Outcome { verdicts, collect } = self.accounts[index].serve(now, &cx);
        for (waiting, verdict) in verdicts {
            self.send_verdict(now, &waiting, verdict);
        }
        for member in collect {
            let number = self.next_number();
            let cx = context(
                &self.fleet,
                &self.running_time,
                self.others_known_since.unwrap_or(now),
            );
            let account = &mut self.accounts[index];
            let accrual = account.accrual();
            account
                .sources
                .record_sent(now, &cx, accrual, member, number);
            let message = Message::Collect {
                number,
                organisation,
            };
            self.messages.push((member, message));
        }
    }

    fn send_verdict(&mut self, now: Instant, waiting: &Waiting, verdict: Verdict) {
        let number = waiting.number;
        if waiting.member == self.own {
            self.verdicts.push((number, verdict));
            return;
        }
        self.answered.push(Answered {
            member: waiting.member,
            number,
            tries: waiting.tries,
            verdict,
            at: now,
        });
        let message = Message::Verdict {
            number,
            tries: waiting.tries,
            verdict,
        };
        self.messages.push((waiting.member, message));
    }

    fn next_number(&mut self) -> MessageNumber {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    fn position(&self, organisation: NameHash) -> Result<usize, usize> {
        self.accounts
            .binary_search_by_key(&organisation, |a| a.name)
    }

    /// Index of the account of an organisation, which is created if missing.
    fn account_index(&mut self, now: Instant, organisation: NameHash) -> usize {
        self.position(organisation).unwrap_or_else(|index| {
            self.accounts.insert(index, Account::new(now, organisation));
            index
        })
    }
}

fn context<'a>(
    fleet: &'a FleetView,
    running_time: &'a RunningTime,
    others_known_since: Instant,
) -> AccountContext<'a> {
    AccountContext {
        fleet,
        running_time,
        others_known_since,
    }
}
