//! The life of the process.

use super::*;

/// Reads the arguments, carries out the command, and returns its exit code.
pub fn run() -> ExitCode {
    let texts: Vec<String> = std::env::args().collect();
    let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
    let arguments = match command::Arguments::from_args(&["oleanderstage"], &texts[1..]) {
        Ok(arguments) => arguments,
        Err(early) => return leave(&early),
    };
    match execute(&arguments.command) {
        Ok(text) => {
            print(&text);
            Exit::Success.into()
        }
        Err(error) => {
            let exit = error.exit();
            eprintln!("{:?}", miette::Report::new(error));
            exit.into()
        }
    }
}

fn execute(command: &Command) -> Result<String, Error> {
    let runtime = tokio::runtime::Runtime::new().map_err(|cause| {
        Error::new(Exit::NotDone, format!("cannot start threads: {cause}"), "raise the limits")
    })?;
    runtime.block_on(command.run())
}

fn leave(early: &argh::EarlyExit) -> ExitCode {
    if early.status.is_ok() {
        print(&early.output);
        return Exit::Success.into();
    }
    eprintln!("{}\nRun `oleanderstage --help` for more.", early.output.trim_end());
    Exit::Usage.into()
}

/// Writes to standard output; a reader that has gone away is no error.
fn print(text: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{}", text.trim_end());
}
