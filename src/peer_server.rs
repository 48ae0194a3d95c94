//! Takes messages of other entry instances over jsonrpsee; a stranger gets nothing.

use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::RpcModule;
use jsonrpsee::server::{HttpBody, HttpRequest, HttpResponse, Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INVALID_PARAMS_CODE;
use kingcupfield_decisions::configuration::ConfigurationMessage;
use subtle::ConstantTimeEq;
use tokio::time::timeout;
use tower::ServiceBuilder;
use tower_http::validate_request::{ValidateRequest, ValidateRequestHeaderLayer};

use crate::calls::{KEY, KeyQuestion, KeyReply, KeyRequest};
use crate::error::{Error, Refusal, RefusalKind, Result};
use crate::inbox::Inbox;
use crate::issue::issue_here;
use crate::keyed_run;
use crate::keys::KeysError;
use crate::logging::quote_value;
use crate::message::{Announcement, DELIVER, Envelope, PROTOCOL, VALUES};
use crate::peers::{MESSAGE_LIMIT, PeerToken};
use crate::shared::Shared;

/// Connections of peers at a time: each of 330 instances has one, and room for reconnects.
const MAX_CONNECTIONS: u32 = 1024;

/// How long a server that ends waits until its answers are written: they are ready, and only a
/// peer that reads nothing keeps them.
const ANSWERS_WITHIN: Duration = Duration::from_secs(5);

/// Lets only holders of the shared secret in.
#[derive(Debug, Clone)]
struct CheckToken {
    token: PeerToken,
}

impl<B> ValidateRequest<B> for CheckToken {
    type ResponseBody = HttpBody;

    fn validate(
        &mut self,
        request: &mut HttpRequest<B>,
    ) -> std::result::Result<(), HttpResponse<Self::ResponseBody>> {
        let given = request
            .headers()
            .get("authorization")
            .map_or(&b""[..], |v| v.as_bytes());
        if given.ct_eq(self.token.header().as_bytes()).into() {
            return Ok(());
        }
        log::warn!("event=stranger_refused");
        let mut rsp = HttpResponse::new(HttpBody::empty());
        *rsp.status_mut() = http::StatusCode::UNAUTHORIZED;
        Err(rsp)
    }
}

/// A running server for peers; it ends when stopped.
#[derive(Debug)]
pub struct PeerServer {
    local: SocketAddr,
    handle: ServerHandle,
}

impl PeerServer {
    /// Binds `address` and serves.
    pub async fn start(
        address: SocketAddr,
        token: PeerToken,
        inbox: Inbox,
        shared: Shared,
    ) -> Result<Self> {
        let wrap = |e| Error::io(format!("listen on {address}"), e);
        let cfg = ServerConfig::builder()
            .max_request_body_size(MESSAGE_LIMIT)
            .max_response_body_size(MESSAGE_LIMIT)
            .max_connections(MAX_CONNECTIONS)
            .set_tcp_no_delay(true)
            .build();
        let check = ValidateRequestHeaderLayer::custom(CheckToken { token });
        let server = Server::builder()
            .set_config(cfg)
            .set_http_middleware(ServiceBuilder::new().layer(check))
            .build(address)
            .await
            .map_err(wrap)?;
        let local = server.local_addr().map_err(wrap)?;
        Ok(Self {
            local,
            handle: server.start(module(inbox, shared)),
        })
    }

    /// The address with the port that the system chose.
    pub fn local(&self) -> SocketAddr {
        self.local
    }

    /// Ends the server: takes no further message, and waits until what it took is answered.
    ///
    /// A call that has ended is not told yet: its answer may still be on its way to the peer's
    /// connection, and a process that ended now would leave the peer with "unknown".
    pub async fn stop(self) {
        self.handle.stop().ok();
        if timeout(ANSWERS_WITHIN, self.handle.stopped())
            .await
            .is_err()
        {
            log::warn!("event=peers_cut reason=answers_not_taken");
        }
    }
}

/// What the methods need.
#[derive(Debug)]
struct PeerContext {
    inbox: Inbox,
    shared: Shared,
}

fn module(inbox: Inbox, shared: Shared) -> RpcModule<PeerContext> {
    let mut module = RpcModule::new(PeerContext { inbox, shared });
    register_keys(&mut module);
    module
        .register_method(
            DELIVER,
            |params, cx, _| -> std::result::Result<(), ErrorObjectOwned> {
                let bytes = cx.inbox.metrics.peer_bytes.with_label_values(&["received"]);
                bytes.inc_by(params.len_bytes() as u64);
                let envelope: Envelope =
                    params.one().map_err(|e| refused(DELIVER, e.to_string()))?;
                check_protocol(DELIVER, envelope.protocol)?;
                cx.inbox
                    .take(&envelope)
                    .map_err(|e| refused(DELIVER, e.to_string()))
            },
        )
        .expect("one registration");
    module
        .register_method(
            VALUES,
            |params, cx, _| -> std::result::Result<Vec<ConfigurationMessage>, ErrorObjectOwned> {
                let asked: Announcement =
                    params.one().map_err(|e| refused(VALUES, e.to_string()))?;
                check_protocol(VALUES, asked.protocol)?;
                Ok(cx.inbox.values(&asked.announce))
            },
        )
        .expect("one registration");
    module
}

fn register_keys(module: &mut RpcModule<PeerContext>) {
    module
        .register_async_method(KEY, |params, cx, _| async move {
            let asked: KeyRequest = params.one().map_err(|e| refused(KEY, e.to_string()))?;
            check_protocol(KEY, asked.protocol)?;
            answer_key(&cx.shared, asked.question)
                .await
                .map_err(|e| refused(KEY, e.to_string()))
        })
        .expect("one registration");
}

/// Answers a question about keys.
async fn answer_key(
    shared: &Shared,
    question: KeyQuestion,
) -> std::result::Result<KeyReply, Refusal> {
    let reply = match question {
        KeyQuestion::Call(keyed) => {
            let key = shared.keys.decode(&keyed.key, &keyed.organisation);
            let key =
                key.map_err(|e| Refusal::new(RefusalKind::BadRequest).with_message(e.to_string()))?;
            keyed_run::run(shared, &key, &keyed).await
        }
        KeyQuestion::LookUp(key) => KeyReply::Issuer(shared.keys.look_up(&key)),
        KeyQuestion::Witness { witness, message } => {
            KeyReply::Witness(shared.keys.on_witness(&witness, &message))
        }
        KeyQuestion::Inherit(estate) => {
            shared.keys.inherit(estate).map_err(given_up)?;
            KeyReply::Adopted
        }
        KeyQuestion::InheritWitness(estate) => {
            shared.keys.inherit_witness(estate).map_err(given_up)?;
            KeyReply::Adopted
        }
        KeyQuestion::Adopt(records) => {
            shared.keys.adopt(&records).map_err(given_up)?;
            KeyReply::Adopted
        }
        KeyQuestion::Issue(organisation) => KeyReply::Issued(issue_here(shared, &organisation)?),
    };
    Ok(reply)
}

fn given_up(e: KeysError) -> Refusal {
    Refusal::new(RefusalKind::Unavailable).with_message(e.to_string())
}

fn check_protocol(method: &str, protocol: u32) -> std::result::Result<(), ErrorObjectOwned> {
    if protocol == PROTOCOL {
        return Ok(());
    }
    Err(refused(
        method,
        format!("protocol {protocol}, this instance speaks {PROTOCOL}"),
    ))
}

fn refused(method: &str, reason: String) -> ErrorObjectOwned {
    log::warn!(
        "event=peer_message_refused method={method} reason={}",
        quote_value(&reason)
    );
    ErrorObjectOwned::owned(INVALID_PARAMS_CODE, reason, None::<()>)
}
