//! Framed messages over TCP between processes of ibisspool.
//!
//! A frame is a length and one message in the postcard encoding. Streams of gRPC cost several
//! times as much processor time for each message, which VMs with a tenth of a core do not have.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::SockRef;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

/// Most bytes of a frame: a catalogue of a few thousand queues.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Bytes of a frame's length.
const LENGTH_PREFIX_BYTES: usize = 4;

/// A peer that acknowledges nothing for this long is given up: half of the silence bound of the
/// shortest deployment, so that a new connection is open before tasks have to stop.
const TCP_ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for one write; a peer that reads nothing is given up then.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a message could not be read.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection broke.
    #[error("the connection broke: {0}; a new one is opened")]
    ConnectionLost(#[from] std::io::Error),
    /// The peer sent something else than a message.
    #[error("a message cannot be decoded: {0}; check that all processes run the same version")]
    MalformedMessage(#[from] postcard::Error),
    /// The peer sent nothing for too long.
    #[error("the peer was silent; a new connection is opened")]
    ReceiveTimeout,
}

/// Sends messages without waiting. Clones share the connection.
#[derive(Debug, Clone)]
pub struct Sender {
    frames: UnboundedSender<Bytes>,
}

impl Sender {
    /// Queues a message; one to a connection that has ended is dropped, its end is seen by the
    /// receiver.
    pub fn send<M>(&self, message: &M)
    where
        M: Serialize,
    {
        match postcard::to_stdvec(message) {
            Ok(body) => {
                let mut frame = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + body.len());
                frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
                frame.extend_from_slice(&body);
                let _if_writer_lives = self.frames.send(frame.freeze());
            }
            Err(error) => log::error!("channel: Cannot encode a message. error={error}"),
        }
    }
}

/// Receives messages.
#[derive(Debug)]
pub struct Receiver {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
}

impl Receiver {
    /// Waits for the next message; `None` if the peer has ended the connection. After each `silence`
    /// without one, `goes_on` says whether to wait as long again, by the number of silences so far.
    ///
    /// # Errors
    /// Fails if the connection breaks, a message is malformed, or the peer was silent for too long.
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

    /// Waits for the next message; `None` if the peer has ended the connection.
    ///
    /// # Errors
    /// Fails if the connection breaks or a message is malformed.
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

/// Splits a connection into its two directions. The writer ends with the last clone of the sender.
pub fn split(stream: TcpStream) -> (Sender, Receiver) {
    let socket = SockRef::from(&stream);
    let set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(TCP_ACK_TIMEOUT)));
    if let Err(error) = set {
        log::debug!("channel: Cannot set socket options. error={error}");
    }
    let (reader, writer) = stream.into_split();
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let (frames, queue) = unbounded_channel();
    spawn_local(write(writer, queue));
    let receiver = Receiver {
        frames: FramedRead::new(reader, codec),
    };
    (Sender { frames }, receiver)
}

/// Writes frames; all that wait go out in one write.
async fn write(mut writer: OwnedWriteHalf, mut queue: UnboundedReceiver<Bytes>) {
    let mut batch = BytesMut::new();
    while let Some(frame) = queue.recv().await {
        batch.clear();
        batch.extend_from_slice(&frame);
        while let Ok(frame) = queue.try_recv() {
            batch.extend_from_slice(&frame);
        }
        let written = tokio::time::timeout(WRITE_TIMEOUT, writer.write_all(&batch)).await;
        if !matches!(written, Ok(Ok(()))) {
            log::debug!("channel: A connection takes no more.");
            return;
        }
    }
}
