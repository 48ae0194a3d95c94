//! Limits under which a program runs, as on a small machine.

/// Limits of a process: those of the machine that it runs on.
#[derive(Debug, Clone, Copy)]
pub struct MachineLimits {
    /// Memory for data in KiB.
    pub memory_kib: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl MachineLimits {
    /// Program and arguments that run a program within the limits, under the same process id.
    pub fn wrap<'a>(&self, program: &'a str, args: &[&'a str]) -> (&'static str, Vec<String>) {
        let script = format!(
            "ulimit -d {} && ulimit -n {} && exec \"$0\" \"$@\"",
            self.memory_kib, self.descriptors
        );
        let mut wrapped = vec!["-c".to_owned(), script, program.to_owned()];
        wrapped.extend(args.iter().map(ToString::to_string));
        ("sh", wrapped)
    }
}
