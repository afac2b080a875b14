//! Help, wrong command lines and completion.

use insta::assert_snapshot;

use crate::jujube::Jujube;

#[test]
fn help_documents_the_exit_codes() {
    let finding = Jujube::new("--help").run().exits(0);

    assert_snapshot!(finding.stdout);
}

#[test]
fn a_wrong_command_line_is_a_usage_error() {
    let wrong = [
        "",
        "catalogue",
        "catalogue check",
        "catalogue diff examples",
        "catalogue check --format xml examples",
        "catalogue apply --platform 127.0.0.1:1 --wait examples",
        "catalogue apply --platform 127.0.0.1:1 --base newest examples",
        "status",
    ];

    for words in wrong {
        Jujube::new(words).run().exits(2);
    }
}

#[test]
fn shells_can_complete() {
    let finding = Jujube::new("--bpaf-complete-style-bash").run().exits(0);

    assert!(finding.stdout.contains("jujube"), "{finding:?}");
}
