//! Questions to other instances that wait for an answer: everything about idempotency keys.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use jsonrpsee::core::client::{ClientT, Error as ClientError};
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::WsClient;
use kingcupfield_decisions::id::{InstanceId, OrganisationId, Rank, RequestId, ServiceId, TierId};
use kingcupfield_decisions::idempotency::{
    DispatchRights, EndedKeyRecord, IssuerReply, KeyId, WitnessHandover, WitnessReply,
    WitnessRequest,
};
use serde::{Deserialize, Serialize};

use crate::error::{Error, Refusal, RefusalKind, Result, RunStatus};
use crate::fleet::Fleet;
use crate::message::PROTOCOL;
use crate::peers::{PeerToken, connect};

/// Method that takes a [`KeyRequest`] and answers a [`KeyReply`].
pub const KEY: &str = "kingcup_key";

/// Connections kept to peers; an instance asks few of them.
const MAX_CLIENTS: usize = 512;

/// A question in the envelope of the protocol.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRequest {
    /// Version of the protocol.
    pub protocol: u32,
    /// The question.
    pub question: KeyQuestion,
}

/// A question about idempotency keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyQuestion {
    /// Run this call, or say what became of its key.
    Call(Box<KeyedCall>),
    /// What became of a key that was handed over?
    LookUp(KeyId),
    /// A question to a witness, or to the heir of one.
    Witness {
        /// The witness.
        witness: InstanceId,
        /// The question.
        message: WitnessRequest,
    },
    /// Take over records of a leaver.
    Adopt(Vec<EndedKeyRecord>),
    /// Take over the unused keys of a leaver.
    Inherit(DispatchRights),
    /// Take over the memory of a witness that leaves.
    InheritWitness(WitnessHandover),
    /// Issue a key, as the asked instance stays longer.
    Issue(OrganisationId),
}

/// The answer to a [`KeyQuestion`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyReply {
    /// Of the issuer or a successor.
    Issuer(IssuerReply),
    /// The call did not run for want of capacity or by a limit.
    Refused(KeyedRefusal),
    /// Of a witness.
    Witness(WitnessReply),
    /// The records were taken.
    Adopted,
    /// A key.
    Issued(String),
}

/// A refusal as it crosses between instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyedRefusal {
    /// Name of the kind.
    pub kind: String,
    /// What the caller reads.
    pub message: String,
    /// When the caller should come back.
    pub retry_after: Option<Duration>,
}

impl KeyedRefusal {
    /// Takes a refusal apart.
    pub fn new(refusal: &Refusal) -> Self {
        Self {
            kind: refusal.kind.error_response().name.to_owned(),
            message: refusal.message.clone(),
            retry_after: refusal.retry_after,
        }
    }

    /// The refusal; an unknown kind of a newer instance becomes "unavailable".
    pub fn into_refusal(self) -> Refusal {
        let kind = RefusalKind::from_name(&self.kind).unwrap_or(RefusalKind::Unavailable);
        let mut refusal = Refusal::new(kind)
            .with_message(self.message)
            .with_ran(RunStatus::No);
        refusal.retry_after = self.retry_after;
        refusal
    }
}

/// A call with a key as it is passed on to the key's issuer.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyedCall {
    /// Id that the receiving instance gave the request.
    pub request: RequestId,
    /// Text of the key.
    pub key: String,
    /// Whose it is; the receiving instance has authenticated it.
    pub organisation: OrganisationId,
    /// Weight of the organisation.
    pub weight: u32,
    /// Its tier.
    pub tier: TierId,
    /// Rank of its tier.
    pub rank: Rank,
    /// Number of the caller's attempt.
    pub attempt: u32,
    /// The service.
    pub service: ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path at the replica with the query.
    pub path: String,
    /// Value of `Content-Type`.
    pub content_type: Option<String>,
    /// The body, in base64.
    pub body: String,
    /// Time left until the caller's deadline when this was sent.
    pub time_left: Duration,
}

#[derive(Debug)]
struct Client {
    to: InstanceId,
    client: Arc<WsClient>,
}

/// Asks other instances; clones share the connections.
#[derive(Debug, Clone)]
pub struct Calls {
    token: PeerToken,
    fleet: Fleet,
    clients: Arc<Mutex<Vec<Client>>>,
}

impl Calls {
    /// Makes a caller without connections.
    pub fn new(token: PeerToken, fleet: Fleet) -> Self {
        Self {
            token,
            fleet,
            clients: Arc::default(),
        }
    }

    /// Asks `to` and waits for the answer, for ever if the link lasts: the asker sets the limit.
    pub async fn ask(&self, to: &InstanceId, question: KeyQuestion) -> Result<KeyReply> {
        let request = KeyRequest {
            protocol: PROTOCOL,
            question,
        };
        let client = self.client(to).await?;
        let answer = client.request(KEY, rpc_params![&request]).await;
        answer.map_err(|e: ClientError| {
            self.forget(to, &client);
            Error::Exchange {
                what: to.to_string(),
                reason: e.to_string(),
            }
        })
    }

    async fn client(&self, to: &InstanceId) -> Result<Arc<WsClient>> {
        if let Some(client) = self.known(to) {
            return Ok(client);
        }
        let snapshot = self.fleet.snapshot();
        let address = snapshot
            .entry(to)
            .and_then(|i| i.rpc_address.clone())
            .ok_or_else(|| Error::Exchange {
                what: to.to_string(),
                reason: "not in the list of instances".to_owned(),
            })?;
        let client = Arc::new(connect(&self.token, &address, LONGEST_ANSWER).await?);
        let mut clients = self
            .clients
            .lock()
            .expect("no holder of the clients panics");
        if clients.len() >= MAX_CLIENTS {
            clients.remove(0);
        }
        clients.push(Client {
            to: to.clone(),
            client: client.clone(),
        });
        Ok(client)
    }

    fn known(&self, to: &InstanceId) -> Option<Arc<WsClient>> {
        let mut clients = self
            .clients
            .lock()
            .expect("no holder of the clients panics");
        clients.retain(|c| c.client.is_connected());
        clients
            .iter()
            .find(|c| c.to == *to)
            .map(|c| c.client.clone())
    }

    /// A failed exchange may mean a half-open connection: the next question makes a new one.
    fn forget(&self, to: &InstanceId, client: &Arc<WsClient>) {
        let mut clients = self
            .clients
            .lock()
            .expect("no holder of the clients panics");
        clients.retain(|c| c.to != *to || !Arc::ptr_eq(&c.client, client));
    }
}

/// Longest time that an answer may take: the longest patience of a caller and a little more.
const LONGEST_ANSWER: Duration = Duration::from_mins(11);
