//! The streams between a daemon and its peers.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;

use async_channel::Sender;
use celeryknot_core::keyed_hash::KeyRing;
use celeryknot_core::{Incarnation, MemberName};
use celeryknot_fleet::Message;
use celeryknot_platform::ByteMeter;
use smol::{LocalExecutor, Task};

use crate::executor::LocalSpawner;
use crate::handshake::VersionRange;
use crate::{inbound, outbound};

/// This daemon's identity towards its peers.
#[derive(Debug, Clone)]
pub struct PeersConfig {
    /// This daemon's name.
    pub name: MemberName,
    /// This daemon's incarnation.
    pub incarnation: Incarnation,
    /// The keys with which daemons authenticate each other.
    pub keys: KeyRing,
    /// The protocol versions that this daemon supports.
    pub versions: VersionRange,
}

/// An event on a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerEvent {
    /// A stream to a peer was opened.
    Opened {
        /// The peer.
        name: MemberName,
    },
    /// A stream to a peer failed or could not be opened.
    Unreachable {
        /// The peer.
        name: MemberName,
    },
    /// An authenticated peer sent a message.
    Received {
        /// The peer.
        from: MemberName,
        /// The incarnation of the peer that sent it.
        incarnation: Incarnation,
        /// The message.
        message: Message,
    },
}

/// Maximum number of messages queued for one peer.
const LINK_QUEUE_LEN_MAX: usize = 64;

struct Link {
    address: SocketAddr,
    messages: Sender<Message>,
    _task: Task<()>,
}

/// The streams of one daemon; dropping it closes them.
pub struct Peers {
    config: Rc<PeersConfig>,
    executor: Rc<LocalExecutor<'static>>,
    events: Sender<PeerEvent>,
    meter: Arc<ByteMeter>,
    links: BTreeMap<MemberName, Link>,
    dropped_count: u64,
    _listener: Task<()>,
}

impl Peers {
    /// Starts accepting streams on a listening socket.
    pub fn start(
        executor: Rc<LocalExecutor<'static>>,
        listener: TcpListener,
        config: PeersConfig,
        events: Sender<PeerEvent>,
    ) -> eyre::Result<Self> {
        let config = Rc::new(config);
        let meter = Arc::new(ByteMeter::default());
        let listener = inbound::listen(
            &executor,
            listener,
            Rc::clone(&config),
            events.clone(),
            Arc::clone(&meter),
        )?;
        Ok(Self {
            config,
            executor,
            events,
            meter,
            links: BTreeMap::new(),
            dropped_count: 0,
            _listener: listener,
        })
    }

    /// Queues a message for a peer; opens a stream if there is none.
    ///
    /// A message is dropped when the queue is full: anti-entropy repairs the loss.
    pub fn send(&mut self, to: &MemberName, address: SocketAddr, message: Message) {
        let is_usable = self
            .links
            .get(to)
            .is_some_and(|link| link.address == address && !link.messages.is_closed());
        if !is_usable {
            self.links.retain(|_, link| !link.messages.is_closed());
            let link = self.open(to, address);
            self.links.insert(to.clone(), link);
        }
        if let Some(link) = self.links.get(to)
            && link.messages.try_send(message).is_err()
        {
            self.dropped_count += 1;
        }
    }

    fn open(&self, to: &MemberName, address: SocketAddr) -> Link {
        let (messages, queue) = async_channel::bounded(LINK_QUEUE_LEN_MAX);
        let link = outbound::OutboundLink {
            config: Rc::clone(&self.config),
            spawner: LocalSpawner(Rc::downgrade(&self.executor)),
            events: self.events.clone(),
            meter: Arc::clone(&self.meter),
            to: to.clone(),
            address,
            queue,
        };
        Link {
            address,
            messages,
            _task: self.executor.spawn(link.run()),
        }
    }

    /// Returns the byte counters of all streams.
    pub fn meter(&self) -> &ByteMeter {
        &self.meter
    }

    /// Returns how many messages were dropped because the queue was full.
    pub fn dropped_count(&self) -> u64 {
        self.dropped_count
    }
}
