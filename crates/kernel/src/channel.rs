//! Framed messages over TCP between processes of ibisspool.
//!
//! A frame is a 4-byte big-endian length and one message in the postcard encoding. gRPC streams
//! need several times as much processor time for each message, too much for VMs with a tenth of a
//! core.

use std::fmt;
use std::marker::PhantomData;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use ibisspool_core::spool::message::Part;
use serde::de::{DeserializeOwned, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use socket2::SockRef;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio_util::codec::{Decoder, FramedRead};

/// Largest accepted frame: room for a catalogue of a few thousand queues.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Largest accepted first frame of a connection, which only names the peer.
const MAX_FIRST_FRAME_BYTES: usize = 16 << 10;

const LENGTH_PREFIX_BYTES: usize = 4;

/// Time without a TCP acknowledgement of sent data after which the operating system
/// closes the connection (`TCP_USER_TIMEOUT`). It is half of the shortest time after which an agent
/// stops the tasks of an entry that has gone silent, so that a new connection is open before that.
const TCP_ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for one write, after which the connection to a peer that reads nothing is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why no message could be received.
#[derive(Debug, Error)]
pub enum Error {
    /// Reading from the connection failed.
    #[error("the connection broke: {0}; a new one is opened")]
    ConnectionLost(#[from] std::io::Error),
    /// The peer sent a frame that is not a message of the expected type.
    #[error("a message cannot be decoded: {0}; check that all processes run the same version")]
    MalformedMessage(#[from] postcard::Error),
    /// The peer sent nothing within the timeout.
    #[error("the peer sent no message in time; a new connection is opened")]
    ReceiveTimeout,
}

/// A message with an optional part behind it. It is encoded as the message alone if it has no part.
#[derive(Debug, Clone, PartialEq)]
pub struct WithPart<M, P> {
    /// The message.
    pub message: M,
    /// The part, `None` if the sender added none that this process knows.
    pub part: Option<P>,
}

impl<M, P> Serialize for WithPart<M, P>
where
    M: Serialize,
    P: Part + Serialize,
{
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        // Postcard writes the elements of a tuple one behind the other, without a length.
        let mut tuple = serializer.serialize_tuple(2)?;
        tuple.serialize_element(&self.message)?;
        if let Some(part) = &self.part {
            tuple.serialize_element(&(P::TAG, part))?;
        }
        tuple.end()
    }
}

impl<'de, M, P> Deserialize<'de> for WithPart<M, P>
where
    M: Deserialize<'de>,
    P: Part + Deserialize<'de>,
{
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_tuple(2, WithPartVisitor(PhantomData))
    }
}

struct WithPartVisitor<M, P>(PhantomData<(M, P)>);

impl<'de, M, P> Visitor<'de> for WithPartVisitor<M, P>
where
    M: Deserialize<'de>,
    P: Part + Deserialize<'de>,
{
    type Value = WithPart<M, P>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a message and an optional part")
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<Self::Value, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let message = seq
            .next_element()?
            .ok_or_else(|| serde::de::Error::invalid_length(0, &self))?;
        // The frame ends here if the sender added no part.
        let part = match seq.next_element::<(u8, P)>() {
            Ok(Some((tag, part))) if tag == P::TAG => Some(part),
            Ok(_) | Err(_) => None,
        };
        Ok(WithPart { message, part })
    }
}

/// Queues messages for a connection without waiting. Clones share the connection, and the
/// connection is closed for writing when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct Sender {
    frames: UnboundedSender<Bytes>,
}

impl Sender {
    /// Queues a message. If the connection has ended, the message is dropped: the [`Receiver`] of
    /// the same connection reports the end.
    pub fn send<M>(&self, message: &M)
    where
        M: Serialize,
    {
        match postcard::to_stdvec(message) {
            Ok(body) => {
                let mut frame = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + body.len());
                frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
                frame.extend_from_slice(&body);
                let _connection_ended = self.frames.send(frame.freeze());
            }
            Err(error) => log::error!("channel: Cannot encode a message. error={error}"),
        }
    }
}

/// Receives messages from a connection.
#[derive(Debug)]
pub struct Receiver {
    frames: FramedRead<OwnedReadHalf, FrameDecoder>,
}

