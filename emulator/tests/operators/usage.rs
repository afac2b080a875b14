//! Help, usage errors and shell completion.

use insta::assert_snapshot;

use crate::jujube::Jujube;

#[test]
fn help_documents_the_exit_codes() {
    let output = Jujube::new("--help").run().expect_exit(0);

    assert_snapshot!(output.stdout);
}

#[test]
fn an_invalid_command_line_is_a_usage_error() {
    let invalid = [
        "",
        "catalogue",
        "catalogue check",
        "catalogue diff examples",
        "catalogue check --format xml examples",
        "catalogue apply --platform 127.0.0.1:1 --wait examples",
        "catalogue apply --platform 127.0.0.1:1 --base newest examples",
        "status",
    ];

    for args in invalid {
        Jujube::new(args).run().expect_exit(2);
    }
}

#[test]
fn shell_completion_is_available() {
    let output = Jujube::new("--bpaf-complete-style-bash")
        .run()
        .expect_exit(0);

    assert!(output.stdout.contains("jujube"), "{output:?}");
}
