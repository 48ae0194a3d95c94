//! A program of this package as a child process, ended by its id.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use tokio::time::{Instant, sleep};

/// How often a condition is looked at.
pub const POLL: Duration = Duration::from_millis(10);
/// After this long a condition that was waited for is taken as never coming true.
pub const PATIENCE: Duration = Duration::from_mins(1);

/// Waits until `condition` holds, and panics with `what` when it never does.
pub async fn wait_for<C>(what: &str, mut condition: C)
where
    C: AsyncFnMut() -> bool,
{
    let end = Instant::now() + PATIENCE;
    while !condition().await {
        assert!(Instant::now() < end, "never came true: {what}");
        sleep(POLL).await;
    }
}

/// A running child process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts `program` and reads its stderr from then on.
    pub fn spawn(program: &str, args: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let stderr = child.stderr.take().expect("stderr is piped");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let read = Arc::clone(&lines);
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                read.lock().expect("no reader panicked").push(line);
            }
        });
        Self { child, lines }
    }

    /// Value of `key` in the line with `event=listening`, which it waits for.
    pub async fn started(&self, key: &str) -> String {
        let mut found = None;
        wait_for("the start line", async || {
            found = self.lines().iter().find_map(|line| start_value(line, key));
            found.is_some()
        })
        .await;
        found.expect("waited for")
    }

    /// The lines that it wrote so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("no reader panicked").clone()
    }

    /// Ends it at once.
    pub fn kill(&self) {
        self.signal(libc::SIGKILL);
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Pauses it.
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Wakes it up.
    pub fn wake(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether it runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }

    /// Waits until it has ended.
    pub async fn ended(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the end of a process", async || {
            status = self.child.try_wait().expect("a child of this process");
            status.is_some()
        })
        .await;
        status.expect("waited for")
    }

    #[expect(
        unsafe_code,
        reason = "the standard library sends no signal but SIGKILL"
    )]
    fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).expect("a process id");
        // SAFETY: `kill` reads two integers; the id is that of a child not yet waited for.
        unsafe { libc::kill(pid, signal) };
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn start_value(line: &str, key: &str) -> Option<String> {
    if !line.contains("event=listening") {
        return None;
    }
    let pairs = line
        .split_whitespace()
        .filter_map(|pair| pair.split_once('='));
    pairs
        .into_iter()
        .find(|(name, _)| *name == key)
        .map(|(_, value)| value.to_owned())
}
