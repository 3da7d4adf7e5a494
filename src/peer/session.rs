use std::sync::Arc;
use std::time::Duration;

use eyre::{Report, WrapErr, bail, eyre};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::ask::Ask;
use super::handle::{Answer, handle};
use super::report::make_report;
use super::{Hub, Link};
use crate::clock::{self, Instant};
use crate::collections::Map;
use crate::config::Voter;
use crate::wire::{Affirmation, Body, Frame, Hello, PROTOCOL, codec};

/// Time for the first message to arrive, and for any message to be written.
const IO_TIMEOUT: Duration = Duration::from_secs(2);

/// Silence after which a peer is given up. Evidence and loans have shorter times of their own.
const SILENCE: Duration = Duration::from_secs(10);

/// Time after which an idle connection carries an empty frame; at 136 instances a shorter one
/// would take much of the bytes for control.
const HEARTBEAT: Duration = Duration::from_secs(4);

/// Time between two pulls of one peer.
const PULL_EVERY: Duration = Duration::from_millis(500);

/// Rounds of which only one pulls while head reads are recent, since evidence from peers is
/// needed only when the store does not answer.
const IDLE_ROUNDS: u64 = 4;

/// Age of the last head read up to which it counts as recent; two rounds of pulls fit between it
/// and the end of the evidence.
const RECENT_READ: Duration = Duration::from_millis(1_500);

/// Peers pulled in each round, so that the load of a node does not grow with the fleet.
const PULL_FAN_OUT: usize = 8;

/// Bytes a second that the reports of a node to all its peers may take of the 6 KB/s for control.
const REPORT_BUDGET: u32 = 3_000;

/// Bytes that a frame costs beside its content: length, TCP and IP headers.
const FRAME_OVERHEAD: u32 = 56;

/// Shortest time between two reports to one peer.
const MIN_REPORT: Duration = Duration::from_millis(100);

type Stream = Framed<TcpStream, LengthDelimitedCodec>;

/// Questions to the peer that have no reply yet.
type Open = Map<u64, Question>;

enum Question {
    Pull(Instant),
    Ask(oneshot::Sender<Body>),
}

/// Runs one connection until it ends. `expected` is the name of the peer that was dialled.
pub(super) async fn session(
    hub: &Arc<Hub>,
    stream: TcpStream,
    expected: Option<&Arc<str>>,
) -> Result<(), Report> {
    let address = stream.peer_addr().wrap_err("step=peer-address")?;
    stream.set_nodelay(true).wrap_err("step=set-nodelay")?;
    let mut stream = Framed::new(stream, codec());
    send(hub, &mut stream, &Frame::tell(Body::Hello(hub.hello()))).await?;
    let hello = read_hello(&mut stream)
        .await
        .wrap_err_with(|| format!("peer={address}"))?;
    if hello.protocol != PROTOCOL {
        bail!(
            "step=hello peer={address} protocol={} accepted={PROTOCOL}",
            hello.protocol
        );
    }
    if expected.is_some_and(|name| **name != *hello.name) {
        bail!("step=hello peer={address} name={:?}", hello.name);
    }
    let voter = Voter::new(&hello.name, hello.incarnation);
    let (link, asks) = Link::new(voter, &hello.data_centre);
    if !hub.attach(&link) {
        bail!("step=hello peer={address} reason=old-incarnation");
    }
    log::info!(event = "peer-connected", peer = hello.name, incarnation = hello.incarnation; "");
    let result = talk(hub, &link, &mut stream, asks).await;
    hub.detach(&link, clock::now());
    result.wrap_err_with(|| format!("peer={}", hello.name))
}

async fn read_hello(stream: &mut Stream) -> Result<Hello, Report> {
    let bytes = timeout(IO_TIMEOUT, stream.next())
        .await
        .wrap_err("step=hello")?
        .ok_or_else(|| eyre!("step=hello reason=closed"))??;
    match Frame::read(&bytes)?.body {
        Some(Body::Hello(hello)) => Ok(hello),
        _ => bail!("step=hello reason=other-message"),
    }
}

