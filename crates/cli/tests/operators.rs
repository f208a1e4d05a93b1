//! Runs the operators' commands as processes against a stand-in for the key-value service.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_standin::{
        Platform,
        faults::{Faults, Outage},
    },
    std::{fs, path::PathBuf, process::Output},
    tokio::process::Command,
};

const CONFIG: &str = r#"{ "teams": [
    { "name": "news", "quota": { "processors_milli": 64000, "memory_mib": 65536 } },
] } // one team"#;

struct Fixture {
    folder: PathBuf,
    transcript: Vec<String>,
    platform: Platform,
}

impl Fixture {
    async fn start(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&folder).unwrap();
        let platform = Platform::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        Self { folder, transcript: vec![], platform }
    }

    fn write_config(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Runs `oleanderstage` and records its arguments, output and exit code in the transcript.
    async fn run(&mut self, arguments: &str) {
        let output = command(&self.folder, &self.store_url(), arguments).output().await.unwrap();
        self.record(arguments, &output);
    }

    /// Adds a finished run to the transcript, with `STORE` for the address of the store.
    fn record(&mut self, arguments: &str, output: &Output) {
        let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
        let printed = format!("{}{}", text(&output.stdout), text(&output.stderr));
        let printed = printed.replace(&self.store_url(), "STORE");
        self.transcript.push(format!("$ oleanderstage {arguments}"));
        self.transcript.push(printed.trim_end().to_owned());
        self.transcript.push(format!("exit {}", output.status.code().unwrap()));
    }

    fn store_url(&self) -> String {
        format!("http://{}", self.platform.address())
    }

    fn set_faults(&self, faults: Faults) {
        self.platform.store().set_faults(faults);
    }

    async fn assert_snapshot(self, name: &str) {
        self.platform.stop().await;
        insta::with_settings!({ omit_expression => true }, {
            insta::assert_snapshot!(name, self.transcript.join("\n"));
        });
    }
}

/// Returns the command that runs `oleanderstage` in `folder`, with `store` in place of `STORE`.
fn command(folder: &PathBuf, store: &str, arguments: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oleanderstage"));
    command.current_dir(folder).env("NO_COLOR", "1").kill_on_drop(true);
    command.args(arguments.replace("STORE", store).split_whitespace());
    command
}

#[tokio::test]
async fn a_configuration_is_checked_compared_and_submitted() {
    let mut fixture = Fixture::start("submitted").await;
    fixture.write_config("one.jsonc", CONFIG);
    fixture.write_config("two.jsonc", &CONFIG.replace("64000", "32000"));
    fixture.run("check one.jsonc").await;
    fixture.run("diff one.jsonc --store STORE").await;
    fixture.run("submit one.jsonc --store STORE --submission s-1 --by ange").await;
    fixture.run("submit one.jsonc --store STORE --submission s-1 --by ange").await;
    fixture.run("diff two.jsonc --store STORE").await;
    fixture.run("submit two.jsonc --store STORE --submission s-2 --by bosco --base 1").await;
    fixture.run("submit one.jsonc --store STORE --submission s-3 --by ange --base 1").await;
    fixture.run("submit one.jsonc --store STORE --submission s-1 --by ange").await;
    fixture.assert_snapshot("submitted").await;
}

#[tokio::test]
async fn a_submission_survives_lost_answers() {
    let mut fixture = Fixture::start("lost").await;
    fixture.write_config("one.jsonc", CONFIG);
    fixture.set_faults(Faults { lose_answers: 2, ..Default::default() });
    fixture.run("submit one.jsonc --store STORE --submission s-1").await;
    let value = fixture.platform.store().peek("oleanderstage/config").unwrap();
    fixture.transcript.push(String::from_utf8(value).unwrap());
    fixture.assert_snapshot("lost").await;
}

#[tokio::test]
async fn an_outage_is_reported_and_changes_nothing() {
    let mut fixture = Fixture::start("outage").await;
    fixture.write_config("one.jsonc", CONFIG);
    fixture.set_faults(Faults { outage: Outage::Refusing, ..Default::default() });
    fixture.run("diff one.jsonc --store STORE").await;
    fixture.run("submit one.jsonc --store STORE --submission s-1").await;
    fixture.set_faults(Faults::default());
    assert_eq!(fixture.platform.store().peek("oleanderstage/config"), None);
    fixture.run("submit one.jsonc --store STORE --submission s-1").await;
    fixture.assert_snapshot("outage").await;
}

#[tokio::test]
async fn a_damaged_value_is_named_and_not_replaced() {
    let mut fixture = Fixture::start("damaged").await;
    fixture.write_config("one.jsonc", CONFIG);
    fixture.platform.store().put("oleanderstage/config", b"{\"revision\": \"new\"}");
    fixture.run("diff one.jsonc --store STORE").await;
    fixture.assert_snapshot("damaged").await;
}

#[tokio::test]
async fn wrong_input_changes_nothing() {
    let mut fixture = Fixture::start("wrong").await;
    fixture.write_config("empty.jsonc", "");
    fixture.write_config("team.jsonc", &CONFIG.replace("64000", "-1"));
    fixture.run("check none.jsonc").await;
    fixture.run("submit empty.jsonc --store STORE").await;
    fixture.run("submit team.jsonc --store STORE").await;
    fixture.run("submit team.jsonc").await;
    fixture.run("status http://127.0.0.1:1").await;
    fixture.run("keys --folder keys Entry").await;
    assert_eq!(fixture.platform.store().peek("oleanderstage/config"), None);
    fixture.assert_snapshot("wrong").await;
}

#[tokio::test]
async fn one_of_several_racing_submissions_wins() {
    let fixture = Fixture::start("race").await;
    fixture.write_config("one.jsonc", CONFIG);
    let mut submissions = vec![];
    for index in 0..6 {
        let arguments = format!("submit one.jsonc --store STORE --submission s-{index} --base 0");
        let mut command = command(&fixture.folder, &fixture.store_url(), &arguments);
        submissions.push(tokio::spawn(async move { command.output().await.unwrap() }));
    }
    let mut exits = vec![];
    for submission in submissions {
        exits.push(submission.await.unwrap().status.code().unwrap());
    }
    exits.sort_unstable();
    assert_eq!(exits, [0, 3, 3, 3, 3, 3]);
    fixture.platform.stop().await;
}

#[tokio::test]
async fn the_schema_matches_its_snapshot() {
    let mut fixture = Fixture::start("schema").await;
    fixture.run("schema").await;
    fixture.assert_snapshot("schema").await;
}
