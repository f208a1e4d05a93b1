//! Submission, cancellation and explanation of jobs.

use super::*;

impl Dispatcher {
    /// Accepts a job, or returns a refusal. The job is accepted once the returned group is durable.
    pub fn submit(&mut self, serial: u128, spec: &job::Spec) -> Result<u64, Answer> {
        if let Some(job) = self.ledger.job(serial) {
            return self.submit_again(job, serial, spec);
        }
        spec.check(&self.config).map_err(|text| Answer::refuse(answer::Refusal::Invalid, text))?;
        if self.open_tasks + u64::from(spec.tasks) > MAX_OPEN_TASKS {
            let text =
                format!("cell `{}` has {} open tasks: try again later", self.cell, self.open_tasks);
            return Err(Answer::refuse(answer::Refusal::Overloaded, text));
        }
        let record = Record::Accept { serial, spec: spec.clone() };
        let sequence = self.apply_record(Instant::default(), record);
        self.open_tasks += u64::from(spec.tasks);
        for index in 0..spec.tasks {
            self.enqueue(Key { index, serial }, None);
        }
        Ok(sequence)
    }

    /// Cancels a job, or returns a refusal. It is cancelled once the returned group is durable.
    pub fn cancel(&mut self, now: Instant, serial: u128) -> Result<u64, Answer> {
        let Some(job) = self.ledger.job(serial) else {
            let text = format!("job `{serial:032x}` is not known: check its id");
            return Err(Answer::refuse(answer::Refusal::Unknown, text));
        };
        match job.state {
            job::State::Open => Ok(self.apply_record(now, Record::Cancel { serial })),
            _ => Ok(self.writer.last_sequence()),
        }
    }

    /// Returns lines that explain the state of a job: why it waits, and the stage of its tasks.
    pub fn explain(&self, id: &job::Id) -> Option<Vec<String>> {
        let job = self.ledger.job(id.serial)?;
        let mut lines = vec![format!("job `{id}` of team `{}` is {:?}", job.spec.team, job.state)];
        lines.extend(self.wait_reasons.get(&id.serial).cloned());
        for (index, task) in job.tasks.iter().enumerate().take(MAX_EXPLAINED_TASKS) {
            let place = task.vm.as_ref().map(|vm| format!(" on `{vm}`")).unwrap_or_default();
            let attempt = task.attempt.0;
            let failures = task.failures;
            lines.push(format!(
                "task {index} is {:?}{place}, {attempt} starts, {failures} failures",
                task.stage
            ));
        }
        Some(lines)
    }

    /// Answers a repeated submission. Payloads are not compared.
    fn submit_again(
        &self,
        job: &ledger::Job,
        serial: u128,
        spec: &job::Spec,
    ) -> Result<u64, Answer> {
        let same = job::Spec { payload: String::new(), ..job.spec.clone() }
            == job::Spec { payload: String::new(), ..spec.clone() };
        if !same {
            let text = format!("job `{serial:032x}` is another job: use another idempotency key");
            return Err(Answer::refuse(answer::Refusal::Invalid, text));
        }
        Ok(self.writer.last_sequence())
    }
}
