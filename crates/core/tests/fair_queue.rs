//! Order in which the fair queue serves waiting tasks.

use ibisspool_core::catalogue::{Catalogue, Class, Kind, Owner};
use ibisspool_core::fair_queue::{Lane, MAX_URGENT_IN_A_ROW, Queue};

fn owner(name: &str, weight: u32) -> Owner {
    Owner {
        name: name.to_owned(),
        weight,
        max_running: None,
        max_rate: None,
    }
}

fn kind(name: &str, owner: &str, class: Class) -> Kind {
    Kind {
        name: name.to_owned(),
        owner: owner.to_owned(),
        class,
        max_running: None,
        max_rate: None,
        max_tasks: None,
        max_input_bytes: None,
        max_timeout_ms: 30_000,
        expected_run_ms: 100,
    }
}

fn catalogue() -> Catalogue {
    Catalogue {
        owners: vec![owner("light", 1), owner("heavy", 3)],
        kinds: vec![
            kind("quote", "light", Class::Urgent),
            kind("check", "heavy", Class::Urgent),
            kind("report", "light", Class::Normal),
        ],
    }
}

/// Pops up to `tasks` tasks and returns their jobs in order of service.
fn serve(queue: &mut Queue<u32>, tasks: usize) -> Vec<u32> {
    let mut served = Vec::new();
    while served.len() < tasks
        && let Some(flow) = queue.next_flow(|_, _| true)
    {
        served.extend(queue.pop(flow, 100.0).map(|(job, _index)| job));
    }
    served
}

#[test]
fn owners_with_waiting_tasks_are_served_in_proportion_to_their_weights() {
    let catalogue = catalogue();
    let mut queue = Queue::new();
    queue.push(1, 0..400, "quote", Lane::Long, 0, &catalogue);
    queue.push(2, 0..400, "check", Lane::Long, 0, &catalogue);

    let served = serve(&mut queue, 400);

    let served_of_heavy = served.iter().filter(|job| **job == 2).count();
    assert!((299..=301).contains(&served_of_heavy), "{served_of_heavy}");
}

#[test]
fn large_backlog_of_one_owner_does_not_delay_another_owner() {
    let catalogue = catalogue();
    let mut queue = Queue::new();
    queue.push(1, 0..4_000, "quote", Lane::Long, 0, &catalogue);
    serve(&mut queue, 100);
    queue.push(2, 0..3, "check", Lane::Short, 1_000_000, &catalogue);

    let served = serve(&mut queue, 5);

    assert_eq!(served.iter().filter(|job| **job == 2).count(), 3);
}

#[test]
fn owner_without_waiting_tasks_accumulates_no_claim_on_service() {
    let catalogue = catalogue();
    let mut queue = Queue::new();
    queue.push(1, 0..1_000, "quote", Lane::Long, 0, &catalogue);
    serve(&mut queue, 500);
    queue.push(2, 0..1_000, "check", Lane::Long, 0, &catalogue);

    let served = serve(&mut queue, 100);

    let served_of_light = served.iter().filter(|job| **job == 1).count();
    assert!((24..=26).contains(&served_of_light), "{served_of_light}");
}

#[test]
fn urgent_tasks_go_first_but_normal_tasks_do_not_starve() {
    let catalogue = catalogue();
    let mut queue = Queue::new();
    queue.push(1, 0..1_000, "report", Lane::Short, 0, &catalogue);
    queue.push(2, 0..1_000, "check", Lane::Short, 0, &catalogue);

    let served = serve(&mut queue, 160);

    let served_of_normal = served.iter().filter(|job| **job == 1).count();
    assert_eq!(served_of_normal, 160 / (MAX_URGENT_IN_A_ROW as usize + 1));
    assert!(
        served[..MAX_URGENT_IN_A_ROW as usize]
            .iter()
            .all(|job| *job == 2)
    );
}

#[test]
fn removed_job_is_not_served_and_other_jobs_are() {
    let catalogue = catalogue();
    let mut queue = Queue::new();
    queue.push(1, 0..10, "quote", Lane::Long, 0, &catalogue);
    queue.push(2, 0..10, "quote", Lane::Long, 1, &catalogue);

    queue.remove(1);
    let put_back = queue.put_back(1, 3);
    let served = serve(&mut queue, 100);

    assert!(!put_back);
    assert_eq!(served, [2; 10]);
    assert!(queue.is_empty());
}
