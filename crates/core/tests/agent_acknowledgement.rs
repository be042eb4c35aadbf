//! Acknowledgement of outcomes in the orders that an entry sends to an agent.

#[path = "fixture/cluster.rs"]
mod cluster;

use bytes::Bytes;
use cluster::{Cluster, cluster};
use ibisspool_core::entry::{Action, Event, Origin, WaiterId};
use ibisspool_core::frame::Order;
use ibisspool_core::job::{Id, Spec, Task};
use std::time::Duration;

const AGENT_IDLE_MS: u64 = 3_000;

/// Returns a cluster of one entry whose agent has reported the outcome of one job.
fn cluster_after_one_job() -> Cluster {
    let mut cluster = cluster(&["a"]);
    cluster.advance_ms(2_000);
    let job = cluster.id_of(0, 0);
    cluster.submit(0, job);
    cluster.end(0, Task { job, index: 0 });
    cluster
}

/// Passes an event to the entry and returns the orders that it sends.
fn handle(cluster: &mut Cluster, event: Event) -> Vec<Order> {
    let now = cluster.now(0);
    let mut actions = Vec::new();
    cluster.nodes[0].entry.handle(event, now, &mut actions);
    let order = |action| match action {
        Action::SendOrder { order, .. } => Some(order),
        _ => None,
    };
    actions.into_iter().filter_map(order).collect()
}

fn submission(id: Id) -> Event {
    let spec = Spec {
        id,
        kind: "check".to_owned(),
        inputs: vec![Bytes::from_static(b"0")],
        timeout: Duration::from_secs(30),
        idempotent: false,
    };
    let (waiter, origin) = (WaiterId(1_000_000), Origin::Caller);
    Event::Submit {
        waiter,
        spec,
        origin,
    }
}

#[test]
fn outcomes_are_acknowledged_once_by_a_separate_order_if_no_other_is_sent() {
    let mut cluster = cluster_after_one_job();
    let before_delay = handle(&mut cluster, Event::Tick);
    cluster.elapsed_ms += 1_000;

    let after_delay = handle(&mut cluster, Event::Tick);
    let repeated = handle(&mut cluster, Event::Tick);

    let acknowledged = |orders: &[Order]| {
        orders
            .iter()
            .map(|order| order.acknowledged)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        (acknowledged(&before_delay), acknowledged(&after_delay)),
        (vec![], vec![1])
    );
    assert_eq!(repeated, []);
}

#[test]
fn order_that_asks_for_a_stamp_carries_no_acknowledgement() {
    let mut cluster = cluster_after_one_job();
    cluster.elapsed_ms += AGENT_IDLE_MS;
    let (version, row) = cluster.row.clone();
    let sent = cluster.now(0).mono;
    handle(&mut cluster, Event::RowRead { sent, version, row });
    let job = cluster.id_of(0, 0);

    let orders = handle(&mut cluster, submission(job));

    let is_empty_order = |order: &Order| {
        let empty_order = Order {
            agent_incarnation: order.agent_incarnation,
            epoch: order.epoch,
            ..Order::default()
        };
        *order == empty_order
    };
    assert!(orders.iter().any(is_empty_order), "{orders:?}");
}
