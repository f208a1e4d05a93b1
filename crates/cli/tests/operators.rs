//! The operators' commands as processes, against a stand-in of the key-value service.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_standin::{
        Platform,
        faults::{Faults, Outage},
    },
    std::{fs, path::PathBuf, process::Output},
    tokio::process::Command,
};

const NEWS: &str = r#"{ "teams": [
    { "name": "news", "quota": { "processors_milli": 64000, "memory_mib": 65536 } },
] } // one team"#;

struct Bench {
    folder: PathBuf,
    lines: Vec<String>,
    platform: Platform,
}

impl Bench {
    async fn start(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&folder).unwrap();
        let platform = Platform::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        Self { folder, lines: vec![], platform }
    }

    fn config(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Runs `oleanderstage` and notes its exit code and what it printed.
    async fn run(&mut self, arguments: &str) {
        let output = spawn(&self.folder, &self.store(), arguments).output().await.unwrap();
        self.note(arguments, &output);
    }

    fn note(&mut self, arguments: &str, output: &Output) {
        let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
        let printed = format!("{}{}", text(&output.stdout), text(&output.stderr));
        let printed = printed.replace(&self.store(), "STORE");
        self.lines.push(format!("$ oleanderstage {arguments}"));
        self.lines.push(printed.trim_end().to_owned());
        self.lines.push(format!("exit {}", output.status.code().unwrap()));
    }

    fn store(&self) -> String {
        format!("http://{}", self.platform.address())
    }

    fn faults(&self, faults: Faults) {
        self.platform.store().set_faults(faults);
    }

    async fn check(self, name: &str) {
        self.platform.stop().await;
        insta::with_settings!({ omit_expression => true }, {
            insta::assert_snapshot!(name, self.lines.join("\n"));
        });
    }
}

fn spawn(folder: &PathBuf, store: &str, arguments: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oleanderstage"));
    command.current_dir(folder).env("NO_COLOR", "1").kill_on_drop(true);
    command.args(arguments.replace("STORE", store).split_whitespace());
    command
}

#[tokio::test]
async fn a_configuration_is_checked_compared_and_submitted() {
    let mut bench = Bench::start("submitted").await;
    bench.config("one.jsonc", NEWS);
    bench.config("two.jsonc", &NEWS.replace("64000", "32000"));
    bench.run("check one.jsonc").await;
    bench.run("diff one.jsonc --store STORE").await;
    bench.run("submit one.jsonc --store STORE --submission s-1 --by ange").await;
    bench.run("submit one.jsonc --store STORE --submission s-1 --by ange").await;
    bench.run("diff two.jsonc --store STORE").await;
    bench.run("submit two.jsonc --store STORE --submission s-2 --by bosco --base 1").await;
    bench.run("submit one.jsonc --store STORE --submission s-3 --by ange --base 1").await;
    bench.run("submit one.jsonc --store STORE --submission s-1 --by ange").await;
    bench.check("submitted").await;
}

#[tokio::test]
async fn lost_answers_are_found_out() {
    let mut bench = Bench::start("lost").await;
    bench.config("one.jsonc", NEWS);
    bench.faults(Faults { lose_answers: 2, ..Default::default() });
    bench.run("submit one.jsonc --store STORE --submission s-1").await;
    let value = bench.platform.store().peek("oleanderstage/config").unwrap();
    bench.lines.push(String::from_utf8(value).unwrap());
    bench.check("lost").await;
}

#[tokio::test]
async fn an_outage_is_told_with_what_was_not_done() {
    let mut bench = Bench::start("outage").await;
    bench.config("one.jsonc", NEWS);
    bench.faults(Faults { outage: Outage::Refusing, ..Default::default() });
    bench.run("diff one.jsonc --store STORE").await;
    bench.run("submit one.jsonc --store STORE --submission s-1").await;
    bench.faults(Faults::default());
    assert_eq!(bench.platform.store().peek("oleanderstage/config"), None);
    bench.run("submit one.jsonc --store STORE --submission s-1").await;
    bench.check("outage").await;
}

#[tokio::test]
async fn a_damaged_value_is_named_and_not_replaced() {
    let mut bench = Bench::start("damaged").await;
    bench.config("one.jsonc", NEWS);
    bench.platform.store().put("oleanderstage/config", b"{\"revision\": \"new\"}");
    bench.run("diff one.jsonc --store STORE").await;
    bench.check("damaged").await;
}

#[tokio::test]
async fn wrong_input_changes_nothing() {
    let mut bench = Bench::start("wrong").await;
    bench.config("empty.jsonc", "");
    bench.config("team.jsonc", &NEWS.replace("64000", "-1"));
    bench.run("check none.jsonc").await;
    bench.run("submit empty.jsonc --store STORE").await;
    bench.run("submit team.jsonc --store STORE").await;
    bench.run("submit team.jsonc").await;
    bench.run("status http://127.0.0.1:1").await;
    bench.run("keys --folder keys Entry").await;
    assert_eq!(bench.platform.store().peek("oleanderstage/config"), None);
    bench.check("wrong").await;
}

#[tokio::test]
async fn of_operators_that_race_one_wins_each_revision() {
    let bench = Bench::start("race").await;
    bench.config("one.jsonc", NEWS);
    let mut racers = vec![];
    for index in 0..6 {
        let arguments = format!("submit one.jsonc --store STORE --submission s-{index} --base 0");
        let mut command = spawn(&bench.folder, &bench.store(), &arguments);
        racers.push(tokio::spawn(async move { command.output().await.unwrap() }));
    }
    let mut exits = vec![];
    for racer in racers {
        exits.push(racer.await.unwrap().status.code().unwrap());
    }
    exits.sort_unstable();
    assert_eq!(exits, [0, 3, 3, 3, 3, 3]);
    bench.platform.stop().await;
}

#[tokio::test]
async fn the_schema_is_as_kept() {
    let mut bench = Bench::start("schema").await;
    bench.run("schema").await;
    bench.check("schema").await;
}
