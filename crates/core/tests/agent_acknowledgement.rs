//! What an entry acknowledges in its orders to an agent.

#[path = "fixture/cluster.rs"]
mod cluster;

use bytes::Bytes;
use cluster::{Cluster, cluster};
use ibisspool_core::entry::{Action, Event, Origin, Waiter};
use ibisspool_core::frame::Order;
use ibisspool_core::job::{Id, Spec, Task};
use std::time::Duration;

const IDLE_MS: u64 = 3_000;

/// An entry whose agent has ended one job.
fn after_one_job() -> Cluster {
    let mut cluster = cluster(&["a"]);
    cluster.run(2_000);
    let job = cluster.id_of(0, 0);
    cluster.submit(0, job);
    cluster.end(0, Task { job, index: 0 });
    cluster
}

fn handle(cluster: &mut Cluster, event: Event) -> Vec<Order> {
    let now = cluster.now(0);
    let mut actions = Vec::new();
    cluster.nodes[0].entry.handle(event, now, &mut actions);
    let order = |action| match action {
        Action::Order { order, .. } => Some(order),
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
    let (waiter, origin) = (Waiter(1_000_000), Origin::Caller);
    Event::Submit {
        waiter,
        spec,
        origin,
    }
}

#[test]
fn outcomes_are_acknowledged_once_by_an_order_of_their_own() {
    let mut cluster = after_one_job();
    let early = handle(&mut cluster, Event::Tick);
    cluster.millis += 1_000;

    let due = handle(&mut cluster, Event::Tick);
    let again = handle(&mut cluster, Event::Tick);

    let counts = |orders: &[Order]| orders.iter().map(|o| o.acknowledged).collect::<Vec<_>>();
    assert_eq!((counts(&early), counts(&due)), (vec![], vec![1]));
    assert_eq!(again, []);
}

#[test]
fn an_order_that_asks_for_a_stamp_acknowledges_nothing() {
    let mut cluster = after_one_job();
    cluster.millis += IDLE_MS;
    let (version, row) = cluster.row.clone();
    let sent = cluster.now(0).mono;
    handle(&mut cluster, Event::RowRead { sent, version, row });
    let job = cluster.id_of(0, 0);

    let orders = handle(&mut cluster, submission(job));

    let question = |order: &Order| {
        let blank = Order {
            agent_incarnation: order.agent_incarnation,
            epoch: order.epoch,
            ..Order::default()
        };
        *order == blank
    };
    assert!(orders.iter().any(question), "{orders:?}");
}
