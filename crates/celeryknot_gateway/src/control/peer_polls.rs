//! Polls peers for updates.

use std::rc::Rc;

use celeryknot_peers::relay::UpdatesClient;
use smol::LocalExecutor;

use super::Publisher;
use super::publisher::UpdateCursor;
use crate::peer_schedule::{PeerSchedule, PollStep, retry_delay};
use crate::platform_protocol::PlatformProtocol;

/// Polls the peer at a rank of the poll targets in a loop.
pub(super) async fn poll_peer<P: PlatformProtocol>(
    executor: Rc<LocalExecutor<'static>>,
    publisher: Rc<Publisher>,
    rank: usize,
) {
    let mut client: Option<UpdatesClient> = None;
    let mut cursor = UpdateCursor::default();
    let mut is_failing = false;
    let mut schedule = PeerSchedule::new(rank);
    loop {
        let address = match publisher.next_poll(&mut schedule) {
            PollStep::Poll(address) => address,
            PollStep::Pause(delay) => {
                smol::Timer::after(delay.as_std()).await;
                continue;
            }
        };
        let mut peer_client = match client.take() {
            Some(open) if open.address() == address => open,
            Some(_) | None => {
                cursor = UpdateCursor::default();
                UpdatesClient::new(&executor, address)
            }
        };
        let request =
            publisher.poll_request(publisher.poll_wait(), &cursor, schedule.reports_own());
        let sent = publisher.update_version();
        match peer_client.poll(request).await {
            Ok(reply) => {
                if std::mem::take(&mut is_failing) {
                    tracing::info!(peer = %address, "peer responds to polls again");
                }
                cursor = UpdateCursor {
                    sent,
                    received: reply.updates_version,
                };
                publisher.apply_reply::<P>(reply);
                client = Some(peer_client);
            }
            Err(error) => {
                if !std::mem::replace(&mut is_failing, true) {
                    tracing::warn!(peer = %address, %error, "a peer gives no news");
                }
                publisher.note_unresponsive(address);
                let delay = retry_delay(publisher.position().is_some());
                smol::Timer::after(delay.as_std()).await;
            }
        }
    }
}
