//! Questions to other instances about where a stream began.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::id::{NameHash, StreamKey};
use kingcupfield_decisions::software_versions::StreamOrigin;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::announcer::send;
use super::confirmed_sole_origin;
use crate::node::Node;
use crate::peers::StreamMessage;
use crate::tasks;

/// Time after which the instances that have not answered are asked again, as datagrams may be lost: two round
/// trips between regions.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(130);

/// Number of times that an instance is asked.
const TRIES: u32 = 3;

/// A question that waits for answers.
#[derive(Debug)]
struct Query {
    number: u32,
    /// Instances that have not answered.
    pending: Vec<Ipv4Addr>,
    answer_tx: oneshot::Sender<Option<StreamOrigin>>,
}

/// The questions of one instance that wait for answers.
#[derive(Debug, Default)]
pub struct Queries {
    waiting: Vec<Query>,
    last_number: u32,
}

impl Queries {
    /// Adds a question; returns its number and where its answer arrives.
    fn add(&mut self, asked: &[Ipv4Addr]) -> (u32, oneshot::Receiver<Option<StreamOrigin>>) {
        let (answer_tx, answer_rx) = oneshot::channel();
        self.last_number = self.last_number.wrapping_add(1);
        self.waiting.push(Query {
            number: self.last_number,
            pending: asked.to_vec(),
            answer_tx,
        });
        (self.last_number, answer_rx)
    }

    /// Instances that have not answered a question.
    fn pending(&self, number: u32) -> Vec<Ipv4Addr> {
        let query = self.waiting.iter().find(|q| q.number == number);
        query.map_or_else(Vec::new, |q| q.pending.clone())
    }

    /// Records an answer. The question ends with the first origin, or once all have answered without one.
    fn on_answer(&mut self, from: Ipv4Addr, number: u32, origin: Option<StreamOrigin>) {
        let Some(index) = self.waiting.iter().position(|q| q.number == number) else {
            return;
        };
        let query = &mut self.waiting[index];
        query.pending.retain(|asked| *asked != from);
        if origin.is_some() || query.pending.is_empty() {
            let query = self.waiting.swap_remove(index);
            // A caller that has left needs no answer.
            let _ = query.answer_tx.send(origin);
        }
    }

    fn remove(&mut self, number: u32) {
        self.waiting.retain(|q| q.number != number);
    }
}

/// Removes a question when its request ends.
struct QueryGuard<'a> {
    node: &'a Node,
    number: u32,
}

impl Drop for QueryGuard<'_> {
    fn drop(&mut self) {
        self.node.stream_queries.borrow_mut().remove(self.number);
    }
}

/// Asks other instances where a stream began, whose route leads to a service now.
pub(super) async fn ask(node: &Node, key: StreamKey, service: NameHash) -> Option<StreamOrigin> {
    let asked = node.peers.borrow().asked_for_stream(key);
    if asked.is_empty() {
        return None;
    }
    let (number, mut answer_rx) = node.stream_queries.borrow_mut().add(&asked);
    let _guard = QueryGuard { node, number };
    for _ in 0..TRIES {
        let pending = node.stream_queries.borrow().pending(number);
        for peer in pending {
            let message = StreamMessage::Ask {
                number,
                key,
                service,
            };
            send(node, peer, message);
        }
        if let Ok(answer) = timeout(ASK_AGAIN_AFTER, &mut answer_rx).await {
            return answer.ok().flatten();
        }
    }
    None
}

/// Applies a message of another instance.
pub fn on_message(node: &Rc<Node>, from: Ipv4Addr, message: StreamMessage) {
    match message {
        StreamMessage::Begun(streams) => {
            let now = Instant::now();
            let mut records = node.streams.borrow_mut();
            for (key, origin) in streams {
                records.learn(now, key, origin);
            }
        }
        StreamMessage::Ask {
            number,
            key,
            service,
        } => answer(node, from, number, key, service),
        StreamMessage::Answer { number, origin } => {
            let mut queries = node.stream_queries.borrow_mut();
            queries.on_answer(from, number, origin);
        }
    }
}

/// Answers a question, once the store has confirmed what the answer depends on.
fn answer(node: &Rc<Node>, to: Ipv4Addr, number: u32, key: StreamKey, service: NameHash) {
    let known = node.streams.borrow().origin(key);
    if known.is_some() {
        let origin = known;
        return send(node, to, StreamMessage::Answer { number, origin });
    }
    tasks::spawn(node, "stream_query", move |node| async move {
        let origin = confirmed_sole_origin(&node, service).await;
        send(&node, to, StreamMessage::Answer { number, origin });
    });
}
