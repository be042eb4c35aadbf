//! Catalogue files: reading, checking and merging.

use std::time::Duration;

use ibisspool_core::catalogue::{Catalogue, Class, File, Limits};

const GOOD: &str = r#"
[[owner]]
name = "registry"
weight = 2

[[kind]]
name = "plot-check"
owner = "registry"
class = "urgent"
"#;

fn limits() -> Limits {
    Limits {
        window: Duration::from_mins(10),
    }
}

fn parse(text: &str) -> File {
    File::parse(text).expect("the file has no mistakes")
}

fn fault(text: &str) -> String {
    File::parse(text).map_or_else(|fault| fault.to_string(), |_file| "no fault".to_owned())
}

fn faults(text: &str) -> Vec<String> {
    let file = parse(text);
    let faults = file.faults_in(&file.catalogue, limits());
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn file_gives_the_entries_with_defaults_for_the_rest() {
    let file = parse(GOOD);

    assert_eq!(faults(GOOD), Vec::<String>::new());
    let kind = file
        .catalogue
        .kind("plot-check")
        .expect("the kind was read");
    assert_eq!(kind.class, Class::Urgent);
    assert_eq!(kind.max_timeout_ms, 30_000);
}

#[test]
fn syntax_mistakes_name_line_field_and_remedy() {
    let unknown = fault(&GOOD.replace("weight", "wieght"));
    let mistyped = fault(&GOOD.replace("weight = 2", "weight = \"2\""));
    let missing = fault(&GOOD.replace("owner = \"registry\"\n", ""));
    let variant = fault(&GOOD.replace("\"urgent\"", "\"fast\""));

    insta::assert_snapshot!([unknown, mistyped, missing, variant].join("\n"), @r#"
    line 4, field wieght: unknown field `wieght`, expected one of `name`, `weight`, `max_running`, `max_rate`; correct its name or remove it
    line 4, field weight: invalid type: string "2", expected u32; correct the value; `ibisspool catalogue get` shows an entry in the right form
    line 6, [[kind]]: missing field `owner`; add the field to this entry
    line 9, field class: unknown variant `fast`, expected `urgent` or `normal`; write one of those
    "#);
}

#[test]
fn values_out_of_range_name_line_field_and_remedy() {
    let text = format!(
        "{}max_running = 0\nmax_timeout_ms = 300001\nmax_input_bytes = 99999999\n",
        GOOD.replace("weight = 2", "weight = 0")
            .replace("\"plot-check\"", "\"plot check\"")
    );

    let found = faults(&text).join("\n");

    insta::assert_snapshot!(found, @r#"
    line 4, owner `registry`, field weight: 0 is out of range; write a whole number from 1 to 1000
    line 10, kind `plot check`, field max_running: 0 is out of range; write a whole number from 1 to 1000000
    line 12, kind `plot check`, field max_input_bytes: 99999999 is out of range; write a whole number from 1 to 16777216
    line 11, kind `plot check`, field max_timeout_ms: 300001 is out of range; write a whole number from 1 to 300000
    line 7, kind `plot check`, field name: `plot check` is not a name; write 1 to 64 letters, digits, dots, hyphens or underscores
    "#);
}

#[test]
fn duplicates_and_missing_owners_are_mistakes() {
    let twice = faults(&format!("{GOOD}{GOOD}")).join("\n");
    let orphan = faults("[[kind]]\nname = \"a\"\nowner = \"nobody\"\n").join("\n");

    insta::assert_snapshot!(format!("{twice}\n{orphan}"), @r#"
    line 3, owner `registry`, field name: the name stands twice; keep one of the entries
    line 7, kind `plot-check`, field name: the name stands twice; keep one of the entries
    line 3, kind `a`, field owner: there is no owner `nobody`; add an [[owner]] of that name
    "#);
}

#[test]
fn timeout_of_half_the_window_is_allowed_and_more_is_not() {
    let with = |timeout| format!("{GOOD}max_timeout_ms = {timeout}\n");

    assert!(faults(&with(300_000)).is_empty());
    assert_eq!(faults(&with(300_001)).len(), 1);
}

#[test]
fn merging_replaces_named_entries_and_keeps_the_others() {
    let before = parse(GOOD).catalogue;
    let other = "[[kind]]\nname = \"audit\"\nowner = \"registry\"\n";
    let file = format!("{other}[[kind]]\nname = \"plot-check\"\nowner = \"registry\"\n");

    let after = before.merged(&parse(&file).catalogue);

    let lines = before.differences(&after);
    assert_eq!(
        lines,
        [
            "add kind audit",
            "change kind plot-check: class \"urgent\" -> \"normal\""
        ]
    );
    assert_eq!(after.owners, before.owners);
}

#[test]
fn deleting_a_kind_drops_it_alone() {
    let before = parse(GOOD).catalogue;

    let after = before.without_kind("plot-check").unwrap_or_default();

    assert_eq!(before.differences(&after), ["delete kind plot-check"]);
    assert_eq!(Catalogue::default().without_kind("plot-check"), None);
}
