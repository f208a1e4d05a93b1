//! What was sent, answered and run, for the case's record and its verdict.

use std::{
    collections::BTreeMap,
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The prefix of the IDs of jobs of many tasks: the record has only the starts and ends of their first ones.
pub const WIDE_PREFIX: &str = "0000000000000c";
/// The number of their tasks that the record tells of.
const WIDE_SHOWN: usize = 3;

/// What became of a task's runs.
#[derive(Clone, Debug, Default)]
pub struct Task {
    pub starts: u32,
    pub running: u32,
    pub done: u32,
    pub failed: u32,
    pub lost: u32,
    /// The checkpoints that the starts carried, with the numbers of the runs.
    pub checkpoints: Vec<(u64, String)>,
}

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
    tasks: Arc<Mutex<BTreeMap<String, Task>>>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).unwrap())),
            tasks: Arc::default(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        writeln!(self.file.lock().unwrap(), "{at:8.3} {text}").unwrap();
    }

    /// Writes a line about a task, unless it is one of too many.
    pub fn task_line(&self, task: &str, text: &str) {
        let index = task.rsplit('.').next().and_then(|index| index.parse().ok());
        if !task.starts_with(WIDE_PREFIX) || index.is_some_and(|index: usize| index < WIDE_SHOWN) {
            self.line(text);
        }
    }

    fn change(&self, task: &str, change: impl FnOnce(&mut Task)) {
        change(self.tasks.lock().unwrap().entry(task.into()).or_default());
    }

    pub fn started(&self, task: &str, number: u64, checkpoint: &str) {
        self.change(task, |task| {
            task.checkpoints.push((number, checkpoint.to_owned()));
            task.starts += 1;
            task.running += 1;
        });
    }

    pub fn ended(&self, task: &str, how: &str) {
        self.change(task, |task| {
            task.running -= 1;
            task.done += u32::from(how == "done");
            task.failed += u32::from(how == "failed");
        });
    }

    pub fn lost(&self, task: &str) {
        self.change(task, |task| {
            task.running -= 1;
            task.lost += 1;
        });
    }

    /// Returns the tasks of a job that were started, by name.
    pub fn tasks_of(&self, job: &str) -> Vec<(String, Task)> {
        let tasks = self.tasks.lock().unwrap();
        let of_job = tasks.iter().filter(|(name, _)| name.starts_with(job));
        of_job.map(|(name, task)| (name.clone(), task.clone())).collect()
    }
}