async fn talk(
    hub: &Arc<Hub>,
    link: &Link,
    stream: &mut Stream,
    mut asks: mpsc::Receiver<Ask>,
) -> Result<(), Report> {
    let mut open = Open::default();
    let mut next_id = 0u64;
    let mut round = 0u64;
    let mut pulls = interval(PULL_EVERY);
    pulls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut report_at = tokio::time::Instant::now();
    let mut heard = tokio::time::Instant::now();
    let mut beat_at = heard + HEARTBEAT;
    let mut stop = hub.stopped();
    loop {
        tokio::select! {
            bytes = stream.next() => {
                let bytes = bytes.ok_or_else(|| eyre!("step=read reason=closed"))??;
                heard = tokio::time::Instant::now();
                let frame = Frame::read(&bytes)?;
                if let Some(reply) = receive(hub, link, &mut open, frame)? {
                    send(hub, stream, &reply).await?;
                }
            }
            ask = asks.recv() => {
                let Some(ask) = ask else { return Ok(()) };
                next_id += 1;
                let id = if ask.reply.is_some() { next_id } else { 0 };
                if let Some(reply) = ask.reply {
                    open.insert(id, Question::Ask(reply));
                }
                send(hub, stream, &Frame { id, reply: false, body: Some(ask.body) }).await?;
            }
            _ = pulls.tick() => {
                open.retain(|_, question| is_open(question, clock::now()));
                round += 1;
                if is_due(hub, round) && is_pulled(hub, link, round) {
                    next_id += 1;
                    open.insert(next_id, Question::Pull(clock::now()));
                    let body = Some(Body::Pull(true));
                    send(hub, stream, &Frame { id: next_id, reply: false, body }).await?;
                }
            }
            () = tokio::time::sleep_until(report_at) => {
                let frame = Frame::tell(Body::Report(make_report(hub)));
                send(hub, stream, &frame).await?;
                let now = tokio::time::Instant::now();
                report_at = now + pace(hub.links().len(), &frame);
                beat_at = now + HEARTBEAT;
            }
            () = tokio::time::sleep_until(beat_at) => {
                beat_at += HEARTBEAT;
                send(hub, stream, &Frame::default()).await?;
            }
            () = tokio::time::sleep_until(heard + SILENCE) => bail!("step=read reason=silent"),
            _ = stop.changed() => {
                // What was queued before the stop still goes out.
                while let Ok(ask) = asks.try_recv() {
                    send(hub, stream, &Frame::tell(ask.body)).await?;
                }
                return Ok(());
            }
        }
    }
}

/// Takes one frame and returns what to send back.
fn receive(
    hub: &Arc<Hub>,
    link: &Link,
    open: &mut Open,
    frame: Frame,
) -> Result<Option<Frame>, Report> {
    let now = clock::now();
    let Some(body) = frame.body else {
        return Ok(None);
    };
    if frame.reply {
        match (open.remove(&frame.id), body) {
            (Some(Question::Pull(sent)), Body::Affirmation(affirmation)) => {
                take_affirmation(hub, affirmation, sent, now)?;
            }
            (Some(Question::Ask(reply)), body) => drop(reply.send(body)),
            _ => {}
        }
        return Ok(None);
    }
    let answer = handle(hub, link, body, now)?;
    Ok(match answer {
        Answer::None => None,
        Answer::Tell(body) => Some(Frame::tell(body)),
        Answer::Reply(body) => Some(Frame {
            id: frame.id,
            reply: true,
            body: Some(body),
        }),
    })
}

fn take_affirmation(
    hub: &Hub,
    affirmation: Affirmation,
    sent: Instant,
    now: Instant,
) -> Result<(), Report> {
    let affirmation = affirmation.try_into()?;
    let wants = hub.control().act(now, |state| {
        state.on_ages(now, sent, &affirmation);
        !state.wants().is_empty()
    });
    if wants {
        hub.wants().notify_one();
    }
    Ok(())
}

/// Whether a question may still get its reply; evidence older than the freshness is worth nothing.
fn is_open(question: &Question, now: Instant) -> bool {
    match question {
        Question::Pull(sent) => now.since(*sent) < crate::config::FRESHNESS,
        Question::Ask(reply) => !reply.is_closed(),
    }
}

/// Returns whether a round of pulls is needed.
fn is_due(hub: &Hub, round: u64) -> bool {
    let read = hub.control().read(|state| state.head_read());
    let recent = read.is_some_and(|at| clock::now().since(at) <= RECENT_READ);
    !recent || round.is_multiple_of(IDLE_ROUNDS)
}

/// Chooses the peers of a round: all of a few, a changing part of many.
fn is_pulled(hub: &Hub, link: &Link, round: u64) -> bool {
    let count = hub.links().len();
    if count <= PULL_FAN_OUT {
        return true;
    }
    let seed = link.voter().name.bytes().fold(round, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    });
    (seed >> 20) % (count as u64) < PULL_FAN_OUT as u64
}

/// Returns the time until the next report to one of `peers`, so that all stay in the budget.
fn pace(peers: usize, frame: &Frame) -> Duration {
    let length = u32::try_from(frame.encoded_len()).unwrap_or(u32::MAX);
    let cost = length
        .saturating_add(FRAME_OVERHEAD)
        .saturating_mul(u32::try_from(peers).unwrap_or(u32::MAX));
    Duration::from_secs_f64(f64::from(cost) / f64::from(REPORT_BUDGET)).max(MIN_REPORT)
}

async fn send(hub: &Hub, stream: &mut Stream, frame: &Frame) -> Result<(), Report> {
    let bytes = frame.write();
    hub.count_sent(bytes.len() + FRAME_OVERHEAD as usize);
    timeout(IO_TIMEOUT, stream.send(bytes))
        .await
        .wrap_err("step=write")?
        .wrap_err("step=write")
}
