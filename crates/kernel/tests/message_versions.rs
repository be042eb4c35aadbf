//! Old and new processes run side by side while a deployment is replaced, so the bytes of a message
//! must not change within one version of the messages.

use std::sync::Arc;
use std::time::Duration;

use ibisspool_core::spool::job::{Id, Resources, TaskName};
use ibisspool_core::spool::message::{DispatchId, Order, Start, Timestamp, VERSION};

fn order() -> Order {
    Order {
        echoed_timestamp: Some(Timestamp(8_000)),
        sequence: 3,
        starts: vec![Start {
            ticket: DispatchId(5),
            name: TaskName {
                job: Id(0x5c0e_7a21_d94b_36f8),
                step: 1,
                index: 2,
            },
            spec: Arc::from("work"),
            needs: Resources {
                cpu_millicores: 1_600,
                memory_mb: 64,
                accelerators: 0,
            },
            estimate: Duration::from_millis(600),
            slack_us: -1_000,
            max_queue_time: Duration::from_millis(50),
            priority: 0,
            has_failed_elsewhere: false,
            service: Arc::from("desk"),
        }],
        cancels: vec![DispatchId(4)],
        out_of_service: None,
        members: Vec::new(),
        reduced_reporting: false,
    }
}

/// The order as 11070e7 encodes it, a version of the messages in which no label travels.
const ENCODED_ORDER: [u8; 51] = [
    1, 192, 62, 3, 1, 5, 248, 237, 172, 202, 157, 196, 158, 135, 92, 1, 2, 4, 119, 111, 114, 107,
    192, 12, 64, 0, 0, 128, 140, 141, 158, 2, 207, 15, 0, 128, 225, 235, 23, 0, 0, 4, 100, 101,
    115, 107, 1, 4, 0, 0, 0,
];

/// Guards against agents that cannot read the orders of entries that are not replaced yet. That an order
/// names no label means nothing: the agent goes by the report that it echoes.
#[test]
fn an_order_of_an_earlier_entry_is_understood() {
    let decoded: Order = postcard::from_bytes(&ENCODED_ORDER).expect("the order can be decoded");

    assert_eq!(decoded, order());
    assert_eq!(VERSION, 2);
}

/// Guards against entries whose orders agents that are not replaced yet cannot read.
#[test]
fn an_order_can_be_read_by_earlier_agents() {
    let encoded = postcard::to_stdvec(&order()).expect("the order can be encoded");

    assert_eq!(encoded, ENCODED_ORDER);
}