/// Cuts frames out of the bytes that have arrived. Unlike the codec of `tokio_util`, it does not
/// reserve the length that a frame declares before its bytes arrive.
#[derive(Debug)]
struct FrameDecoder {
    max_bytes: usize,
}

impl Decoder for FrameDecoder {
    type Item = BytesMut;
    type Error = std::io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<BytesMut>, std::io::Error> {
        let Some(prefix) = src.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > self.max_bytes {
            return Err(std::io::Error::new(
                std::io::ErrorKind::InvalidData,
                format!("a frame of {length} bytes is over {}", self.max_bytes),
            ));
        }
        if src.len() - LENGTH_PREFIX_BYTES < length {
            return Ok(None);
        }
        src.advance(LENGTH_PREFIX_BYTES);
        Ok(Some(src.split_to(length)))
    }
}

impl Receiver {
    /// Limits the next frames to what a first message needs, until [`Receiver::allow_large_frames`].
    pub fn expect_first_message(&mut self) {
        self.frames.decoder_mut().max_bytes = MAX_FIRST_FRAME_BYTES;
    }

    /// Allows frames of full size from now on, since the peer is known.
    pub fn allow_large_frames(&mut self) {
        self.frames.decoder_mut().max_bytes = MAX_FRAME_BYTES;
    }

    /// Waits for the next message; returns `None` if the peer has closed the connection. After each
    /// `timeout`, `should_keep_waiting` gets the number of timeouts so far and says whether to wait
    /// as long again.
    ///
    /// # Errors
    /// Fails if the connection breaks, the message cannot be decoded, or none arrives in time.
    pub async fn receive_with_timeout<M, F>(
        &mut self,
        timeout: Duration,
        should_keep_waiting: F,
    ) -> Result<Option<M>, Error>
    where
        M: DeserializeOwned,
        F: Fn(u32) -> bool,
    {
        let mut timeouts = 0;
        loop {
            match tokio::time::timeout(timeout, self.receive()).await {
                Ok(received) => return received,
                Err(_elapsed) => timeouts += 1,
            }
            if !should_keep_waiting(timeouts) {
                return Err(Error::ReceiveTimeout);
            }
        }
    }

    /// Waits for the next message; returns `None` if the peer has closed the connection.
    ///
    /// # Errors
    /// Fails if the connection breaks or the message cannot be decoded.
    pub async fn receive<M>(&mut self) -> Result<Option<M>, Error>
    where
        M: DeserializeOwned,
    {
        match self.frames.next().await {
            Some(frame) => Ok(Some(postcard::from_bytes(&frame?)?)),
            None => Ok(None),
        }
    }
}

/// Splits a connection into its two directions and starts the task that writes. That task ends when
/// the last clone of the sender is dropped.
pub fn split(stream: TcpStream) -> (Sender, Receiver) {
    let socket = SockRef::from(&stream);
    let options_set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(TCP_ACK_TIMEOUT)));
    if let Err(error) = options_set {
        log::debug!("channel: Cannot set socket options. error={error}");
    }
    let (reader, writer) = stream.into_split();
    let decoder = FrameDecoder {
        max_bytes: MAX_FRAME_BYTES,
    };
    let (frames, queue) = unbounded_channel();
    spawn_local(write_frames(writer, queue));
    let receiver = Receiver {
        frames: FramedRead::new(reader, decoder),
    };
    (Sender { frames }, receiver)
}

/// Writes queued frames until every sender is dropped or a write fails. All frames in the queue go
/// out in one write, which saves system calls.
async fn write_frames(mut writer: OwnedWriteHalf, mut queue: UnboundedReceiver<Bytes>) {
    let mut batch = BytesMut::new();
    while let Some(frame) = queue.recv().await {
        batch.clear();
        batch.extend_from_slice(&frame);
        while let Ok(frame) = queue.try_recv() {
            batch.extend_from_slice(&frame);
        }
        let written = tokio::time::timeout(WRITE_TIMEOUT, writer.write_all(&batch)).await;
        if !matches!(written, Ok(Ok(()))) {
            log::debug!("channel: A write failed or timed out, so the connection is closed.");
            return;
        }
    }
}
