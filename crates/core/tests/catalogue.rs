//! Catalogue files: parsing, validation and merging.

use std::time::Duration;

use ibisspool_core::catalogue::{Catalogue, Class, File, Limits};

const VALID_FILE: &str = r#"
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

fn parse_valid(text: &str) -> File {
    File::parse(text).expect("the file is valid")
}

fn parse_error(text: &str) -> String {
    File::parse(text).map_or_else(|error| error.to_string(), |_file| "no error".to_owned())
}

fn validation_errors(text: &str) -> Vec<String> {
    let file = parse_valid(text);
    let validation_errors = file.errors_in_merged(&file.catalogue, limits());
    validation_errors.iter().map(ToString::to_string).collect()
}

#[test]
fn parsed_file_has_given_values_and_defaults_for_absent_fields() {
    let file = parse_valid(VALID_FILE);

    assert_eq!(validation_errors(VALID_FILE), Vec::<String>::new());
    let kind = file
        .catalogue
        .kind("plot-check")
        .expect("the file defines the kind");
    assert_eq!(kind.class, Class::Urgent);
    assert_eq!(kind.max_timeout_ms, 30_000);
}

#[test]
fn syntax_errors_name_line_field_and_remedy() {
    let unknown = parse_error(&VALID_FILE.replace("weight", "wieght"));
    let mistyped = parse_error(&VALID_FILE.replace("weight = 2", "weight = \"2\""));
    let missing = parse_error(&VALID_FILE.replace("owner = \"registry\"\n", ""));
    let unknown_class = parse_error(&VALID_FILE.replace("\"urgent\"", "\"fast\""));

    insta::assert_snapshot!([unknown, mistyped, missing, unknown_class].join("\n"), @r#"
    line 4, field wieght: unknown field `wieght`, expected one of `name`, `weight`, `max_running`, `max_rate`; correct its name or remove it
    line 4, field weight: invalid type: string "2", expected u32; correct the value; `ibisspool catalogue get` prints the catalogue in the right form
    line 6, [[kind]]: missing field `owner`; add the field to this table
    line 9, field class: unknown variant `fast`, expected `urgent` or `normal`; write one of these
    "#);
}

#[test]
fn values_out_of_range_name_line_field_and_remedy() {
    let text = format!(
        "{}max_running = 0\nmax_timeout_ms = 300001\nmax_input_bytes = 99999999\n",
        VALID_FILE
            .replace("weight = 2", "weight = 0")
            .replace("\"plot-check\"", "\"plot check\"")
    );

    let found = validation_errors(&text).join("\n");

    insta::assert_snapshot!(found, @r#"
    line 4, owner `registry`, field weight: 0 is out of range; write a whole number from 1 to 1000
    line 10, kind `plot check`, field max_running: 0 is out of range; write a whole number from 1 to 1000000
    line 12, kind `plot check`, field max_input_bytes: 99999999 is out of range; write a whole number from 1 to 16777216
    line 11, kind `plot check`, field max_timeout_ms: 300001 is out of range; write a whole number from 1 to 300000
    line 7, kind `plot check`, field name: `plot check` is not a name; write 1 to 64 letters, digits, dots, hyphens or underscores
    "#);
}

#[test]
fn duplicate_names_and_missing_owners_are_reported() {
    let duplicates = validation_errors(&format!("{VALID_FILE}{VALID_FILE}")).join("\n");
    let missing_owner =
        validation_errors("[[kind]]\nname = \"a\"\nowner = \"nobody\"\n").join("\n");

    insta::assert_snapshot!(format!("{duplicates}\n{missing_owner}"), @r#"
    line 3, owner `registry`, field name: the name is used twice; keep only one of the tables
    line 7, kind `plot-check`, field name: the name is used twice; keep only one of the tables
    line 3, kind `a`, field owner: there is no owner `nobody`; add an [[owner]] of that name
    "#);
}

#[test]
fn max_timeout_up_to_half_the_window_is_valid() {
    let with_timeout = |timeout| format!("{VALID_FILE}max_timeout_ms = {timeout}\n");

    assert!(validation_errors(&with_timeout(300_000)).is_empty());
    assert_eq!(validation_errors(&with_timeout(300_001)).len(), 1);
}

#[test]
fn merging_replaces_kinds_of_the_same_name_and_keeps_the_others() {
    let before = parse_valid(VALID_FILE).catalogue;
    let other = "[[kind]]\nname = \"audit\"\nowner = \"registry\"\n";
    let file = format!("{other}[[kind]]\nname = \"plot-check\"\nowner = \"registry\"\n");

    let after = before.merged(&parse_valid(&file).catalogue);

    let differences = before.differences(&after);
    assert_eq!(
        differences,
        [
            "add kind audit",
            "change kind plot-check: class \"urgent\" -> \"normal\""
        ]
    );
    assert_eq!(after.owners, before.owners);
}

#[test]
fn deleting_a_kind_keeps_everything_else() {
    let before = parse_valid(VALID_FILE).catalogue;

    let after = before.without_kind("plot-check").unwrap_or_default();

    assert_eq!(before.differences(&after), ["delete kind plot-check"]);
    assert_eq!(Catalogue::default().without_kind("plot-check"), None);
}
