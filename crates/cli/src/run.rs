//! The run of the process, from its arguments to its exit code.

use super::*;

/// Parses the arguments, runs the command, prints its output or error, and returns the exit code.
pub fn run() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let arguments = match command::Arguments::from_args(&["oleanderstage"], &args[1..]) {
        Ok(arguments) => arguments,
        Err(early) => return exit_early(&early),
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
        Error::new(
            Exit::NotDone,
            format!("cannot start threads: {cause}"),
            "raise the limits on threads and open files",
        )
    })?;
    runtime.block_on(command.run())
}

/// Prints the help or the error in the arguments, and returns the exit code.
fn exit_early(early: &argh::EarlyExit) -> ExitCode {
    if early.status.is_ok() {
        print(&early.output);
        return Exit::Success.into();
    }
    eprintln!("{}\nRun `oleanderstage --help` for more.", early.output.trim_end());
    Exit::Usage.into()
}

/// Prints to standard output. Ignores errors, such as a pipe that its reader has closed.
fn print(text: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{}", text.trim_end());
}
