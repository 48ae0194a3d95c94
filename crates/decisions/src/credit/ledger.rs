//! The credit of all organisations at one instance, and its requests for credit elsewhere.

use std::time::Duration;

use tokio::time::Instant;

use super::account::{Account, Outcome, Waiting};
use super::accrual::{Accrual, Limit, Tolerance};
use super::batches::Batch;
use super::fleet_view::FleetView;
use super::running_time::RunningTime;
use super::sources::Context;
use super::{Charge, Credit, GRANT_VALIDITY, Message, MessageNumber, Verdict};
use crate::id::{Member, ShortName};

/// Time after which a keeper that did not answer is asked again, or another one is.
const RESEND: Duration = Duration::from_millis(100);

/// Longest time that a request waits at a keeper, whatever it says.
const LONGEST_PATIENCE: Duration = Duration::from_secs(5);

/// How often one keeper is asked about a request.
const TRIES: u32 = 2;

/// A keeper that did not answer is passed over for so long, or until it is heard.
const SUSPECT: Duration = Duration::from_secs(3);

/// A life of an instance numbers its messages from `incarnation` times two to this power on.
const LIFE_BITS: u32 = 32;

/// A request of this instance that a keeper decides on.
#[derive(Debug, Clone)]
struct Pending {
    number: MessageNumber,
    organisation: ShortName,
    charge: Charge,
    began: Instant,
    /// When it was asked for.
    asked: Vec<Instant>,
    keeper: Member,
    /// How often its keeper was asked and said nothing.
    unheard: u32,
    heard: Instant,
}

impl Pending {
    fn is_over(&self, now: Instant) -> bool {
        now >= self.heard + GRANT_VALIDITY
            || now >= self.began + self.charge.max_wait + GRANT_VALIDITY
    }

    /// Whether credit that was granted upon one of its messages may still be used.
    fn is_in_time(&self, now: Instant, tries: u32) -> bool {
        let at = (tries as usize).checked_sub(1);
        let asked = at.and_then(|at| self.asked.get(at));
        asked.is_some_and(|asked| now < *asked + GRANT_VALIDITY)
    }
}

/// A verdict that was given to another instance.
#[derive(Debug, Clone)]
struct Answered {
    member: Member,
    number: MessageNumber,
    tries: u32,
    verdict: Verdict,
    at: Instant,
}

/// Credit at one instance.
///
/// Messages and verdicts are taken out with [`Ledger::take_messages`] and [`Ledger::take_verdicts`].
#[derive(Debug, Clone)]
pub struct Ledger {
    own: Member,
    span: Duration,
    tolerance: Tolerance,
    roster: FleetView,
    mint: RunningTime,
    /// When others were known first.
    since: Option<Instant>,
    accounts: Vec<Account>,
    pending: Vec<Pending>,
    answered: Vec<Answered>,
    suspects: Vec<(Member, Instant)>,
    next: MessageNumber,
    messages: Vec<(Member, Message)>,
    verdicts: Vec<(MessageNumber, Verdict)>,
}

impl Ledger {
    /// Has no credit; `incarnation` tells its messages from those of lives before.
    pub fn new(own: Member, incarnation: u64) -> Self {
        Self {
            own,
            span: Duration::from_secs(1),
            tolerance: Tolerance::default(),
            roster: FleetView::default(),
            mint: RunningTime::default(),
            since: None,
            accounts: Vec::new(),
            pending: Vec::new(),
            answered: Vec::new(),
            suspects: Vec::new(),
            next: incarnation << LIFE_BITS,
            messages: Vec::new(),
            verdicts: Vec::new(),
        }
    }

    /// Takes the span over which the operator counts, and what is tolerated in it.
    pub fn set_bounds(&mut self, span: Duration, tolerance: Tolerance) {
        self.span = span;
        self.tolerance = tolerance;
    }

    /// Takes the fleet as it is seen now.
    pub fn set_fleet(&mut self, now: Instant, roster: &FleetView) {
        self.mint
            .observe(now, roster.zone_size(), roster.accrues_since);
        let knows = roster.zones.iter().any(|z| !z.members.is_empty());
        if self.since.is_none() && knows {
            self.since = Some(now);
        }
        self.suspects.retain(|(_, until)| *until > now);
        if self.roster != *roster {
            for account in &mut self.accounts {
                account.sources.keep_members(roster);
            }
            self.roster.clone_from(roster);
        }
    }

