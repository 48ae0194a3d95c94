//! Issues idempotency keys, and hands over what a leaving instance knows of them.

use std::time::Duration;

use kingcupfield_decisions::id::{InstanceId, OrganisationId};
use kingcupfield_decisions::idempotency::{ForwardNotice, KeysHandover};
use kingcupfield_decisions::ownership::ranked;
use tokio::time::{sleep, timeout};

use crate::calls::{KeyQuestion, KeyReply};
use crate::error::{Refusal, RefusalKind};
use crate::keyed::ask_witness;
use crate::keys::Legacy;
use crate::logging::quote_value;
use crate::shared::Shared;

/// How long another instance may take; it answers from memory.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);

/// Instances asked for what a leaver left; more than one, as views differ for a moment.
const HEIRS_ASKED: usize = 2;

/// How often a leaving instance looks whether its last keyed call has ended.
const UNDER_WAY_POLL: Duration = Duration::from_millis(50);

/// Issues a key, at another instance if this one is leaving: its own keys would end with it.
pub async fn issue(shared: &Shared, organisation: OrganisationId) -> Result<String, Refusal> {
    if let Some(successor) = successor(shared).filter(|_| shared.is_leaving()) {
        let asked = shared
            .calls
            .ask(&successor, KeyQuestion::Issue(organisation.clone()));
        if let Ok(Ok(KeyReply::Issued(key))) = timeout(ANSWER_WITHIN, asked).await {
            return Ok(key);
        }
    }
    issue_here(shared, &organisation)
}

/// Issues a key whose calls run through this instance.
pub fn issue_here(shared: &Shared, organisation: &OrganisationId) -> Result<String, Refusal> {
    let view = shared.members.view();
    let issued = shared.keys.issue(organisation, &shared.zone, &view);
    issued.map_err(|e| Refusal::new(RefusalKind::Unavailable).with_message(e.to_string()))
}

/// Hands the keys of a leaving instance to a successor, then tells the witnesses.
///
/// Rights and records are gone from here before they are sent, so never two instances may
/// dispatch; a hand-over that is lost ends like a dead issuer.
pub async fn hand_over(shared: &Shared) {
    // Calls that came through other instances run here as well. The door is shut before they are
    // counted: a call that came in after a look that found none would be cut with the process, and
    // while such calls go on coming no look would ever find none.
    shared.keys.close();
    while shared.keys.under_way() > 0 {
        sleep(UNDER_WAY_POLL).await;
    }
    let Some(successor) = successor(shared) else {
        shared.keys.shut();
        log::info!("event=keys_not_handed_over reason=alone");
        return;
    };
    let legacy = shared.keys.leave(&successor);
    let forwardings = give_all(shared, &successor, legacy).await;
    // A call that waits here would find the successor without its key if it was told earlier, and
    // have the key closed at its witness.
    shared.keys.shut();
    match forwardings {
        Ok(forwardings) => {
            for forwarding in forwardings {
                ask_witness(shared, &forwarding.to, forwarding.message).await;
            }
            log::info!("event=keys_handed_over successor={successor}");
        }
        Err(reason) => log::warn!(
            "event=keys_hand_over_lost successor={successor} reason={}",
            quote_value(reason)
        ),
    }
}

/// Sends everything to `successor`, and returns what the witnesses are to be told after that.
async fn give_all(
    shared: &Shared,
    successor: &InstanceId,
    legacy: Legacy,
) -> Result<Vec<ForwardNotice>, String> {
    let mut questions = Vec::new();
    let mut forwardings = Vec::new();
    for KeysHandover { rights, ended } in legacy.inheritances {
        questions.push(KeyQuestion::Inherit(rights));
        questions.extend(ended.records.into_iter().map(KeyQuestion::Adopt));
        forwardings.extend(ended.notices);
    }
    questions.extend(
        legacy
            .witnesses
            .into_iter()
            .map(KeyQuestion::InheritWitness),
    );
    for question in questions {
        give(shared, successor, question).await?;
    }
    Ok(forwardings)
}

async fn give(
    shared: &Shared,
    successor: &InstanceId,
    question: KeyQuestion,
) -> Result<(), String> {
    match timeout(ANSWER_WITHIN, shared.calls.ask(successor, question)).await {
        Ok(Ok(KeyReply::Adopted)) => Ok(()),
        Ok(Ok(_)) => Err("unexpected answer".to_owned()),
        Ok(Err(e)) => Err(e.to_string()),
        Err(_) => Err("timeout".to_owned()),
    }
}

/// Instances that may have taken over from `left`, most likely first.
///
/// A leaver picks its successor by the same rule; views may differ while news travels, so a few
/// are asked. One that took nothing over says so.
pub fn heirs(shared: &Shared, left: &InstanceId) -> Vec<InstanceId> {
    let view = shared.members.view();
    let zone = shared
        .fleet
        .snapshot()
        .entry(left)
        .map(|i| i.availability_zone.clone());
    let zone = zone.unwrap_or_else(|| shared.zone.clone());
    let near = others(view.live(&zone), left);
    let all: Vec<InstanceId> = view
        .live
        .iter()
        .flat_map(|z| others(&z.instances, left))
        .collect();
    let candidates = if near.is_empty() { all } else { near };
    ranked(left, &candidates)
        .into_iter()
        .take(HEIRS_ASKED)
        .cloned()
        .collect()
}

/// The live instance that takes over: one of this zone, else of any.
fn successor(shared: &Shared) -> Option<InstanceId> {
    heirs(shared, &shared.instance).into_iter().next()
}

fn others(live: &[InstanceId], left: &InstanceId) -> Vec<InstanceId> {
    live.iter().filter(|i| *i != left).cloned().collect()
}