    /// Whether this instance mints credit.
    pub fn accrues(&self) -> bool {
        self.roster.accrues_since.is_some()
    }

    /// Asks for credit for a request; the verdict bears the number.
    pub fn request(
        &mut self,
        now: Instant,
        organisation: ShortName,
        limit: Limit,
        charge: Charge,
    ) -> MessageNumber {
        let number = self.number();
        let at = self.account(now, organisation);
        self.accounts[at].set_limit(limit, self.span, self.tolerance);
        let keeper = self.coordinator(now, organisation);
        if keeper == self.own {
            self.accounts[at].wait(now, self.own, number, charge);
            self.serve(now, organisation);
            return number;
        }
        // Credit of requests that did not run.
        if let Some(lot) = self.accounts[at].lots.take(now, charge.cost) {
            let left_ms = lot.left_ms(now);
            self.verdicts.push((number, Verdict::Granted { left_ms }));
            return number;
        }
        let pending = Pending {
            number,
            organisation,
            charge,
            began: now,
            asked: vec![now],
            keeper,
            unheard: 1,
            heard: now,
        };
        self.ask(now, &pending);
        self.pending.push(pending);
        number
    }

    /// Takes a message; `limit` is that of the organisation that it names, if the table has one.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: Member,
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
                    max_wait: Duration::from_millis(u64::from(patience_ms)).min(LONGEST_PATIENCE),
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
        (from, number, tries): (Member, MessageNumber, u32),
        organisation: ShortName,
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
        // Without a table this instance is no keeper; the sender asks another one.
        let Some(limit) = limit else {
            return;
        };
        if !charge.cost.is_finite() || charge.cost < 0.0 {
            return;
        }
        let at = self.account(now, organisation);
        let account = &mut self.accounts[at];
        account.set_limit(limit, self.span, self.tolerance);
        let waits = |w: &Waiting| w.member == from && w.number == number;
        if !account.waiting.iter().any(waits) {
            account.wait(now, from, number, charge);
        }
        for waiting in account.waiting.iter_mut().filter(|w| waits(w)) {
            waiting.tries = waiting.tries.max(tries);
        }
        self.serve(now, organisation);
        let still = self.accounts[at].waiting.iter().any(waits);
        if still {
            self.messages.push((from, Message::Held { number }));
        }
    }

    fn on_held(&mut self, now: Instant, number: MessageNumber) {
        if let Some(pending) = self.pending.iter_mut().find(|p| p.number == number) {
            pending.unheard = 0;
            pending.heard = now;
        }
    }

    fn on_collect(
        &mut self,
        now: Instant,
        from: Member,
        number: MessageNumber,
        organisation: ShortName,
    ) {
        let at = self.account(now, organisation);
        let is_keeper = self.coordinator(now, organisation) == self.own;
        let cx = context(&self.roster, &self.mint, self.since.unwrap_or(now));
        let credit = self.accounts[at].give(now, &cx, number, is_keeper);
        self.messages.push((from, Message::Credit(credit)));
    }

    fn on_credit(&mut self, now: Instant, from: Member, credit: &Credit) {
        let at = self.account(now, credit.organisation);
        let cx = context(&self.roster, &self.mint, self.since.unwrap_or(now));
        if self.accounts[at].on_credit(now, &cx, from, credit) {
            self.serve(now, credit.organisation);
        }
    }

    fn on_verdict(&mut self, now: Instant, number: MessageNumber, tries: u32, verdict: Verdict) {
        let Some(at) = self.pending.iter().position(|p| p.number == number) else {
            return;
        };
        let pending = self.pending.swap_remove(at);
        let verdict = if pending.is_in_time(now, tries) {
            verdict
        } else {
            Verdict::Unanswered
        };
        self.verdicts.push((number, verdict));
    }

    /// Looks at what waits; to be called every few milliseconds while something does.
    pub fn on_tick(&mut self, now: Instant) {
        let waits = |a: &Account| !a.waiting.is_empty();
        let waiting: Vec<ShortName> = self
            .accounts
            .iter()
            .filter(|a| waits(a))
            .map(|a| a.name)
            .collect();
        for organisation in waiting {
            self.serve(now, organisation);
        }
        for mut pending in std::mem::take(&mut self.pending) {
            if pending.is_over(now) {
                self.verdicts.push((pending.number, Verdict::Unanswered));
                continue;
            }
            if pending.asked.last().is_some_and(|at| now < *at + RESEND) {
                self.pending.push(pending);
                continue;
            }
            pending.asked.push(now);
            pending.unheard += 1;
            if pending.unheard > TRIES {
                self.suspects.push((pending.keeper, now + SUSPECT));
            }
            pending.keeper = self.coordinator(now, pending.organisation);
            if pending.keeper == self.own {
                self.keep_own(now, &pending);
            } else {
                self.ask(now, &pending);
                self.pending.push(pending);
            }
        }
    }

    /// Decides here on a request of this instance that another one had been asked about.
    fn keep_own(&mut self, now: Instant, pending: &Pending) {
        let at = self.account(now, pending.organisation);
        self.accounts[at].wait(now, self.own, pending.number, pending.charge);
        self.serve(now, pending.organisation);
    }

    /// Whether nothing waits, here or elsewhere.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.accounts.iter().all(|a| a.waiting.is_empty())
    }

    /// Takes back the credit of a request that did not run.
    pub fn refund(&mut self, now: Instant, organisation: ShortName, lot: Batch) {
        let at = self.account(now, organisation);
        self.accounts[at].lots.add(now, lot);
    }

    /// Messages to send.
    pub fn take_messages(&mut self) -> Vec<(Member, Message)> {
        std::mem::take(&mut self.messages)
    }

    /// Verdicts on requests of this instance.
    pub fn take_verdicts(&mut self) -> Vec<(MessageNumber, Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// The instance that is asked for an organisation's credit.
    pub fn coordinator(&self, now: Instant, organisation: ShortName) -> Member {
        let usable = |m: Member| {
            !self
                .suspects
                .iter()
                .any(|(s, until)| *s == m && *until > now)
        };
        self.roster.coordinator(organisation, self.own, usable)
    }

    /// Credit of an organisation over the fleet, by the limit that was seen last.
    pub fn accrual(&self, organisation: ShortName) -> Option<Accrual> {
        let at = self.position(organisation).ok()?;
        Some(self.accounts[at].pace())
    }

    fn ask(&mut self, now: Instant, pending: &Pending) {
        let waited = now.saturating_duration_since(pending.began);
        let patience = pending.charge.max_wait.saturating_sub(waited);
        let message = Message::Ask {
            number: pending.number,
            organisation: pending.organisation,
            cost: pending.charge.cost,
            class: pending.charge.priority_class,
            patience_ms: patience.as_millis() as u32,
            tries: pending.asked.len() as u32,
        };
        self.messages.push((pending.keeper, message));
    }

    fn serve(&mut self, now: Instant, organisation: ShortName) {
        let at = self.account(now, organisation);
        let cx = context(&self.roster, &self.mint, self.since.unwrap_or(now));
        let Outcome { verdicts, collect } = self.accounts[at].serve(now, &cx);
        for (ask, verdict) in verdicts {
            self.tell(now, &ask, verdict);
        }
        for member in collect {
            let number = self.number();
            let cx = context(&self.roster, &self.mint, self.since.unwrap_or(now));
            let account = &mut self.accounts[at];
            let pace = account.pace();
            account.sources.on_sent(now, &cx, pace, member, number);
            let message = Message::Collect {
                number,
                organisation,
            };
            self.messages.push((member, message));
        }
    }

    fn tell(&mut self, now: Instant, ask: &Waiting, verdict: Verdict) {
        let number = ask.number;
        if ask.member == self.own {
            self.verdicts.push((number, verdict));
            return;
        }
        self.answered.push(Answered {
            member: ask.member,
            number,
            tries: ask.tries,
            verdict,
            at: now,
        });
        let message = Message::Verdict {
            number,
            tries: ask.tries,
            verdict,
        };
        self.messages.push((ask.member, message));
    }

    fn number(&mut self) -> MessageNumber {
        self.next = self.next.wrapping_add(1);
        self.next
    }

    fn position(&self, organisation: ShortName) -> Result<usize, usize> {
        self.accounts
            .binary_search_by_key(&organisation, |a| a.name)
    }

    fn account(&mut self, now: Instant, organisation: ShortName) -> usize {
        self.position(organisation).unwrap_or_else(|at| {
            self.accounts.insert(at, Account::new(now, organisation));
            at
        })
    }
}

fn context<'a>(roster: &'a FleetView, mint: &'a RunningTime, since: Instant) -> Context<'a> {
    Context {
        roster,
        mint,
        since,
    }
}
